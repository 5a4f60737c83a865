#!/bin/bash
# Checks the stand-ins and the scripts of cases 6 to 10; they use the standard
# library only. The nodes that they start are those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - rig-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py trials-2/*.py <<'PROGRAM'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as file:
        compile(file.read(), path, 'exec')
PROGRAM
test -d ../target/deps || {
    echo 'run the build of the deploy file first' >&2
    exit 1
}
