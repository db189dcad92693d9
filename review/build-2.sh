#!/usr/bin/env bash
# Prepares the scripts of the second review. They and the project's stand-ins that they start are Python and need no build; this
# checks that all of them can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - tests/soak/{client,fleet,instance,link,record,store,wire}.py review/{6,7,8,9,10}/*.py <<'EOF'
import ast
import os
import sys

for path in filter(os.path.exists, sys.argv[1:]):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
EOF
