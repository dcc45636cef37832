#!/bin/sh
# The stand-ins of review/11 to review/15 are in each folder's rig.py and need only the
# standard library of Python 3.11, so there is nothing to build: this checks that they
# compile. The entry hosts come from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
for file in 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'PY' || exit 1
import sys

with open(sys.argv[1], encoding="utf-8") as source:
    compile(source.read(), sys.argv[1], "exec")
PY
done
