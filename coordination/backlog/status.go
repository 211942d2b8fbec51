package backlog

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// UntilEmpty returns the predicted time until all prompts in progress are computed, without lost
// ones.
func (q *Queue) UntilEmpty(now time.Time) time.Duration {
	left := 0.0
	for _, e := range q.entries {
		left += q.remainingOf(e, now)
	}
	return state.Millis(left)
}
