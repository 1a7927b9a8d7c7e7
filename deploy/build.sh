#!/bin/sh
# Makes .venv anew unless it is whole and of just what requirements.txt asks for: the stamp is written last.
set -eu
cd "$(dirname "$0")/.."
# Debian's interpreter is preferred: with its core linked in, it took a fifth less CPU a request than a shared
# build of the same release.  Any from 3.11 on will do.
python=/usr/bin/python3
$python -c 'import ensurepip, sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null || python=python3
if ! (echo "# $python"; cat requirements.txt) | cmp -s - .venv/installed.txt || ! .venv/bin/python -c 'import h11'; then
    rm -rf .venv
    $python -m venv .venv
    .venv/bin/pip install -q --disable-pip-version-check -r requirements.txt
    (echo "# $python"; cat requirements.txt) > .venv/installed.txt
fi
.venv/bin/python -m compileall -q sidecar
