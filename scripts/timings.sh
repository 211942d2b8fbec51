#!/usr/bin/env bash
# Measures on real processes how long a fleet takes to take things in:
#   - an accepted edit of the configuration, until it is in force at every host;
#   - an upstream that the platform's list shows as leaving, until its last new request;
#   - a killed planner, until another host holds its lease.
#
#   scripts/timings.sh [HOSTS] [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/.."

HOSTS=${1:-8}
ROUNDS=${2:-5}
BASE=${BASE:-12000}
PROCS=${PROCS:-2}
SET=${SET:-}
OUT=$(mktemp -d)
PIDS=()
HOST_PIDS=()

# shellcheck source=scripts/capacity/lib.sh
. scripts/capacity/lib.sh
trap stop EXIT

now_ms() { date +%s%3N; }

start_fleet "$HOSTS" 15 3 1
FIRST=$(head -n 1 "$OUT/addrs")
ctl() { bin/thymectl --host "$FIRST" "$@"; }
sleep 5
echo "timings: $HOSTS hosts, load average $(cut -d' ' -f1 /proc/loadavg)"

echo "edit accepted -> in force at all $HOSTS hosts, ms (polled every 20 ms):"
for _ in $(seq "$ROUNDS"); do
	ctl -o json config get >"$OUT/now.json"
	base=$(jq .version "$OUT/now.json")
	jq ".value | .customers[0].weight = $((RANDOM % 9 + 1))" "$OUT/now.json" >"$OUT/next.json"
	ctl config apply "$OUT/next.json" --base "$base" --wait 0s >"$OUT/applied" 2>&1
	at=$(now_ms)
	version=$(grep -o 'version [0-9]*' "$OUT/applied" | head -n 1 | cut -d' ' -f2)
	while ! ctl -o json config status | jq -e --argjson v "$version" --argjson n "$HOSTS" '[.hosts[] | select(.version >= $v)] | length >= $n' >/dev/null; do sleep 0.02; done
	printf ' %d' $(($(now_ms) - at))
	sleep 1
done
echo

echo "platform lists an engine as leaving -> every host gives it no new work, ms (polled all the time):"
for i in $(seq "$ROUNDS"); do
	name=$(jq -r --argjson i "$i" '[.[] | select(.kind == "engine")][$i].name' "$OUT/hosts.json")
	revision=$(curl -fsS "http://127.0.0.1:$BASE/v1/hosts?after=0&wait_ms=0" | jq .revision)
	curl -fsS -o /dev/null -X POST -H 'Content-Type: application/json' -d "{\"name\":\"$name\",\"state\":\"leaving\"}" "http://127.0.0.1:$BASE/fault/hosts"
	curl -fsS -o /dev/null "http://127.0.0.1:$BASE/v1/hosts?after=$revision&wait_ms=10000" # returns once the list shows it
	at=$(now_ms)
	while ! curl -fsS -Z --parallel-max 64 $(sed 's|.*|http://&/admin/v1/upstreams|' "$OUT/addrs") 2>/dev/null |
		jq -s -e --arg n "$name" '[.[][] | select(.name == $n and (.leaving | not))] | length == 0' >/dev/null; do :; done
	printf ' %d' $(($(now_ms) - at))
done
echo

service=$(jq -r '[.services[] | select(.kind == "engine")][0].name' "$OUT/config.json")
holder() { curl -fsS "http://127.0.0.1:$BASE/v1/objects/lease/planner.$service" | jq -r '.value | @base64d | fromjson | .holder.name'; }
echo "planner killed -> another host holds the lease, ms (polled every 50 ms); what it did with an order then:"
engine=$(jq -r '[.[] | select(.kind == "engine")][-1].name' "$OUT/hosts.json")
for i in 1 2; do
	name=$(holder)
	n=$(jq -r --arg n "$name" '[.hosts[].name] | index($n)' "$OUT/plan.json")
	addr=$(jq -r --arg n "$name" '.hosts[] | select(.name != $n) | .caller_addr' "$OUT/plan.json" | sed -n 2p)
	kill -KILL "${HOST_PIDS[$n]}"
	wait "${HOST_PIDS[$n]}" 2>/dev/null || true
	at=$(now_ms)
	while [ "$(holder)" = "$name" ]; do sleep 0.05; done
	printf ' lease taken after %d' $(($(now_ms) - at))
	bin/thymectl --host "$addr" role "$engine" decode >/dev/null 2>&1 || true
	sleep 3
	printf ' (order then: %s)' "$(bin/thymectl --host "$addr" -o json why engine "$engine" | jq -r '[.decisions[].chosen] | last')"
done
echo
