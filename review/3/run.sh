#!/usr/bin/env bash
exec "$(dirname "$0")/../run-trial.sh" stop "$(dirname "$0")"
