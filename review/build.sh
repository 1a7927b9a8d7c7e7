#!/bin/sh
# Prepares the stand-ins and the cases.  They use the standard library only, so nothing is installed: the modules
# are compiled, and an error in one of them fails the build.  Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q standins
for folder in 1 2 3; do
    if [ -f "$folder/case.py" ]; then ../.venv/bin/python -m compileall -q "$folder"; fi
done
