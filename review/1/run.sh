#!/usr/bin/env bash
exec "$(dirname "$0")/../run-trial.sh" garble "$(dirname "$0")"
