#!/usr/bin/env bash
# Sets up a fresh machine, builds, and runs the demo.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release --target spindled spindlectl \
  platform_stand_in engine_stand_in service_stand_in
exec Meta/demo.sh
