#!/usr/bin/env bash
# Installs the library into a temporary directory, then builds and runs a project that uses it.
# Usage: misc/check_package.sh BUILD_DIR
set -euo pipefail
build=$(realpath "$1")
cd "$(dirname "$0")/.."
temp_dir=$(mktemp -d)
trap 'rm -rf "$temp_dir"' EXIT
cmake --install "$build" --prefix "$temp_dir/prefix" >/dev/null
cmake -S tests/package -B "$temp_dir/build" -G Ninja -DCMAKE_PREFIX_PATH="$temp_dir/prefix" >/dev/null
cmake --build "$temp_dir/build" >/dev/null
"$temp_dir/build/consumer"
for program in fuchsiagauge fuchsiagauged fuchsiagauge-load; do
    [ -x "$temp_dir/prefix/bin/$program" ] || { echo "not installed: $program"; exit 1; }
done
echo "package: ok"
