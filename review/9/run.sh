#!/bin/sh
# Shows the case once; see claim.txt. TROUBLE=0 leaves the disruption out.
exec python3 "$(dirname "$0")/case.py"
