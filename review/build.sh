#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs that use its standard library only, so there is
# nothing to compile: checks that they load, and that the deploy file's build has left the program.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -B -c "import sys; sys.path.insert(0, '$root/review/common'); import standins"
test -x "$root/target/cyclamenhatch" || { echo "target/cyclamenhatch is missing: run scripts/build-deploy"; exit 1; }
