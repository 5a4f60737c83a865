#!/bin/sh
# Checks the stand-ins and scripts of the review. They need the standard
# library of Python 3.11 only, so nothing is compiled or installed.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 python3 - <<'P'
import ast
import pathlib

from rig import client, http, record, site, store, target  # noqa

for path in sorted(pathlib.Path('review').rglob('*.py')):
    ast.parse(path.read_text(encoding='utf-8'), str(path))
P
