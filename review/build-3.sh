#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases 11 to 15 into target/review-3.
# Needs g++ and nlohmann-json3-dev, which the build of deploy/system.toml needs
# too, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for scenario in review/1[1-5]/scenario.cpp; do
  case_number="$(basename "$(dirname "$scenario")")"
  g++ -std=c++20 -O1 -pthread -Wall -Wextra review/standins-3/*.cpp \
    "$scenario" -o "target/review-3/case-$case_number" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
