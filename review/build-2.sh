#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which have a script, into
# target/review-2. The daemon comes from the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for Scenario in review/{6,7,8,9,10}/scenario.cpp; do
  [ -e "$Scenario" ] || continue
  Number=$(basename "$(dirname "$Scenario")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-2/case-$Number" "$Scenario"
done
