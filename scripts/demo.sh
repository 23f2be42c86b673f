#!/usr/bin/env bash
# Starts a fleet, runs a scenario against it, and stops the fleet.
# Usage: demo.sh DIR PROGRAMS NET SCENE [FLAG...]
#   DIR       working directory of the fleet; it is deleted and created anew
#   PROGRAMS  directory of the built programs
#   NET       number of the loopback network, 127.NET.0.0
#   SCENE     scenario, as listed by `stress list`
#   FLAG      flags of `stress run`
# The environment variable PLAN holds further flags of `stress plan`; they are
# also passed to `stress run`.
set -u
dir=$1 programs=$2 net=$3 scene=$4
shift 4
rm -rf "$dir"
"$programs/stress" plan --dir "$dir" --net "$net" ${PLAN:-} || exit 1
trap 'scripts/fleet.sh stop "$dir"' EXIT
scripts/fleet.sh start "$dir" "$programs" || exit 1
"$programs/stress" run "$scene" --dir "$dir" --net "$net" ${PLAN:-} "$@"
