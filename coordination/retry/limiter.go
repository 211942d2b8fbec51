package retry

// Limiter limits the retries of a host and the moves of its running requests. An ordinary
// retry needs a token of a Budget, which refills steadily, so that retries can't amplify an
// overload. A move continues a running request at another engine, since its own engine was
// lost or is leaving. Moves come in bursts and each of them completes an answer that is
// under way, so they may use up the allowance of a WindowBudget at once. It is safe for
// concurrent use.
type Limiter struct {
	ordinary *Budget
	window   *WindowBudget
}

// NewLimiter combines two budgets of one host. The window counts ordinary retries and
// moves. Its bound must be below that of the service agreement, since a retry can arrive
// later than it was allowed, for example after it waited for a place at an engine.
func NewLimiter(ordinary *Budget, window *WindowBudget) *Limiter { return &Limiter{ordinary, window} }

// CountRequest counts one request of the service in both budgets.
func (l *Limiter) CountRequest(service string) {
	l.ordinary.CountRequest(service)
	l.window.CountRequest(service)
}

// Allow takes an ordinary retry and reports whether the budget had one.
func (l *Limiter) Allow(service string) bool {
	if !l.ordinary.Allow(service) {
		return false
	}
	l.window.Record(service)
	return true
}

// AllowMove takes a move from the window, or from the ordinary budget if the window is used
// up, and reports whether there was one.
func (l *Limiter) AllowMove(service string) bool {
	return l.window.Allow(service) || l.Allow(service)
}
