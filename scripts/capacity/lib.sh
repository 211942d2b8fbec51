# Functions of scripts/capacity.sh; sourced by it.

# shellcheck disable=SC2317
stop() {
	end_all
	[ -n "${KEEP_OUT:-}" ] || rm -rf "$OUT"
}

WHO=capacity
# shellcheck source=scripts/processes.sh
. scripts/processes.sh

start_host() { # start_host NAME FAILURE_DOMAIN CALLERS PEERS [SETTING...]
	local name=$1 domain=$2 callers=$3 peers=$4 sets=()
	shift 4
	for s in $SET "$@"; do sets+=(--set "$s"); done
	GOMAXPROCS=$PROCS start "$name" "${HOSTD:-bin/thymerackd}" \
		--set "host.name=$name" --set "host.failure_domain=$domain" --set "platform.addr=127.0.0.1:$BASE" \
		--set "callers.listen=$callers" --set "peers.listen=$peers" "${sets[@]}"
	HOST_PIDS+=("${PIDS[-1]}")
}

# start_fleet lays the fleet out and starts platform, runners and hosts.
start_fleet() { # start_fleet HOSTS RUNNERS CUSTOMERS MODELS
	local services=$(($2 / 5))
	[ "$services" -le 15 ] || services=15
	bin/standin fleet --base-port "$BASE" --out "$OUT" --hosts "$1" --engines "$(($2 - services))" \
		--service-runners "$services" --models "$4" --customers "$(($3 > 3 ? $3 - 3 : 0))"
	start platform bin/standin platform --listen "127.0.0.1:$BASE" --hosts "$OUT/hosts.json" --config "$OUT/config.json" \
		--host-lag 1s --writes "${WRITES:-500}" --reads "${READS:-2000}"
	PLATFORM_PID=${PIDS[-1]}
	await "http://127.0.0.1:$BASE/stats" 300 0.2
	start_runners $(($1 / 16 + 1))
	local name domain callers peers
	while read -r name domain callers peers; do
		start_host "$name" "$domain" "$callers" "$peers"
	done < <(jq -r '.hosts[] | [.name, .failure_domain, .caller_addr, .peer_addr] | join(" ")' "$OUT/plan.json")
	jq -r '.hosts[].caller_addr' "$OUT/plan.json" >"$OUT/addrs"
	while read -r addr; do await "http://$addr/readyz" 300 0.2; done <"$OUT/addrs"
}

# start_runners serves the runners from a few processes: each connection of each
# host takes one of a process's open files.
start_runners() { # start_runners PARTS
	local part
	RUNNER_ADDRS=()
	for part in $(seq 0 $(($1 - 1))); do
		start "runners-$part" bin/standin engines --list "$OUT/hosts.json" --part "$part" --parts "$1"
		RUNNER_ADDRS+=("$(jq -r "[.[] | select(.kind != \"host\")][$part].addr" "$OUT/hosts.json")")
	done
	for addr in "${RUNNER_ADDRS[@]}"; do await "http://$addr/stats" 300 0.2; done
}

# runner_stats sums what the hosts spent on all runners.
runner_stats() {
	for addr in "${RUNNER_ADDRS[@]}"; do curl -fsS "http://$addr/stats"; done |
		jq -s '{calls: map(.calls) | add, connections: map(.connections) | add, bytes_in: map(.bytes_in) | add, bytes_out: map(.bytes_out) | add}'
}

ticks() { # ticks PID: processor time in clock ticks
	sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'
}

# snapshot writes one line a host: time, name-less counters summed over its labels.
snapshot() { # snapshot NAME
	local i=0 pid addr
	: >"$OUT/$1.hosts"
	while read -r addr; do
		pid=${HOST_PIDS[$i]}
		i=$((i + 1))
		printf '%s %s %s %s ' "$(date +%s.%N)" "$(ticks "$pid")" \
			"$(awk '/^VmRSS/{print $2}' "/proc/$pid/status")" "$(awk '/^RssAnon/{print $2}' "/proc/$pid/status")" >>"$OUT/$1.hosts"
		curl -fsS "http://$addr/metrics" | awk -f scripts/capacity/metrics.awk >>"$OUT/$1.hosts"
	done <"$OUT/addrs"
	curl -fsS "http://127.0.0.1:$BASE/stats" >"$OUT/$1.platform"
	runner_stats >"$OUT/$1.runners"
	ticks "$PLATFORM_PID" >"$OUT/$1.platform.ticks"
	date +%s.%N >"$OUT/$1.time"
}

row() { # row HOSTS RUNNERS CUSTOMERS MODELS
	local took platform runners
	took=$(echo "$(cat "$OUT/after.time") - $(cat "$OUT/before.time")" | bc -l)
	platform=$(jq -rn --slurpfile a "$OUT/before.platform" --slurpfile b "$OUT/after.platform" --argjson t "$took" \
		'[($b[0].total.calls-$a[0].total.calls)/$t, ($b[0].total.refused-$a[0].total.refused)/$t, ($b[0].total.bytes_out-$a[0].total.bytes_out)/$t] | map(tostring) | join(" ")')
	runners=$(jq -rn --slurpfile a "$OUT/before.runners" --slurpfile b "$OUT/after.runners" --argjson t "$took" \
		'[($b[0].calls-$a[0].calls)/$t, ($b[0].bytes_in+$b[0].bytes_out-$a[0].bytes_in-$a[0].bytes_out)/$t, ($b[0].connections-$a[0].connections)/$t] | map(tostring) | join(" ")')
	paste -d' ' "$OUT/before.hosts" "$OUT/after.hosts" | awk -f scripts/capacity/row.awk \
		-v size="$*" -v load="$(cut -d' ' -f1 /proc/loadavg)" -v platform="$platform" -v runners="$runners" \
		-v platform_cpu="$(echo "($(cat "$OUT/after.platform.ticks") - $(cat "$OUT/before.platform.ticks")) / $took" | bc -l)" \
		-v procs="$PROCS"
}
