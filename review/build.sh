#!/bin/sh
# The stand-ins of the scripts are Python programs of the standard library: nothing is compiled.
# This checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile stand_ins.py ./*/case.py
