#!/usr/bin/env bash
# Runs the scenario of a case from the top of the repository. Usage:
# run-case.sh NUMBER. Ends with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
program="target/review-3/case-$1"
[ -x target/bin/spindled ] && [ -x "$program" ] || {
  echo "build first: the command of deploy/system.toml, and review/build-3.sh" >&2
  exit 2
}
timeout -k 2 110 "$program" "review/$1"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
