#!/usr/bin/env bash
# Runs clang-tidy over the sources. Usage: Meta/lint.sh [--since REV | FILE...]
# Needs a configured build folder, BUILD or "build", whose code was generated.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
if [ "${1:-}" = --since ]; then
  mapfile -t files < <({ git diff --name-only --diff-filter=d "$2" -- '*.cpp'; git ls-files -o --exclude-standard '*.cpp'; } | sort -u)
elif [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp')
fi
[ ${#files[@]} -gt 0 ] || exit 0
# gcc's own warning options are unknown to clang.
printf '%s\n' "${files[@]}" | xargs -n 2 -P "$(nproc)" \
  clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option \
  2> >(grep -vE 'warnings? generated|Suppressed|Use -header-filter' >&2 || true)
echo "lint: ${#files[@]} files clean"
