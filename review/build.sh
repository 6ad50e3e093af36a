#!/bin/sh
# Builds the stand-ins of all scripts: they need only the standard library, so that compiling them
# is all there is to do.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile lib/*.py */case.py
