#!/bin/sh
# Builds the stand-ins of all cases: they are Python files of this folder and need only the standard library.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q .
