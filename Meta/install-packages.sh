#!/usr/bin/env bash
# Installs what the build, the tests and the demo need, from Debian's packages.
set -euo pipefail
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
  g++ cmake ninja-build ccache mold clang-format clang-tidy curl ca-certificates \
  libboost-fiber-dev libboost-context-dev libboost-log-dev libboost-system-dev \
  libboost-thread-dev libgrpc++-dev protobuf-compiler-grpc libprotobuf-dev \
  protobuf-compiler prometheus-cpp-dev libpopt-dev nlohmann-json3-dev \
  libssl-dev libxxhash-dev catch2 librapidcheck-dev libtrompeloeil-cpp-dev \
  libbenchmark-dev >/dev/null
