#!/usr/bin/env bash
# Runs one case of the review: run-trial.sh CASE FOLDER. The record goes to FOLDER/record.txt.
# TROUBLE=0 leaves out the disruption. The exit code is 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x target/umberladder ] && [ -x target/review-trial ] || {
  echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
  exit 2
}
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trouble=true
[ "${TROUBLE:-1}" != 0 ] || trouble=false
timeout -k 10 110 target/review-trial -program target/umberladder -dir "$dir" -record "$folder/record.txt" -trouble="$trouble" "$name"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
