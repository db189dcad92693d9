#!/usr/bin/env bash
# Fails if a command-line script is not executable or its --help fails. make_man_pages.py has a separate test.
set -euo pipefail
cd "$(dirname "$0")"
for script in demo.py bench.py bench_report.py prove.py fleet_bench.py plot.py; do
    [ -x "$script" ] || { echo "$script: not executable"; exit 1; }
    ./"$script" --help >/dev/null || { echo "$script: --help fails"; exit 1; }
done
