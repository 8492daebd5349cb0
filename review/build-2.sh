#!/usr/bin/env bash
# Build the stand-ins of review/6 to review/10: they need python3 (3.11) and its
# standard library only. The build of the deploy file has to run before.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_2.py
test -d target/deps || { echo "target/deps is missing: run the build of the deploy file"; exit 1; }
