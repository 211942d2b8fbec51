package forward

import (
	"sync"
	"time"
)

const (
	// gapGain is the weight of a new pause in the shares of long pauses. About a hundred pauses count,
	// which a host with three streams a second sees in four seconds.
	gapGain = 0.01
	// minGaps is the number of pauses from which the shares are used.
	minGaps = 100
	// directStretch is how much longer a pause becomes while a prompt is computed at the same engine:
	// a chunk of 512 tokens makes a step of 4 to 8 ms take three times as long. maxStretchedShare is the
	// share of pauses that may exceed the permitted one with it.
	directStretch     = 3
	maxStretchedShare = 0.02
	// directGapShare is the part of the longest permitted pause that pauses may reach while prompts are
	// computed directly, but for a share of maxDirectShare of them.
	directGapShare = 0.75
	maxDirectShare = 0.02
	// directRetryInterval is how long prompts aren't computed directly after they made pauses too
	// long. It exceeds the time after which the shares no longer contain these pauses.
	directRetryInterval = 5 * time.Second
)

// eventGaps observes the pauses between the events of this host's streams, by service, and decides
// whether prompts may be computed between them. The zero value is ready to use.
type eventGaps struct {
	mu        sync.Mutex
	byService map[string]*gapShares
}

// gapShares are the moving shares of a service's pauses that would exceed the permitted one if a prompt
// was computed meanwhile, and of those that come close to it.
type gapShares struct {
	stretched, close float64
	samples          int
	// direct is set while prompts may be computed directly. If it isn't, notBefore is the time of
	// the next attempt.
	direct    bool
	notBefore time.Time
}

// observe adds a pause of a stream whose pauses may last for limit at most.
func (g *eventGaps) observe(service string, gap, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byService == nil {
		g.byService = map[string]*gapShares{}
	}
	s := g.byService[service]
	if s == nil {
		s = &gapShares{}
		g.byService[service] = s
	}
	s.samples++
	s.stretched += gapGain * (share(directStretch*gap > limit) - s.stretched)
	s.close += gapGain * (share(float64(gap) > directGapShare*float64(limit)) - s.close)
}

// share is the contribution of one pause to a share.
func share(counts bool) float64 {
	if counts {
		return 1
	}
	return 0
}

// allowDirect reports whether prompts of the service may be computed by engines that decode. It begins
// if the pauses are predicted to stay within their limit, and ends if those that are measured
// meanwhile come close to it.
func (g *eventGaps) allowDirect(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.byService[service]
	if s == nil || s.samples < minGaps {
		return false
	}
	switch {
	case s.direct && s.close > maxDirectShare:
		s.direct, s.notBefore = false, now.Add(directRetryInterval)
	case !s.direct && !now.Before(s.notBefore) && s.stretched <= maxStretchedShare && s.close <= maxDirectShare:
		s.direct = true
	}
	return s.direct
}
