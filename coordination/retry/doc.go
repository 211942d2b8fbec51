// Package retry limits repeated attempts at upstreams: a retry budget per service as a
// share of its traffic, so that retries can't amplify an outage; a circuit breaker per
// upstream; and jittered exponential delays between attempts.
package retry
