#!/bin/bash
# Plays the case, and writes what was sent, answered and run to record.txt in
# this folder. TROUBLE=0 leaves the disruption out.
exec python3 "$(dirname "$0")/case.py"
