#!/usr/bin/env bash
# Builds every stand-in that the scripts of the third review start: their own, and those
# of the project that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_3 tests/__init__.py tests/standins
