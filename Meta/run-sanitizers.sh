#!/usr/bin/env bash
# Builds the test programs with a sanitizer and runs them. CONTRIBUTING.md says
# what the settings leave out.
# Usage: Meta/run-sanitizers.sh address|thread [TEST_PROGRAM...]
set -euo pipefail
cd "$(dirname "$0")/.."
jobs="${JOBS:-4}"

# These share state between threads and have run without a false report under
# ThreadSanitizer. TestLibPeer can't: the distribution's gRPC isn't built for it.
programs=(TestLibCore TestLibRuntime TestLibHTTP TestLibScheduling TestLibLimits
  TestLibOrders TestLibResilience TestLibConfiguration TestLibPlatform
  TestStandIns)
case "${1:-}" in
  address)
    preset=asan
    programs+=(TestLibMembership TestLibResidency TestLibRouting TestLibSettings
      TestLibEngine TestLibPeer TestLibLoad) ;;
  thread) preset=tsan ;;
  *) sed -n 's/^# Usage: //p' "$0" >&2; exit 2 ;;
esac
shift
[ $# -gt 0 ] && programs=("$@")

export ASAN_OPTIONS="detect_stack_use_after_return=0:use_sigaltstack=0"
export UBSAN_OPTIONS="print_stacktrace=1:halt_on_error=1"
export TSAN_OPTIONS="second_deadlock_stack=1"
export RC_PARAMS="seed=20261204"

cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -j "$jobs" --target "${programs[@]}"
failed=()
for program in "${programs[@]}"; do
  report="build-$preset/$program.report"
  result=0
  timeout -s KILL 240 "build-$preset/Tests/${program#Test}/$program" \
    >"$report" 2>&1 </dev/null || result=$?
  if [ "$result" -eq 0 ]; then
    echo "passed: $program"
  else
    echo "failed with $result: $program, see $report"
    failed+=("$program")
  fi
done
[ ${#failed[@]} -eq 0 ]
