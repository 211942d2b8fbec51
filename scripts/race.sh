#!/usr/bin/env bash
# Runs every test of every module under the race detector. A crash of the detector
# itself (an internal check of its runtime, seen once in about ten runs of one
# package) is no verdict about the code: what it hit is run once more, and said so.
# A test that fails, or a race that is found, is never run again.
#
# Tests that KNOWN-RED.txt lists (package, test, cause, issue) may fail: they are
# printed and passed over, if nothing else failed and no race or panic was seen.
set -uo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
LOG=$(mktemp)
trap 'rm -f "$LOG"' EXIT

run() { "$GO" test -race -timeout 20m work 2>&1 | tee "$LOG"; }

# only_known reports whether all that failed is listed in KNOWN-RED.txt.
only_known() {
	[ -s KNOWN-RED.txt ] || return 1
	! grep -qE 'WARNING: DATA RACE|^panic:|^fatal error:|\[build failed\]|\[setup failed\]|test timed out' "$LOG" || return 1
	local packages tests name
	packages=$(grep -cE $'^FAIL\t' "$LOG")
	tests=$(sed -n 's/^--- FAIL: \([^ ]*\).*/\1/p' "$LOG")
	[ -n "$tests" ] && [ "$packages" -le "$(wc -l <<<"$tests")" ] || return 1
	for name in $tests; do
		grep -qE "(^|[[:space:]])$name([[:space:]]|:)" KNOWN-RED.txt || return 1
	done
	echo "race.sh: known to fail, listed in KNOWN-RED.txt and passed over:"
	for name in $tests; do grep -E "(^|[[:space:]])$name([[:space:]]|:)" KNOWN-RED.txt; done
}

run && exit 0
if grep -q 'ThreadSanitizer: CHECK failed: tsan_rtl' "$LOG" && ! grep -qE '^(\s*--- FAIL|WARNING: DATA RACE|panic:)' "$LOG"; then
	echo "race.sh: the race detector itself crashed; running what it hit once more"
	run
	exit
fi
only_known
