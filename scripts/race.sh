#!/usr/bin/env bash
# Runs every test of every module under the race detector. A crash of the detector
# itself (an internal check of its runtime, seen once in about ten runs of one
# package) is no verdict about the code: what it hit is run once more, and said so.
# So is a segmentation fault of the detector under the runtime's timers: two packages
# in one run had it at the same address in __tsan::SlotLock (found by nm), below
# runtime.(*timer).maybeRunChan and modify in a synctest bubble. A fault in Go code is
# a panic and looks different. A test that fails, or a race that is found, is never run
# again.
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

# detector_crashed reports whether the detector itself crashed and nothing else failed.
detector_crashed() {
	! grep -qE '^(\s*--- FAIL|WARNING: DATA RACE|panic:)' "$LOG" || return 1
	! grep -q 'ThreadSanitizer: CHECK failed: tsan_rtl' "$LOG" || return 0
	local faults under_timers
	faults=$(grep -c '^SIGSEGV: segmentation violation' "$LOG")
	under_timers=$(grep -A10 '^SIGSEGV: segmentation violation' "$LOG" | grep -c '^runtime\.(\*timer)\.')
	[ "$faults" -gt 0 ] && [ "$faults" -eq "$under_timers" ]
}

run && exit 0
if detector_crashed; then
	echo "race.sh: the race detector itself crashed; running what it hit once more"
	run
	exit
fi
only_known
