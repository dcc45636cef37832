#!/bin/sh
# Builds the stand-ins of the cases 6 and 7. They use Python's standard library only, so
# this compiles them once, which shows that they are whole. Run after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")"
for file in 6/*.py 7/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
