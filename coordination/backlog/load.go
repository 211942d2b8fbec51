package backlog

import "time"

// RecentLoad returns the prefill work that arrived recently at the engine, as a share of its time;
// late is the part of it that was predicted to be late, without what was deferred for a customer's
// share. Both may exceed 1.
func (q *Queue) RecentLoad(now time.Time) (total, late float64) {
	q.decayRecentLoad(now)
	for _, load := range q.recentLoad {
		total += load
	}
	return total, q.recentLate
}

// Speed returns how many times faster than usual the engine is, by its lasting speed: a slow period
// doesn't change it. Usual is the geometric mean of the engines of this owner. known is false while
// too few prefills have ended, unless another owner measured the speed before.
func (q *Queue) Speed() (speed float64, known bool) {
	return q.profile.speed(), q.profile.known()
}
