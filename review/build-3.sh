#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: Python sources, which are only checked here.
set -eu
cd "$(dirname "$0")"
python3 - common-3/mesh.py common-3/rollout.py 11/run.py 12/run.py 13/run.py 14/run.py 15/run.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
CHECK
