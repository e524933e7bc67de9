#!/bin/bash
# Builds the stand-ins of cases 4 to 8. They are Python of the standard library and need no build; this
# checks that they compile. The project's own programs come from the build command of the deploy file.
cd "$(dirname "$0")" && exec python3 -c '
import ast, glob
for path in ["harness_2.py", *sorted(glob.glob("[4-8]/*.py"))]:
    ast.parse(open(path, encoding="utf-8").read(), path)
'
