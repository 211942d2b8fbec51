package route

import "time"

// Priorities given to engines.
const (
	// priorityStep is the time that one step of priority stands for.
	priorityStep = 100 * time.Millisecond
	// urgentSteps is by how much urgent requests go before others: more than any
	// two deadlines differ.
	urgentSteps = int(20 * time.Minute / priorityStep)
)

// Priority is the priority to give an engine with a request: larger for one
// that must be started sooner if its last token, decode after the first, is to
// be there at its deadline. Since a deadline comes nearer for every request, none
// is passed over for ever. Hosts' clocks needn't agree beyond a second or so.
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
