#!/usr/bin/env bash
# Builds and runs the ownership benchmark. Prints one line for each figure; exits with 1 if a figure
# misses its target.
#   tools/measure_ownership.sh [FLAG...]
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh build >&2
exec build/measure_ownership --bin=build "$@"
