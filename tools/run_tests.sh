#!/usr/bin/env bash
# Runs all tests. Fails if a test fails that KNOWN-RED.txt does not list. Prints the listed tests that failed.
set -uo pipefail
cd "$(dirname "$0")/.."
results=target/tests.tap
tests=$(find target/check/test -name '*.test.js' | sort)
[ -n "$tests" ] || { echo "no tests are built" >&2; exit 1; }
# shellcheck disable=SC2086 # word splitting is intended: one argument for each file
# With the timeout, a test that hangs fails under its own name and does not block the whole run.
node --test --test-timeout=600000 --test-reporter=spec --test-reporter-destination=stdout \
  --test-reporter=tap --test-reporter-destination="$results" $tests && exit 0
# Collects the failed tests at any depth. A suite is skipped if it failed only because of its tests.
failed=$(awk '/^ *not ok [0-9]+ - / { if (name != "") print name; name = $0; sub(/^ *not ok [0-9]+ - /, "", name) }
  /^ *failureType: .subtestsFailed./ { name = "" }
  END { if (name != "") print name }' "$results")
# A run that failed without a failed test, or that did not finish, is never a known failure.
[ -n "$failed" ] && grep -q '^# tests [1-9]' "$results" || exit 1
unknown=0
while read -r name; do
  known=$(grep -v '^#' KNOWN-RED.txt | grep -F -m 1 "$name | ") || known=
  case "$known" in
    "$name | "*) echo "known red: $known" ;;
    *) unknown=1 ;;
  esac
done <<<"$failed"
exit "$unknown"
