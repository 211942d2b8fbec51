package callerconn

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/transport/wallclock"
)

// Limits are the times that callers keep to.
type Limits struct {
	// Idle is the longest time after which a caller uses a connection again, or for the first time.
	Idle time.Duration
	// Header is the longest time that a caller takes to send the header of a request.
	Header time.Duration
}

const (
	// limitFactor and limitSlack extend the limits that callers keep to, so that a host never ends what a
	// caller may still use: bytes may be on their way, and callers may know a raised limit before the host.
	limitFactor = 2
	limitSlack  = 5 * time.Second
	// maxLimit is the longest limit that is applied.
	maxLimit = 24 * time.Hour
	// idlePoll is the time between two looks at the unused connections.
	idlePoll = 500 * time.Millisecond
)

// tolerated is the time that the host allows where callers keep to a limit.
func tolerated(limit time.Duration) time.Duration {
	return limitFactor*min(limit, maxLimit) + limitSlack
}

// unused is a connection without a request.
type unused struct {
	// state tells new connections, on which nothing has come yet, from idle ones.
	state fasthttp.ConnState
	since time.Time
	// limit is the longest idle limit in force since then: the caller may know any of them.
	limit time.Duration
}

// Run closes unused connections beyond their limit until ctx is done.
func (a *Activity) Run(ctx context.Context) {
	tick := time.NewTicker(idlePoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.CloseIdle(wallclock.Now())
		}
	}
}

// CloseIdle closes the connections that at now have been without a request for longer than their limit.
func (a *Activity) CloseIdle(now time.Time) {
	limit := a.Limits().Idle
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, u := range a.waiting {
		if limit > u.limit {
			u.limit = limit
			a.waiting[c] = u
		}
		if now.Sub(u.since) > tolerated(u.limit) {
			c.endWait(CauseIdle)
		}
	}
}
