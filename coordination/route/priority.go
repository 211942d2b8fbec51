package route

import "time"

// Scale of the priorities passed to engines.
const (
	// priorityStep is the time by which two adjacent priorities differ.
	priorityStep = 100 * time.Millisecond
	// urgentSteps is added to the priority of urgent requests. It is larger than
	// the difference of any two deadlines, so that they precede all others.
	urgentSteps = int(20 * time.Minute / priorityStep)
)

// Priority returns the priority to pass to an engine with a request; larger ones are
// started first. It falls with the latest time at which the first token can be there
// if the last one, decode later, is to meet the deadline. That time is fixed, so
// requests that arrive later, with later deadlines, can't starve a waiting one. The
// hosts' clocks need to agree only within about a second. Without a deadline the
// priority is 0.
func Priority(urgent bool, deadline time.Time, decode time.Duration) int {
	if deadline.IsZero() {
		return 0
	}
	p := -int(deadline.Add(-decode).UnixMilli() / priorityStep.Milliseconds())
	if urgent {
		p += urgentSteps
	}
	return p
}
