package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

const (
	// leastSilence and mostSilence are how long a runner is silent, and leastSound and mostSound how long it takes
	// until others are; mostSilent are silent at a time.
	leastSilence = 800 * time.Millisecond
	mostSilence  = 1400 * time.Millisecond
	leastSound   = 500 * time.Millisecond
	mostSound    = time.Second
	mostSilent   = 2
	// longPace is the pause between two events, so long that silences find most streams under way.
	longPace = 40 * time.Millisecond
	// silentCallers is how many callers there are for each of the usual ones, so that silences find streams.
	silentCallers = 3
	// inForceWithin is how long after it was written a version may not be in force yet, and besideConfig how long
	// what happens counts as beside it.
	inForceWithin = 2 * time.Second
	besideConfig  = inForceWithin + time.Second
	// timeoutSlack is how long before its time-out a request may be given up.
	timeoutSlack = 100 * time.Millisecond
)

// The values that versions of the configuration choose from.
var (
	routeTimeouts  = []time.Duration{2 * time.Second, 3 * time.Second, 8 * time.Second}
	idleTimeouts   = []time.Duration{600 * time.Millisecond, 2 * time.Second, 15 * time.Second, time.Minute}
	headerTimeouts = []time.Duration{time.Second, 5 * time.Second, 30 * time.Second}
)

// mostIdle is how long callers keep a connection idle: four fifths of the least limit.
var mostIdle = idleTimeouts[0] * 4 / 5

// variant is what a version of the configuration says.
func (f *fleet) variant(version uint64) platformtest.Variant {
	rng := rand.New(rand.NewPCG(f.o.seed, version))
	return platformtest.Variant{
		Timeout: routeTimeouts[rng.IntN(len(routeTimeouts))], Idle: idleTimeouts[rng.IntN(len(idleTimeouts))],
		Header: headerTimeouts[rng.IntN(len(headerTimeouts))], Backups: f.o.seed/2%2 == 1,
	}
}

// withoutConfigs reports whether it is the time in which no configuration is written: the first half.
func (f *fleet) withoutConfigs(end time.Time) bool { return time.Until(end) > f.o.length/2 }

// stayIdle has a caller keep its connection idle now and then.
func (c *caller) stayIdle() {
	if c.rng.IntN(30) == 0 {
		time.Sleep(time.Duration(c.rng.Int64N(int64(mostIdle))))
	}
}

// silences has one and two runners at a time fall silent and go on, until end.
func (f *fleet) silences(end time.Time) {
	rng := rand.New(rand.NewPCG(f.o.seed, 8))
	f.ledger.RefuseContinuations(f.o.seed/4%2 == 1)
	defer func() {
		f.ledger.RefuseContinuations(false)
		f.silentUntil = time.Now()
	}()
	for time.Now().Before(end) {
		if !f.withoutConfigs(end) {
			f.putConfig()
		}
		var silent sync.WaitGroup
		for range 1 + rng.IntN(mostSilent) {
			r, long := f.present(rng), leastSilence+time.Duration(rng.Int64N(int64(mostSilence-leastSilence)))
			if r.Silent() {
				continue
			}
			f.note("%6.2f s: runner %s (%s) silent for %s", time.Since(f.began).Seconds(), r.ID, r.Service, long)
			goOn := r.FallSilent()
			silent.Go(func() { time.Sleep(long); goOn() })
		}
		silent.Wait()
		time.Sleep(leastSound + time.Duration(rng.Int64N(int64(mostSound-leastSound))))
	}
}

// outOfTime reports whether a request lasted until its deadline or until the time-out of a version that may have
// been in force when it began; beside says that it was under way beside a change of the configuration.
func (f *fleet) outOfTime(r result) (late, beside bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := deadline
	for v, at := range f.written {
		next, replaced := f.written[v+1]
		if at.Before(r.ended) && (!replaced || next.After(r.began.Add(-inForceWithin))) {
			left = min(left, f.variant(v).Timeout)
		}
		beside = beside || at.Before(r.ended) && at.Add(besideConfig).After(r.began)
	}
	return r.ended.Sub(r.began) >= left-timeoutSlack, beside
}

// reached are the runners that each request reached, by its id.
func (f *fleet) reached() map[string]map[string]bool {
	f.runnersMu.Lock()
	defer f.runnersMu.Unlock()
	out := map[string]map[string]bool{}
	for _, r := range f.runners {
		for _, a := range r.Arrivals() {
			if out[a.ID] == nil {
				out[a.ID] = map[string]bool{}
			}
			out[a.ID][r.ID] = true
		}
	}
	return out
}

// judgeSilent checks that no answer is broken off that a sound runner was working on, silent or not, while nothing
// else that concerns its host or its runners was disturbed, and counts beside configuration changes and apart from
// them.
func (f *fleet) judgeSilent() {
	if !f.o.silent {
		return
	}
	reached := f.reached()
	passedOn, broken := map[bool]int{}, map[bool]int{}
	for _, r := range f.results {
		late, beside := f.outOfTime(r)
		runs := f.ledger.Runs(r.id)
		switch {
		case late:
			continue
		case len(runs) == 0 && f.undisturbed(r.host, r.began, r.ended):
			f.judgeUndisturbed(r)
			continue
		case len(runs) == 0 || !f.calmAmong(reached[r.id], r.host, r.began, r.ended, true):
			continue
		}
		if r.began.Before(f.silentUntil) {
			passedOn[beside]++
		}
		if r.whole && (r.status < 500 || r.status == 503) {
			continue
		}
		broken[beside]++
		f.problem("request %s (%s) at %s was broken off at %.2f s after %s, with runner %s at work (beside a configuration change: %t): status %d, %q, %v",
			r.id, r.kind, r.host, r.ended.Sub(f.began).Seconds(), r.ended.Sub(r.began), runs[0].Runner, beside, r.status, r.body, r.err)
	}
	f.note("broken off beside configuration changes: %d of %d that a runner worked on; apart from them: %d of %d", broken[true], passedOn[true], broken[false], passedOn[false])
}
