#!/usr/bin/env bash
# Measures what one host adds to the calls that go through it: a platform, a
# plain service, engines, one host and the load program, each a process of its
# own on loopback. GOMAXPROCS of the host and of the service is 4.
#
#   scripts/bench.sh [calls|peak|relay|compare|compare-streams|streams]...
#
# BEFORE=FILE compare (or compare-streams) runs a host of an earlier build of bin/bench beside the
# present one; its columns are those called direct.
#
# PROFILE=DIR writes CPU and heap profiles of the host taken during each part,
# KEEP=DIR keeps the logs, SET="key=value ..." changes settings of the host.
set -euo pipefail
cd "$(dirname "$0")/.."

BASE=${BASE:-29500} # first of 100 ports on 127.0.0.1
ROUNDS=${ROUNDS:-3}
CALL_TIME=${CALL_TIME:-10s}
PEAK_TIME=${PEAK_TIME:-5s}
STREAMS=${STREAMS:-1000}
PROFILE=${PROFILE:-}
KEEP=${KEEP:-}
SET=${SET:-}
BEFORE=${BEFORE:-}
ENGINES=40 # each takes 32 answers at a time
OUT=$(mktemp -d)
PIDS=()

# shellcheck disable=SC2317
stop() {
	end_all
	[ -z "$KEEP" ] || cp -r "$OUT" "$KEEP"
	rm -rf "$OUT"
}
trap stop EXIT

WHO=bench
# shellcheck source=scripts/processes.sh
. scripts/processes.sh

PLATFORM=127.0.0.1:$BASE SERVICE=127.0.0.1:$((BASE + 1)) HOST=127.0.0.1:$((BASE + 2)) PEERS=127.0.0.1:$((BASE + 3)) PPROF=127.0.0.1:$((BASE + 4))
RELAY=127.0.0.1:$((BASE + 5)) HOST2=127.0.0.1:$((BASE + 6)) PEERS2=127.0.0.1:$((BASE + 7)) PPROF2=127.0.0.1:$((BASE + 8))
ENGINE=$((BASE + 10))
KEY=bench

cat >"$OUT/config.json" <<JSON
{"services": [{"name": "llm", "kind": "engine", "models": ["m"]}, {"name": "app", "kind": "service"}],
 "classes": [{"name": "bench", "deadline_ms": 60000}],
 "customers": [{"name": "bench", "class": "bench", "key_sha256": "$(printf %s "$KEY" | sha256sum | cut -d' ' -f1)"}]}
JSON
{
	echo "[{\"name\": \"app-1\", \"kind\": \"service\", \"state\": \"live\", \"addr\": \"$SERVICE\", \"failure_domain\": \"p\", \"service\": \"app\"}"
	echo ",{\"name\": \"host-1\", \"kind\": \"host\", \"state\": \"live\", \"addr\": \"$HOST\", \"failure_domain\": \"p\"}"
	[ -z "$BEFORE" ] || echo ",{\"name\": \"host-2\", \"kind\": \"host\", \"state\": \"live\", \"addr\": \"$HOST2\", \"failure_domain\": \"p\"}"
	for i in $(seq 1 $ENGINES); do
		echo ",{\"name\": \"engine-$i\", \"kind\": \"engine\", \"state\": \"live\", \"addr\": \"127.0.0.1:$((ENGINE + i - 1))\", \"failure_domain\": \"p\", \"service\": \"llm\"}"
	done
	echo "]"
} >"$OUT/hosts.json"

go build -o bin/bench ./bench
start platform bin/standin platform --listen "$PLATFORM" --hosts "$OUT/hosts.json" --config "$OUT/config.json" --host-lag 1s
await "http://$PLATFORM/stats"
start service env GOMAXPROCS=4 bin/standin service --listen "$SERVICE" --name app-1 --work-ms 0
SERVICE_PID=${PIDS[-1]}
start engines env GOMAXPROCS=4 bin/bench engines --port "$ENGINE" --n $ENGINES
# shellcheck disable=SC2046,SC2086
serve() { # serve NAME BINARY CALLERS PEERS PPROF
	start "$1" env GOMAXPROCS=4 "$2" host --pprof "$5" --set "host.name=$1" --set host.failure_domain=p \
		--set "platform.addr=$PLATFORM" --set "callers.listen=$3" --set "peers.listen=$4" ${SET:+$(printf -- '--set %s ' $SET)}
}
serve host-1 bin/bench "$HOST" "$PEERS" "$PPROF"
PID=${PIDS[-1]}
if [ -n "$BEFORE" ]; then
	serve host-2 "$BEFORE" "$HOST2" "$PEERS2" "$PPROF2"
	PID2=${PIDS[-1]}
	await "http://$HOST2/readyz"
fi
start relay env GOMAXPROCS=4 bin/bench relay --listen "$RELAY" --upstream "$SERVICE"
RELAY_PID=${PIDS[-1]}
await "http://$HOST/readyz"
sleep 2 # the first health checks

profile() { # profile NAME: take profiles while the part runs
	[ -n "$PROFILE" ] || return 0
	mkdir -p "$PROFILE"
	(sleep 5 && curl -fsS -o "$PROFILE/$1.cpu" "http://$PPROF/debug/pprof/profile?seconds=8" && curl -fsS -o "$PROFILE/$1.heap" "http://$PPROF/debug/pprof/heap") &
}

ENDS=(--host "$HOST" --key "$KEY" --rounds "$ROUNDS")
for part in "${@:-calls peak relay streams}"; do
	for what in $part; do
		echo "bench: $what, $(nproc) cores, load average $(cut -d' ' -f1-3 /proc/loadavg), times in microseconds"
		profile "$what"
		case $what in
		calls)
			for rate in 500 5000; do
				env GOMAXPROCS=4 bin/bench calls "${ENDS[@]}" --direct "$SERVICE" --rate $rate --time "$CALL_TIME"
			done
			;;
		peak) env GOMAXPROCS=4 bin/bench peak "${ENDS[@]}" --direct "$SERVICE" --time "$PEAK_TIME" --host-pid "$PID" --service-pid "$SERVICE_PID" ;;
		compare)
			env GOMAXPROCS=4 bin/bench peak "${ENDS[@]}" --before --conns 24 --direct "$HOST2" --time "$PEAK_TIME" --host-pid "$PID" --service-pid "$PID2"
			;;
		compare-streams)
			for _ in $(seq "$ROUNDS"); do
				echo "before:"
				env GOMAXPROCS=4 bin/bench streams --key "$KEY" --rounds 1 --host "$HOST2" --direct "127.0.0.1:$ENGINE" --streams "$STREAMS" --host-pid "$PID2" --pprof "$PPROF2"
				echo "after:"
				env GOMAXPROCS=4 bin/bench streams --key "$KEY" --rounds 1 --host "$HOST" --direct "127.0.0.1:$ENGINE" --streams "$STREAMS" --host-pid "$PID" --pprof "$PPROF"
			done
			;;
		relay)
			echo "bench: a bare relay in place of the host:"
			for rate in 500 5000; do
				env GOMAXPROCS=4 bin/bench calls --host "$RELAY" --key "$KEY" --rounds "$ROUNDS" --direct "$SERVICE" --rate $rate --time "$CALL_TIME"
			done
			env GOMAXPROCS=4 bin/bench peak --host "$RELAY" --key "$KEY" --rounds "$ROUNDS" --direct "$SERVICE" --time "$PEAK_TIME" --host-pid "$RELAY_PID" --service-pid "$SERVICE_PID"
			;;
		streams) env GOMAXPROCS=4 bin/bench streams "${ENDS[@]}" --direct "127.0.0.1:$ENGINE" --streams "$STREAMS" --host-pid "$PID" --pprof "$PPROF" ;;
		*) echo "bench: $what is no part; use calls, peak, relay, compare, compare-streams or streams" >&2 && exit 2 ;;
		esac
	done
done
