#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The project's programs come from the build
# command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-trial ./review/trial
