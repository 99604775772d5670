#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 14. Needs g++ alone; `target/filbertgw` comes from the build of the deploy file.
# Case 15 runs on the Python stand-ins of the second review, which need no build: what it starts is checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
builds=()
for source in review/1[1-4]/case.cpp; do
    name=case-$(basename "$(dirname "$source")")
    (g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" review/standins-3/standins.cpp -o "$out/$name.new" \
        && mv "$out/$name.new" "$out/$name") &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
ls "$out"/case-1[1-4]
if ! command -v python3 >/dev/null; then
    echo "python3 is missing: case 15 can't run"
    exit 1
fi
for source in review/standins-2/world.py review/15/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
