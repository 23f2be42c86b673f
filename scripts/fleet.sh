#!/usr/bin/env bash
# Starts and stops the processes of a fleet that `stress plan` has laid out in a
# directory.
#   fleet.sh start DIR PROGRAMS    start all processes; restart each one that ends
#   fleet.sh stop DIR              stop all processes by process ID
set -u

start_one() { # NAME COMMAND
  local name=$1 command=$2
  # Supervisor: restarts the process until the file DIR/stopping exists.
  (
    while [ ! -e "$dir/stopping" ]; do
      "$programs"/$command >>"$dir/logs/$name.log" 2>&1 &
      echo $! >"$dir/pids/$name"
      wait $!
      sleep 0.2
    done
  ) 2>/dev/null &
  echo $! >"$dir/pids/$name.supervisor"
}

wait_ready() {
  local node url
  for node in "$dir"/vm-*.json; do
    url=$(sed -n 's/.*"callers-address": "\([^"]*\)".*/\1/p' "$node")
    for _ in $(seq 100); do
      curl -sf -o /dev/null "http://$url/readyz" && break
      sleep 0.1
    done || { echo "not ready: $url" >&2; return 1; }
  done
}

start() {
  rm -f "$dir/stopping"
  while IFS=$'\t' read -r name command; do
    start_one "$name" "$command"
  done <"$dir/processes.txt"
  wait_ready
}

stop() {
  touch "$dir/stopping"
  local f pid
  for f in "$dir"/pids/*; do
    case $f in *.supervisor) continue ;; esac
    pid=$(cat "$f")
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  for f in "$dir"/pids/*.supervisor; do
    pid=$(cat "$f")
    while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
  done
  rm -f "$dir"/pids/*
}

dir=$2
case $1 in
  start) programs=$3; start ;;
  stop) stop ;;
  *) echo "usage: fleet.sh start DIR PROGRAMS | stop DIR" >&2; exit 2 ;;
esac
