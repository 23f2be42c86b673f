#!/usr/bin/env bash
# Measures the slopes listed in docs/CAPACITY.md with fleets of several sizes.
# Prints one line of JSON for each size. Takes about nine minutes.
# Usage: capacity.sh DIR PROGRAMS
#   DIR       working directory of the fleets; it is deleted and created anew
#   PROGRAMS  directory of the built programs
set -u
dir=$1 programs=$2

with_fleet() { # NET PLAN-FLAGS COMMAND...
  local net=$1 flags=$2
  shift 2
  rm -rf "$dir"
  # $flags is unquoted because it has to be split into words.
  "$programs/stress" plan --dir "$dir" --net "$net" $flags || return 1
  scripts/fleet.sh start "$dir" "$programs" && sleep "$settle" &&
    "$programs/stress" "$@" --dir "$dir" --net "$net" $flags
  scripts/fleet.sh stop "$dir"
}

# Seconds to wait after the start: with many VMs it takes a while until every VM
# has received the updates about all others.
settle=60
for vms in 7 14 28 56; do
  with_fleet 41 "--vms $vms --engines 4" control --duration 20s
done
settle=5
for engines in 16 64 256; do
  with_fleet 42 "--vms 7 --engines $engines" control --duration 20s
done
for rate in 20 40 80; do
  with_fleet 45 "--vms 7 --engines 4" run calm --duration 15s --rate "$rate"
done
for vms in 7 28; do
  with_fleet 43 "--vms $vms --engines 4" run settings-race --duration 30s --rate 10
done
with_fleet 44 "--vms 1 --engines 1 --copy" cost
with_fleet 46 "--vms 7 --engines 4" claims --pause 20ms
