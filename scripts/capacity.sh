#!/usr/bin/env bash
# Measures what an idle fleet costs: real daemons on loopback before the stand-in
# platform and idle stand-in runners, as separate processes. Prints one row (tab
# separated, a header first) with the cost of a host, as the mean over the hosts.
#
#   scripts/capacity.sh HOSTS RUNNERS CUSTOMERS [MODELS]    one row
#   scripts/capacity.sh --matrix                          the grid, into out/capacity.tsv
#
# Processor time comes from /proc/PID/stat, so that a busy machine doesn't count;
# the load average stands beside each row all the same.
set -euo pipefail
cd "$(dirname "$0")/.."

BASE=${BASE:-10000}       # first port on 127.0.0.1; hosts and runners take theirs from there
SETTLE=${SETTLE:-15}      # seconds after the last host is ready
WINDOW=${WINDOW:-20}      # seconds measured
PROCS=${PROCS:-2}         # processors that a host's runtime uses
SET=${SET:-}              # further settings of the hosts: "section.key=value ..."
OUT=${OUT:-$(mktemp -d)}
PIDS=()
HOST_PIDS=()

# shellcheck source=scripts/capacity/lib.sh
. scripts/capacity/lib.sh

# Every step of the grid changes one size only, so that each has a slope.
matrix() {
	mkdir -p out
	local head=1 size
	while read -r size; do
		# shellcheck disable=SC2086
		"$0" $size | if [ "$head" = 1 ]; then cat; else tail -n +2; fi
		head=0
	done < <(grep -v '^#' "${MATRIX:-scripts/capacity/matrix.txt}") | tee out/capacity.tsv
}

measure() { # measure HOSTS RUNNERS CUSTOMERS MODELS
	start_fleet "$@"
	sleep "$SETTLE"
	snapshot before
	sleep "$WINDOW"
	snapshot after
	row "$@"
}

if [ "${1:-}" = --matrix ]; then
	matrix
	exit 0
fi
trap stop EXIT
measure "${1:?hosts}" "${2:?runners}" "${3:?customers}" "${4:-1}"
