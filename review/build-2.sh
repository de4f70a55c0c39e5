#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python programs in review/common-2 and in the cases' folders; nothing is
# compiled. This checks that the interpreter is there and can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/*.py {6,7,8,9,10}/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
