#!/usr/bin/env bash
# Measures what changes cost a fleet of idle hosts: an edit of the configuration
# (until the last host has it in force), a host that is killed and started again,
# and a change of the platform's list. Prints a line each.
#
#   scripts/capacity/change.sh HOSTS RUNNERS CUSTOMERS [MODELS]
set -euo pipefail
cd "$(dirname "$0")/../.."

BASE=${BASE:-17000}
SETTLE=${SETTLE:-130}     # past the first sweep of old claims
WINDOW=${WINDOW:-20}
PROCS=${PROCS:-2}
EDITS=${EDITS:-5}
RESTARTS=${RESTARTS:-5}
SET=${SET:-}
OUT=${OUT:-$(mktemp -d)}
PIDS=()
HOST_PIDS=()

# shellcheck source=scripts/capacity/lib.sh
. scripts/capacity/lib.sh
trap stop EXIT

# platform_use prints calls, bytes out and processor ticks of all hosts so far.
platform_use() {
	local sum=0 pid
	for pid in "${HOST_PIDS[@]}"; do sum=$((sum + $(ticks "$pid" 2>/dev/null || echo 0))); done
	echo "$(curl -fsS "http://127.0.0.1:$BASE/stats" | jq -r '[.total.calls, .total.bytes_out] | join(" ")') $sum $(date +%s.%N)"
}

# report prints what N changes cost beyond the idle rates found before.
report() { # report NAME N BEFORE AFTER
	echo "$3 $4 $IDLE" | awk -v name="$1" -v n="$2" -v load="$(cut -d' ' -f1 /proc/loadavg)" -v hosts="${#HOST_PIDS[@]}" '{
		t = $8 - $4
		printf "%s\tchanges=%d\tload1=%s\tplatform calls/change=%.1f\tplatform bytes/change=%.0f\tcpu ms/change/host=%.2f\n", name, n, load, \
			($5 - $1 - $9 * t) / n, ($6 - $2 - $10 * t) / n, (($7 - $3) - $11 * t) * 10 / n / hosts
	}'
}

# in_force prints, for each host, when it put a version in force.
in_force() { # in_force VERSION
	grep -h "configuration in force" "$OUT"/host-*.log | grep "version=$1 " | sed 's/time=\([^ ]*\) .*/\1/'
}

edit() {
	local addr base sent version
	addr=$(shuf -n1 "$OUT/addrs")
	curl -fsS "http://$addr/admin/v1/config" >"$OUT/config.now"
	base=$(jq .version "$OUT/config.now")
	jq -c ".value | .customers[0].weight = $RANDOM + 1" "$OUT/config.now" >"$OUT/config.next"
	sent=$(date +%s.%N)
	version=$(curl -fsS -X PUT --data-binary "@$OUT/config.next" "http://$addr/admin/v1/config?base=$base" | jq .version)
	for _ in $(seq 1 50); do
		[ "$(in_force "$version" | wc -l)" -ge "${#HOST_PIDS[@]}" ] && break
		sleep 0.2
	done
	in_force "$version" | while read -r at; do date -d "$at" +%s.%N; done | sort -n | awk -v sent="$sent" -v hosts="${#HOST_PIDS[@]}" -v bytes="$(stat -c %s "$OUT/config.next")" \
		'{ last = $1 } END { printf "edit\tbytes=%d\thosts in force=%d of %d\tlast after %.3f s of the edit being sent\n", bytes, NR, hosts, last - sent }'
}

# restart kills host N and starts it anew; prints the time from start to ready.
restart() { # restart INDEX [SETTING...]
	local i=$1 name domain callers peers began
	shift
	read -r name domain callers peers < <(jq -r ".hosts[$i] | [.name, .failure_domain, .caller_addr, .peer_addr] | join(\" \")" "$OUT/plan.json")
	kill -KILL "${HOST_PIDS[$i]}" 2>/dev/null || true
	{ wait "${HOST_PIDS[$i]}"; } 2>/dev/null || true
	sleep 1
	began=$(date +%s%N)
	start_host "$name" "$domain" "$callers" "$peers" "$@"
	HOST_PIDS[i]=${HOST_PIDS[-1]}
	unset 'HOST_PIDS[-1]'
	until curl -fsS -o /dev/null "http://$callers/readyz" 2>/dev/null; do
		sleep 0.01
		[ $((($(date +%s%N) - began) / 1000000000)) -lt 60 ] || break
	done
	echo $((($(date +%s%N) - began) / 1000000))
}

start_fleet "$@" "${4:-1}"
sleep "$SETTLE"
before=$(platform_use)
sleep "$WINDOW"
after=$(platform_use)
IDLE=$(echo "$before $after" | awk '{ t = $8 - $4; print ($5 - $1) / t, ($6 - $2) / t, ($7 - $3) / t }')
echo "idle	$* load1=$(cut -d' ' -f1 /proc/loadavg)	platform calls/s, bytes/s, ticks/s: $IDLE"

before=$(platform_use)
for _ in $(seq 1 "$EDITS"); do edit; done
report edits "$EDITS" "$before" "$(platform_use)"

before=$(platform_use)
for i in $(seq 1 "$EDITS"); do
	curl -fsS -X POST -d "{\"row\":{\"name\":\"new-$i\",\"kind\":\"host\",\"state\":\"live\",\"addr\":\"127.0.0.1:1\",\"failure_domain\":\"hall-nord\"}}" "http://127.0.0.1:$BASE/fault/hosts"
	sleep 1.5
done
report list "$EDITS" "$before" "$(platform_use)"

before=$(platform_use)
took=()
for i in $(seq 1 "$RESTARTS"); do
	took+=("$(restart $((i % ${#HOST_PIDS[@]})))")
	sleep 3
done
echo "start to ready, platform up, ms: ${took[*]}"
report restarts "$RESTARTS" "$before" "$(platform_use)"

SEEDS=$(jq -r '[.hosts[-3:][].peer_addr] | join(",")' "$OUT/plan.json")
curl -fsS -X POST -d '{"fault":"down","mode":"refuse"}' "http://127.0.0.1:$BASE/fault"
sleep 2
took=()
for i in $(seq 1 "$RESTARTS"); do took+=("$(restart $((i % ${#HOST_PIDS[@]})) "peers.seeds=$SEEDS")"); done
echo "start to ready, platform down, a seed alive, ms: ${took[*]}"
