#!/bin/sh
# The stand-ins of the scripts are Python programs that use the standard library only, so there is
# nothing to compile. This checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
for file in stand_ins.py ./*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
