#!/usr/bin/env bash
# Builds and runs the measurement; prints one line a figure, and exits 1 if one is short.
#   tools/measure_requests.sh [FLAG...]
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh build >&2
exec build/measure_requests --bin=build "$@"
