package contention

import "time"

const (
	// levelShare is the share of an engine's time that a level keeps while its prompts wait. Two
	// levels below the most urgent one take at most a fifth of the engine's time from it.
	levelShare = 0.1
	// maxCredit bounds the credit of a level, and with it the time for which promoted prompts can
	// keep an engine from the others: ten prompts of mean duration (50 to 90 ms at known engines),
	// or one of the longest.
	maxCredit = time.Second
	// timeToMaxCredit is the time in which an empty bucket becomes full.
	timeToMaxCredit = 10 * maxCredit
)

// Credits are the token buckets of the levels at one engine, in engine time. A level's bucket fills
// at levelShare while prompts of the level wait, and is emptied by all work of the level, so that a
// level that is served anyway has none. It isn't safe for concurrent use.
type Credits struct {
	levels    [MaxLevels]time.Duration
	updatedAt time.Time
}

// Accrue adds the credit of the time since the last call to the levels that have waited since then.
func (c *Credits) Accrue(now time.Time, waiting [MaxLevels]bool) {
	elapsed := now.Sub(c.updatedAt)
	if c.updatedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	c.updatedAt = now
	for level, waits := range waiting {
		if waits {
			c.levels[level] = min(c.levels[level]+time.Duration(levelShare*float64(min(elapsed, timeToMaxCredit))), maxCredit)
		}
	}
}

// Of returns the credit of a level, 0 to MaxLevels-1.
func (c *Credits) Of(level int) time.Duration { return c.levels[level] }

// Spend takes the duration of a prefill from the credit of its level, 0 to MaxLevels-1. Credit doesn't become
// negative: a level that had a large share for a while isn't starved for it afterwards.
func (c *Credits) Spend(level int, took time.Duration) {
	c.levels[level] = max(0, c.levels[level]-took)
}
