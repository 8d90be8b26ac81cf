#!/usr/bin/env bash
# Builds everything and starts a complete deployment on this machine: a platform stand-in, entry
# daemons in three availability zones, and backend server stand-ins.
#   tools/run_local.sh [--deployment ice|ride] [--once]
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh build >&2
arguments=()
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) arguments+=("--deployment=$2"); shift 2 ;;
    --once | --deployment=*) arguments+=("$1"); shift ;;
    *) echo "run_local.sh: unknown argument '$1'; expected --deployment ice|ride or --once" >&2; exit 2 ;;
  esac
done
exec build/run_local --bin=build --folder=run "${arguments[@]}"
