#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles them to byte code, with no dependency.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-9]
