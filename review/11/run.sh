#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 the disruption is left out. The record goes to record.txt.
exec python3 "$(dirname "$0")/run.py"
