#!/bin/sh
# Checks what the scripts of review/11 and later need besides the build of the deploy file. Their stand-ins are
# Python modules in review/lib-3, so nothing is compiled.
set -e
cd "$(dirname "$0")/.."
python3 -B -c 'import ast, glob
for name in glob.glob("review/lib-3/*.py") + glob.glob("review/1[1-5]/*.py"):
    ast.parse(open(name, encoding="utf-8").read(), name)'
test -x target/main/fuchsiagauged
