#!/usr/bin/env bash
# Writes the generated tables of codes, events and fields into the pages.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build --preset release --target TestDocumentation >/dev/null
SPINDLE_UPDATE_PAGES=1 build/Tests/Documentation/TestDocumentation >/dev/null
git --no-pager diff --stat -- docs
