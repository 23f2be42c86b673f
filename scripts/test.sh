#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, and prints that list.
# Usage: scripts/test.sh [FLAG...]   flags of go test
#
# A line of the list is "PACKAGE TEST; COMMAND; SEEN; issue N": the package's path in
# this module, the name of the test or TEST/SUBTEST, the command with its seed, and the
# observed failure. An invalid line, or one that names no existing test, is an error.
set -eu
GO=${GO:-go}
LIST=${KNOWN_RED:-KNOWN-RED.txt}
LINE='^[a-z0-9/]+ Test[A-Za-z0-9_]*(/[A-Za-z0-9_,.-]+)*; [^;]+; [^;]+; issue [0-9]+$'

fail() { echo "$LIST: $*" >&2; exit 1; }

packages=$($GO list ./...)
if [ ! -s "$LIST" ]; then
  # shellcheck disable=SC2086
  exec "$GO" test "$@" $packages
fi
module=$($GO list -m)
declare -A skip
while IFS= read -r line; do
  [[ $line =~ $LINE ]] || fail "want \"PACKAGE TEST; COMMAND; SEEN; issue N\", got \"$line\""
  package="$module/${line%% *}"
  name=${line#* }
  name=${name%%;*}
  grep -qx "$package" <<<"$packages" || fail "no package $package"
  "$GO" test -list "^${name%%/*}\$" "$package" | grep -qx "${name%%/*}" || fail "$package has no test ${name%%/*}"
  pattern="^${name//\//\$/^}\$"
  skip[$package]="${skip[$package]:+${skip[$package]}|}$pattern"
done <"$LIST"

status=0
rest=$(grep -vxFf <(printf '%s\n' "${!skip[@]}") <<<"$packages")
# shellcheck disable=SC2086
"$GO" test "$@" $rest || status=1
for package in "${!skip[@]}"; do
  "$GO" test "$@" -skip "${skip[$package]}" "$package" || status=1
done
echo "== known red, passed over:"
cat "$LIST"
exit $status
