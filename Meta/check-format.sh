#!/usr/bin/env bash
# Fails if a source file is not formatted as .clang-format says; --fix mends it.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard '*.h' '*.cpp' ':!*.pb.h' | xargs -r -n 8 -P "$(nproc)" clang-format "${mode[@]}"
