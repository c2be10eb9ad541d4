#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of the second review start, after the build of
# the deploy file. They are Python programs: the store's is the project's own, the
# minions and the deployment are in standins-2/. It checks that they compile and load.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-2 $(ls -d review/{6,7,8,9,10} 2>/dev/null) tests/standins
PYTHONPATH=target/deps:review/standins-2:. python3 -c "import fleet, minion; import tests.standins.platform_store"
