#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs (cell.py) and need no build. This checks that
# they can be loaded.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import cell"
