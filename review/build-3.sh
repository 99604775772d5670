#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Needs g++ alone; `target/filbertgw` comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/1[1-5]/case.cpp; do
    [ -f "$source" ] || continue
    name=case-$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" review/standins-3/standins.cpp -o "$out/$name.new" && mv "$out/$name.new" "$out/$name" &
done
wait
ls "$out"/case-*
