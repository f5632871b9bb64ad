#!/bin/sh
# The stand-ins of review/6 to review/10 are Python sources (3.11 or later, standard library only) and need no build:
# this checks that this machine's Python can run them.
cd "$(dirname "$0")" || exit 1
python3 - stand-ins-2/deployment.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PYTHON'
import ast
import sys
import tomllib

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
print("stand-ins of Python", sys.version.split()[0], "- nothing to build")
PYTHON
