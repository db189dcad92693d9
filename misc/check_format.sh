#!/usr/bin/env bash
# Fails if a C++ source file is not formatted according to .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
echo "format: clean"
