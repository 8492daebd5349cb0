#!/usr/bin/env bash
# Build the stand-ins of the cases 11 to 15. They are Python and use the standard
# library only, so that it is enough to compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_3.py review/1[1-5]
