#!/bin/sh
# Builds the stand-ins of the second review: Python sources of their own, without dependencies.
set -eu
cd "$(dirname "$0")/.."
for folder in review/standins_2 review/6 review/7 review/8 review/9 review/10; do
    PYTHONPYCACHEPREFIX=.venv/review-2 .venv/bin/python -m compileall -q "$folder"
done
