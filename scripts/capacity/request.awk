# The metrics pages of all hosts into one line of sums: tokens after the first,
# model answers, calls of services, platform calls, platform bytes, peer bytes out.
/^thymerack_between_tokens_seconds_count/ { tokens += $2 }
/^thymerack_whole_answer_seconds_count/ { answers += $2 }
/^thymerack_platform_calls_total/ { calls += $2 }
/^thymerack_platform_(sent|received)_bytes_total/ { bytes += $2 }
/^thymerack_peer_sent_bytes_total/ { peers += $2 }
END { printf "%.0f %.0f %.0f %.0f %.0f\n", tokens, answers, calls, bytes, peers }
