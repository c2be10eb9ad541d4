#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves its disruption out. Exit 1: broken, 0: held.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec env PYTHONPATH=. python3 review/12/case.py
