#!/usr/bin/env bash
# Sets up a fresh machine and runs all checks and tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
exec Meta/run-tests.sh "$@"
