# Processes of a script on loopback; sourced by scripts that set OUT, a folder for
# logs, and PIDS, the processes to end. WHO names the script in messages.

start() { # start LOGNAME COMMAND...
	local name=$1
	shift
	"$@" >"$OUT/$name.log" 2>&1 &
	PIDS+=($!)
}

await() { # await URL [TRIES [PAUSE]]
	for _ in $(seq 1 "${2:-100}"); do
		curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
		sleep "${3:-0.1}"
	done
	echo "$WHO: $1 did not become ready; logs:" >&2
	tail -n 5 "$OUT"/*.log >&2
	return 1
}

end_all() {
	for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
}
