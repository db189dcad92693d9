#!/usr/bin/env bash
# Runs every fuzzer for SECONDS, starting from the committed corpus. New inputs are written to out/fuzz.
# Usage: misc/run_fuzzers.sh BUILD_DIR SECONDS
set -euo pipefail
build=$(realpath "$1")
seconds=$2
cd "$(dirname "$0")/.."
failed=0
for program in "$build"/misc/fuzz/fuzz_*; do
    [ -f "$program" ] && [ -x "$program" ] || continue
    name=$(basename "$program")
    name=${name#fuzz_}
    out=out/fuzz/$name
    mkdir -p "$out"
    if "$program" -max_total_time="$seconds" -timeout=10 -rss_limit_mb=2048 -max_len=65536 -seed=1 \
        -artifact_prefix="$out/failure-" "$out" "tests/corpus/$name" >"$out.log" 2>&1; then
        echo "$name: $(grep -c '' <(ls "$out")) inputs kept, $(grep -oE 'Done [0-9]+ runs in [0-9]+ second' "$out.log")"
    else
        echo "$name: FAILED, see $out.log"
        failed=1
    fi
done
exit $failed
