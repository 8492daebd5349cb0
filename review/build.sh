#!/usr/bin/env bash
# Check that the stand-ins compile; they need nothing but Python's library.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py ./[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
