#!/usr/bin/env bash
# Runs clang-tidy on the given C++ source files, by default on all of them, in parallel.
# Usage: misc/check_lint.sh BUILD_DIR [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp')
# clang-tidy cannot read the compiler's precompiled headers, so it uses the compile commands of a build
# directory that is configured without them.
cmake -S . -B "$build-lint" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build-lint" --quiet 2>/dev/null
echo "lint: clean (${#files[@]} files)"
