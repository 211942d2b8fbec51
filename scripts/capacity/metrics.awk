# One host's metrics page into one line: peer bytes out and in, platform calls by
# kind of call, platform bytes sent and received, heap in use, goroutines.
/^thymerack_peer_sent_bytes_total/ { out = $2 }
/^thymerack_peer_received_bytes_total/ { in_ = $2 }
/^thymerack_platform_calls_total/ { match($1, /"[a-z]+"/); calls[substr($1, RSTART + 1, RLENGTH - 2)] = $2 }
/^thymerack_platform_sent_bytes_total/ { sent += $2 }
/^thymerack_platform_received_bytes_total/ { received += $2 }
/^go_memstats_heap_inuse_bytes/ { heap = $2 }
/^go_goroutines/ { goroutines = $2 }
END {
	printf "%s %s %s %s %s %s %s %s %s %s %s %s\n", out + 0, in_ + 0, calls["get"] + 0, calls["put"] + 0, calls["delete"] + 0, \
		calls["list"] + 0, calls["watch"] + 0, calls["hosts"] + 0, sent + 0, received + 0, heap + 0, goroutines + 0
}
