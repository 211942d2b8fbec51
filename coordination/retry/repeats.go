package retry

// Limiter bounds what hosts send again: ordinary repeats by a budget that is earned steadily, so
// that they can't amplify an overload, and runs that go on elsewhere, as their engine is lost or
// leaves, by what a window allows. These come together, and each is an answer that is under way.
// It is safe for concurrent use.
type Limiter struct {
	ordinary *Budget
	window   *WindowBudget
}

// NewLimiter joins two budgets of one host. The window's bound counts both kinds, and must leave
// room below what the service agreement allows for repeats that arrive later than they were
// allowed, as when they wait for a place.
func NewLimiter(ordinary *Budget, window *WindowBudget) *Limiter { return &Limiter{ordinary, window} }

// CountRequest notes a request of the service.
func (r *Limiter) CountRequest(service string) {
	r.ordinary.CountRequest(service)
	r.window.CountRequest(service)
}

// Allow takes an ordinary repeat.
func (r *Limiter) Allow(service string) bool {
	if !r.ordinary.Allow(service) {
		return false
	}
	r.window.Record(service)
	return true
}

// AllowMove takes the sending of a run that goes on elsewhere.
func (r *Limiter) AllowMove(service string) bool {
	return r.window.Allow(service) || r.Allow(service)
}
