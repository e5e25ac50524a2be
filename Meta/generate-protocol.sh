#!/usr/bin/env bash
# Regenerates the committed code of the protocol between hosts.
set -euo pipefail
cd "$(dirname "$0")/../Libraries/LibPeer"
protoc -I Protocol --cpp_out=Generated --grpc_out=Generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" host_link.proto
