#!/usr/bin/env bash
# Builds the stand-ins of the cases, one program a case, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/scenario.cpp; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview \
    -o "target/review/case$number" "$source"
done
