#!/usr/bin/env bash
# Checks format and style, builds everything and runs every test.
# Options: --quick leaves out the linter.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/check-format.sh
Meta/check-type-names.sh
cmake --preset release >/dev/null
cmake --build --preset release
[ "${1:-}" = --quick ] || Meta/lint.sh
Meta/run-ctest.sh build
