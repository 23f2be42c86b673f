#!/usr/bin/env bash
# Runs the main job on embedded stand-ins: demo.sh DIR PROGRAMS [run flags]
set -u
dir=$1 programs=$2
shift 2
rm -rf "$dir"
"$programs/stress" plan --dir "$dir" || exit 1
trap 'scripts/fleet.sh stop "$dir"' EXIT
scripts/fleet.sh start "$dir" "$programs" || exit 1
"$programs/stress" run --dir "$dir" "$@"
