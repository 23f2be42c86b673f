#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for dir in review/4 review/5 review/6 review/7; do
  go build -o "target/review-2/$(basename "$dir")" "./$dir"
done
