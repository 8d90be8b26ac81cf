#!/usr/bin/env bash
# Installs the build dependencies on Debian, then configures and builds in FOLDER.
#   tools/setup.sh FOLDER [CMAKE OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl
  libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libboost-iostreams1.81-dev
  libgflags-dev libcereal-dev libcppunit-dev libxxhash-dev)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${packages[@]}"
fi
cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >/dev/null
ninja -C "$folder"
