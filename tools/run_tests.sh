#!/usr/bin/env bash
# Runs all tests. Fails if any fails that KNOWN-RED.txt doesn't name; prints those that it names and that failed.
set -uo pipefail
cd "$(dirname "$0")/.."
results=target/tests.tap
tests=$(find target/check/test -name '*.test.js' | sort)
[ -n "$tests" ] || { echo "no tests are built" >&2; exit 1; }
# shellcheck disable=SC2086 # one argument for each file
# A test that hangs fails by its name instead of holding up the whole run.
node --test --test-timeout=600000 --test-reporter=spec --test-reporter-destination=stdout \
  --test-reporter=tap --test-reporter-destination="$results" $tests && exit 0
# The tests that failed, at any depth; a suite is none of them where only its tests failed.
failed=$(awk '/^ *not ok [0-9]+ - / { if (name != "") print name; name = $0; sub(/^ *not ok [0-9]+ - /, "", name) }
  /^ *failureType: .subtestsFailed./ { name = "" }
  END { if (name != "") print name }' "$results")
# A run that failed without naming a test, or that never got to the end, is no known one.
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
