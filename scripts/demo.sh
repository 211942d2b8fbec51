#!/usr/bin/env bash
# Runs the main job on stand-ins: a platform, 12 engines, 3 service runners and 3
# hosts, one a failure domain, as separate processes on loopback. Sends the rostering mix,
# stops one host by SIGTERM and kills one engine in the middle, and prints what
# the callers saw. Exits non-zero if an answer was cut, mixed up or doubled.
set -euo pipefail
cd "$(dirname "$0")/.."

BASE=${BASE:-21000}         # first of 200 ports on 127.0.0.1
SECONDS_OF_LOAD=${SECONDS_OF_LOAD:-25}
RATE=${RATE:-30}            # requests a second
DEPLOYMENT=${DEPLOYMENT:-rostering}
OUT=$(mktemp -d)
PIDS=()

# shellcheck disable=SC2317
stop() {
	end_all
	rm -rf "$OUT"
}
trap stop EXIT

WHO=demo
# shellcheck source=scripts/processes.sh
. scripts/processes.sh

bin/standin fleet --deployment "$DEPLOYMENT" --base-port "$BASE" --out "$OUT" >/dev/null
# Only the three hosts of the demo are listed.
jq '[.[] | select(.kind != "host" or (.name | test("host-[123]$")))]' "$OUT/hosts.json" >"$OUT/listed.json"

start platform bin/standin platform --listen "127.0.0.1:$BASE" --hosts "$OUT/listed.json" --config "$OUT/config.json" --host-lag 1s
await "http://127.0.0.1:$BASE/stats"

N=0
SERVICES=()
while read -r name addr args; do
	# shellcheck disable=SC2086
	start "$name" bin/standin $args
	case $args in
	engine*)
		N=$((N + 1))
		[ "$N" = 5 ] && VICTIM=${PIDS[-1]} VICTIM_NAME=$name
		;;
	service*) SERVICES+=("$addr") ;;
	esac
done < <(jq -r '.processes[] | select(.name != "platform") | .name + " " + .addr + " " + (.args | join(" "))' "$OUT/plan.json")

TARGETS=()
while read -r name domain callers peers; do
	start "$name" bin/thymerackd \
		--set "host.name=$name" --set "host.failure_domain=$domain" --set "platform.addr=127.0.0.1:$BASE" \
		--set "callers.listen=$callers" --set "peers.listen=$peers" \
		--set callers.unready_grace_ms=2000 --set streams.keep_ended_ms=5000
	TARGETS+=("$callers")
	HOST=${PIDS[-1]}
done < <(jq -r '.hosts[:3][] | [.name, .failure_domain, .caller_addr, .peer_addr] | join(" ")' "$OUT/plan.json")
for addr in "${TARGETS[@]}"; do await "http://$addr/readyz"; done
if [ -n "${KEEP:-}" ]; then
	echo "demo: hosts at ${TARGETS[*]}; press Enter to stop"
	read -r _
	exit 0
fi

echo "demo: ${#TARGETS[@]} hosts, $N engines and ${#SERVICES[@]} service runners are up"
bin/standin load --preset "$DEPLOYMENT" --targets "${TARGETS[@]}" --services "${SERVICES[@]}" --keys "$OUT/keys.json" \
	--rate "$RATE" --duration "${SECONDS_OF_LOAD}s" >"$OUT/report.txt" 2>"$OUT/load.log" &
LOAD=$!
PIDS+=("$LOAD")
sleep $((SECONDS_OF_LOAD / 3))
echo "demo: SIGKILL to engine $VICTIM_NAME"
kill -KILL "$VICTIM"
wait "$VICTIM" 2>/dev/null || true
sleep $((SECONDS_OF_LOAD / 3))
echo "demo: SIGTERM to the last host"
kill -TERM "$HOST"
STATUS=0
wait "$LOAD" || STATUS=$?
cat "$OUT/report.txt"
tail -n 3 "$OUT/load.log" >&2
LEFT=0
wait "$HOST" || LEFT=$?
echo "demo: the stopped host ended with status $LEFT"
[ "$LEFT" = 0 ] || STATUS=1
exit "$STATUS"
