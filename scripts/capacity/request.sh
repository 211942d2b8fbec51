#!/usr/bin/env bash
# Measures what requests, tokens and calls that may not be repeated cost a host:
# HOSTS daemons before real stand-in engines (one process each) and services, with
# one kind of request at a fixed rate. Prints one row a kind; "idle" comes first
# and is taken off the others.
#
#   scripts/capacity/request.sh [HOSTS]
set -euo pipefail
cd "$(dirname "$0")/../.."

HOSTS=${1:-1}
BASE=${BASE:-14000}
SETTLE=${SETTLE:-10}
WINDOW=${WINDOW:-25}
PROCS=${PROCS:-2}
KINDS=${KINDS:-idle:0 one-token:40 one-token:80 many-tokens:5 many-tokens:20 long-prompt:20 one-call:20 one-call:80}
SET=${SET:-}
OUT=${OUT:-$(mktemp -d)}
PIDS=()
HOST_PIDS=()

# shellcheck source=scripts/capacity/lib.sh
. scripts/capacity/lib.sh
trap stop EXIT

# request_snapshot writes the sums over the hosts: ticks, RSS kB, tokens after the
# first, answers, calls to the platform, bytes to and from it, bytes to peers, claims' share.
request_snapshot() { # request_snapshot FILE
	local i=0 addr ticks_sum=0 rss=0
	: >"$OUT/pages"
	while read -r addr; do
		ticks_sum=$((ticks_sum + $(ticks "${HOST_PIDS[$i]}")))
		rss=$((rss + $(awk '/^VmRSS/{print $2}' "/proc/${HOST_PIDS[$i]}/status")))
		i=$((i + 1))
		curl -fsS "http://$addr/metrics" >>"$OUT/pages"
	done <"$OUT/addrs"
	printf '%s %s %s ' "$(date +%s.%N)" "$ticks_sum" "$rss" >"$1"
	awk -f scripts/capacity/request.awk "$OUT/pages" >>"$1"
}

bin/standin fleet --deployment rostering --base-port "$BASE" --out "$OUT" --hosts "$HOSTS"
jq "[.[] | select(.kind != \"host\" or (.name | ltrimstr(\"host-\") | tonumber) <= $HOSTS)]" "$OUT/hosts.json" >"$OUT/listed.json"
start platform bin/standin platform --listen "127.0.0.1:$BASE" --hosts "$OUT/listed.json" --config "$OUT/config.json" --writes 5000 --reads 20000
await "http://127.0.0.1:$BASE/stats" 300 0.2
SERVICES=()
while read -r name addr args; do
	case $args in
	engine*) args="$args --prefill-rate 1000000 --decode-base-ms 10 --decode-seq-ms 0.05 --max-batch 256" ;;
	service*) SERVICES+=("$addr") ;;
	esac
	# shellcheck disable=SC2086
	start "$name" bin/standin $args
done < <(jq -r '.processes[] | select(.name != "platform") | .name + " " + .addr + " " + (.args | join(" "))' "$OUT/plan.json")
while read -r name domain callers peers; do
	start_host "$name" "$domain" "$callers" "$peers" streams.keep_ended_ms=5000
done < <(jq -r '.hosts[] | [.name, .failure_domain, .caller_addr, .peer_addr] | join(" ")' "$OUT/plan.json")
jq -r '.hosts[].caller_addr' "$OUT/plan.json" >"$OUT/addrs"
while read -r addr; do await "http://$addr/readyz" 300 0.2; done <"$OUT/addrs"

printf 'hosts\tkind\trate\tload1\tcpu_ms/s\tRSS_MB\tanswers/s\ttokens/s\tplat_calls/s\tplat_B/s\tpeer_B/s\tcpu_us/answer\tplat_calls/answer\tplat_B/answer\n'
IDLE=
mapfile -t TARGETS <"$OUT/addrs"
for kind in $KINDS; do
	name=${kind%%:*} rate=${kind##*:}
	if [ "$name" != idle ]; then
		bin/standin load --preset "$name" --targets "${TARGETS[@]}" --services "${SERVICES[@]}" --keys "$OUT/keys.json" \
			--rate "$rate" --duration "$((SETTLE + WINDOW + 4))s" >"$OUT/load.$name.$rate" 2>&1 &
		LOAD=$!
		PIDS+=("$LOAD")
	fi
	sleep "$SETTLE"
	request_snapshot "$OUT/before"
	sleep "$WINDOW"
	request_snapshot "$OUT/after"
	line=$(paste -d' ' "$OUT/before" "$OUT/after" | awk -f scripts/capacity/request_row.awk -v hosts="$HOSTS" -v kind="$name" -v rate="$rate" \
		-v load="$(cut -d' ' -f1 /proc/loadavg)" -v idle="$IDLE")
	if [ "$name" = idle ]; then IDLE=$(cut -f5,9,10 <<<"$line"); fi
	echo "$line"
	if [ "$name" != idle ]; then
		wait "$LOAD" || { echo "capacity: the load program found faults:" >&2 && cat "$OUT/load.$name.$rate" >&2; }
	fi
done
