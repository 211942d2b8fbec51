package retry

// minRetries is the number of ordinary retries per window that a host may send, however many hosts
// share the slack.
const minRetries = 1

// Limiter limits the retries of a host and the moves of its running requests. An ordinary
// retry needs a token of a Budget, which refills steadily, so that retries can't amplify an
// overload. A move continues a running request at another engine, since its own engine was
// lost or is leaving. Moves come in bursts and each of them completes an answer that is
// under way, so they may use up a part of the allowance of a WindowBudget at once. Both together
// stay within that allowance. It is safe for concurrent use.
type Limiter struct {
	ordinary *Budget
	window   *WindowBudget
	// moveShare is the share of the window's allowance that moves may use.
	moveShare float64
}

// NewLimiter combines two budgets of one host. The window counts ordinary retries and
// moves; moveShare is the share of it that moves may use, from 0 to 1. Its bound must be below that of the service agreement, since a retry can arrive
// later than it was allowed, for example after it waited for a place at an engine.
func NewLimiter(ordinary *Budget, window *WindowBudget, moveShare float64) *Limiter {
	return &Limiter{ordinary, window, moveShare}
}

// CountRequest counts one request of the service in both budgets.
func (l *Limiter) CountRequest(service string) {
	l.ordinary.CountRequest(service)
	l.window.CountRequest(service)
}

// Allow takes an ordinary retry and reports whether the budgets had one.
func (l *Limiter) Allow(service string) bool {
	return l.ordinary.Allow(service) && l.window.allow(service, 1, minRetries)
}

// AllowMove takes a move from the window, or from the ordinary budget if the share of moves is used
// up, and reports whether there was one.
func (l *Limiter) AllowMove(service string) bool {
	return l.window.allow(service, l.moveShare, 0) || l.Allow(service)
}
