#!/usr/bin/env bash
# Puts a fleet of its own through a scene: demo.sh DIR PROGRAMS NET SCENE [run flags]
# NET is the loopback network 127.NET.0.0; PLAN holds more flags of the layout.
set -u
dir=$1 programs=$2 net=$3 scene=$4
shift 4
rm -rf "$dir"
"$programs/stress" plan --dir "$dir" --net "$net" ${PLAN:-} || exit 1
trap 'scripts/fleet.sh stop "$dir"' EXIT
scripts/fleet.sh start "$dir" "$programs" || exit 1
"$programs/stress" run "$scene" --dir "$dir" --net "$net" ${PLAN:-} "$@"
