#!/usr/bin/env bash
# Fails if two headers define types of one name. Linked into one program, they
# share one destructor, which the linker picks.
set -euo pipefail
cd "$(dirname "$0")/.."
twice="$(git ls-files -co --exclude-standard '*.h' ':!*.pb.h' ':!review/*' |
  xargs sed -nE 's/^(class|struct|enum class) ([a-z_0-9]+)( final)?( :[^;{]*)?( ?\{.*)?$/\2/p' |
  sort | uniq -d)"
[ -z "$twice" ] || {
  echo "types that two headers define: $twice" >&2
  exit 1
}
