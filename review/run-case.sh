#!/usr/bin/env bash
# run-case.sh N: runs the program of case N and writes review/N/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
number="$1"
program="target/review/case$number"
if [[ ! -x target/bin/spindled || ! -x "$program" ]]; then
  echo "build the system and run review/build.sh first" >&2
  exit 2
fi
CASE_FOLDER="$(mktemp -d)"
export CASE_FOLDER
trap 'rm -rf "$CASE_FOLDER"' EXIT
timeout --kill-after=5 115 "$program" >"review/$number/record.txt" 2>&1
status=$?
tail -n 5 "review/$number/record.txt"
[[ -n "${KEEP_LOGS:-}" ]] && cp "$CASE_FOLDER"/*.log "$KEEP_LOGS"/
case "$status" in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
