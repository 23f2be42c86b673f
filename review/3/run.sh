#!/usr/bin/env bash
exec "$(dirname "$0")/../run-trial.sh" resume "$(dirname "$0")"
