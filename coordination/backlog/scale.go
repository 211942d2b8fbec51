package backlog

import (
	"math"
	"time"
)

// The durations of prefills determine only the product of a prompt's cost and an engine's slowness:
// a model that is twice as slow explains them as well as engines that all are. The scale removes
// this freedom. The geometric mean of the engines' speeds is kept at that of the speeds that the
// fleet has measured for them, which is 1 for engines of usual speed. The model is what adapts, so
// neither a mix of engines nor the share of work that each gets makes it drift.

// minScaleSamples is the number of samples from which an engine counts. It is low, since the model
// must not learn the first prefills of uneven engines as the cost of their prompts.
const minScaleSamples = 2

const (
	// scaleEntryTTL is how long an engine without samples counts: as long as its owner keeps it.
	scaleEntryTTL = time.Minute
	// scalePruneInterval is the time between two removals of such engines, so that the cost of a
	// sample doesn't grow with the number of engines.
	scalePruneInterval = 10 * time.Second
)

// scale sums up the lasting speeds of an owner's engines of one service.
type scale struct {
	profiles map[*profile]struct{}
	// slow is the number of engines that are far slower than expected. sum is that of all engines'
	// deviations, and boundedSum that with the deviation of the slow ones bounded.
	slow            int
	sum, boundedSum float64
	prunedAt        time.Time
}

// maxSlowDeviation bounds what one slow engine contributes to the scale.
var maxSlowDeviation = math.Log(slowFactor)

// scaleEntry is what a profile contributes to the scale: the logarithm of the engine's speed
// relative to the one that the fleet measured.
type scaleEntry struct {
	at        time.Time
	deviation float64
}

// center returns the mean of the engines' deviations. Those of slow engines are bounded unless they
// are the majority: an engine that is throttled changes little of what is usual.
func (s *scale) center() float64 {
	n := len(s.profiles)
	switch {
	case n == 0:
		return 0
	case 2*s.slow > n:
		return s.sum / float64(n)
	default:
		return s.boundedSum / float64(n)
	}
}

// update replaces what a profile with enough samples contributes.
func (s *scale) update(p *profile) {
	if len(p.samples) < minScaleSamples {
		return
	}
	now := p.samples[len(p.samples)-1].at
	s.prune(now)
	if _, counted := s.profiles[p]; counted {
		s.add(p.counted, -1)
	} else {
		s.register(p)
	}
	p.counted = scaleEntry{now, p.logSpeed - p.logFleetSpeed}
	s.add(p.counted, 1)
}

// register adds a profile.
func (s *scale) register(p *profile) {
	if s.profiles == nil {
		s.profiles = map[*profile]struct{}{}
	}
	s.profiles[p] = struct{}{}
}

// remove removes a profile.
func (s *scale) remove(p *profile) {
	if _, counted := s.profiles[p]; counted {
		s.add(p.counted, -1)
		delete(s.profiles, p)
	}
}

// prune removes the profiles without recent samples, at most once per scalePruneInterval.
func (s *scale) prune(now time.Time) {
	if now.Sub(s.prunedAt) < scalePruneInterval {
		return
	}
	s.prunedAt = now
	for p := range s.profiles {
		if now.Sub(p.counted.at) > scaleEntryTTL {
			s.remove(p)
		}
	}
}

// add adds an entry, or removes it if sign is -1.
func (s *scale) add(e scaleEntry, sign float64) {
	s.sum += sign * e.deviation
	s.boundedSum += sign * max(e.deviation, -maxSlowDeviation)
	if e.deviation < -maxSlowDeviation {
		s.slow += int(sign)
	}
}
