package backlog

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

const (
	memoryTokens = 470_000
	noLimit      = time.Hour
)

// trainedEstimator returns an estimator that has learned measuredMS.
func trainedEstimator() *Estimator {
	rng := rand.New(rand.NewPCG(5, 6))
	e := NewEstimator()
	for range 200 {
		p := skewedPrefill(rng)
		e.learn(p.features(), measuredMS(p))
		e.observe(measuredMS(p))
	}
	return e
}

func ownPrompt(tokens int) Prompt { return Prompt{OwnTokens: tokens} }

// start is an arbitrary time.
var start = time.Unix(1000, 0)

func at(ms float64) time.Time { return start.Add(state.Millis(ms)) }

func (q *Queue) add(now time.Time, id uint64, prompt Prompt) Forecast {
	f := q.Forecast(now, prompt, noLimit)
	q.Add(now, id, prompt, f.Rank, memoryTokens)
	return f
}

func approximately(got time.Duration, wantMS float64) bool {
	return math.Abs(float64(got)/float64(time.Millisecond)-wantMS) < 0.1*wantMS+1
}

func TestForecastSumsUpWaitingPrefills(t *testing.T) {
	is := is.New(t)
	q := NewQueue(trainedEstimator())
	prefillMS := measuredMS(prefill{newTokens: 4000})
	is.True(approximately(q.add(at(0), 1, ownPrompt(4000)).Finish, prefillMS))
	is.True(approximately(q.add(at(0), 2, ownPrompt(4000)).Finish, 2*prefillMS))
	f := q.Forecast(at(prefillMS/2), ownPrompt(4000), noLimit)
	is.True(approximately(f.Wait, 1.5*prefillMS)) // half of the first is done
	q.Remove(at(prefillMS), 1, true)
	is.True(approximately(q.Forecast(at(prefillMS), ownPrompt(4000), noLimit).Wait, prefillMS))
}

// Several prompts of a session arrive while its shared part isn't cached: only the first of them
// computes it.
func TestSharedPartIsComputedOnce(t *testing.T) {
	is := is.New(t)
	q := NewQueue(trainedEstimator())
	prompt := Prompt{Parts: []Part{{ID: 7, Tokens: 13300}}, OwnTokens: 1000}
	first := q.add(at(0), 1, prompt)
	is.True(approximately(first.Finish, measuredMS(prefill{newTokens: 14300})))
	is.Equal(first.CachedTokens, 0)
	second := q.Forecast(at(0), prompt, noLimit)
	is.True(approximately(second.Finish-second.Wait, measuredMS(prefill{newTokens: 1000, cachedTokens: 13300})))
	is.Equal(second.CachedTokens, 0) // other engines can't fetch it while it is being computed
	is.Equal(second.CachedAtStart, 13300)
	q.Remove(at(300), 1, true)
	third := q.Forecast(at(300), prompt, noLimit)
	is.Equal(third.CachedTokens, 13300)
	is.Equal(third.UncachedTime, time.Duration(0))
}

func TestPartOfAbortedPrefillIsNotCached(t *testing.T) {
	is := is.New(t)
	q := NewQueue(trainedEstimator())
	prompt := Prompt{Parts: []Part{{ID: 7, Tokens: 13300}}, OwnTokens: 1000}
	q.add(at(0), 1, prompt)
	q.Remove(at(10), 1, false)
	is.Equal(q.Forecast(at(10), prompt, noLimit).CachedAtStart, 0)
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	is := is.New(t)
	q := NewQueue(trainedEstimator())
	id := uint64(0)
	addAndRemove := func(part uint64) {
		id++
		q.add(at(0), id, Prompt{Parts: []Part{{ID: part, Tokens: 100_000}}, OwnTokens: 10_000})
		q.Remove(at(1), id, true)
	}
	for _, part := range []uint64{1, 2, 3, 1, 4, 5} {
		addAndRemove(part)
	}
	cachedTokens := func(part uint64) int {
		return q.Forecast(at(2), Prompt{Parts: []Part{{ID: part, Tokens: 100_000}}}, noLimit).CachedTokens
	}
	is.Equal(cachedTokens(2), 0) // the least recently used
	is.Equal(cachedTokens(1), 100_000)
	is.Equal(cachedTokens(5), 100_000)
}

// The number of tracked parts is bounded, also if the engine's memory isn't known or the parts
// have no tokens.
func TestTrackedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	for _, memoryTokens := range []int{0, 470_000} {
		cache := newPrefixCache()
		for id := range uint64(3 * maxParts) {
			cache.insert(Prompt{Parts: []Part{{ID: id}}}, memoryTokens)
		}
		is.True(cache.recency.Len() <= maxParts)
		is.True(len(cache.byID) <= maxParts)
	}
}

func TestFetchedPartsAreNotComputed(t *testing.T) {
	is := is.New(t)
	q := NewQueue(trainedEstimator())
	prompt := Prompt{Parts: []Part{{ID: 7, Tokens: 13300}}, OwnTokens: 1000, FetchableTokens: 13300, FetchMS: 22}
	is.True(approximately(q.Forecast(at(0), prompt, noLimit).Finish, measuredMS(prefill{newTokens: 1000, cachedTokens: 13300})+22))
}

func TestLatePromptsRankAfterThoseInTime(t *testing.T) {
	is := is.New(t)
	q := NewQueue(trainedEstimator())
	q.add(at(0), 1, ownPrompt(20000))
	late := q.Forecast(at(0), ownPrompt(4000), time.Millisecond)
	is.True(late.Rank >= Classes)
	q.Add(at(0), 2, ownPrompt(4000), late.Rank, memoryTokens)
	in := q.Forecast(at(0), ownPrompt(4000), time.Second)
	is.True(in.Rank < Classes)
	is.True(approximately(in.Wait, measuredMS(prefill{newTokens: 20000}))) // the late one comes after it
}

// An engine that is five times as slow as the others is detected within a few prefills, and the
// predictions for the others stay the same.
func TestSlowEngineIsDetected(t *testing.T) {
	is := is.New(t)
	e := trainedEstimator()
	slow, normal := NewQueue(e), NewQueue(e)
	now, usual := 0.0, measuredMS(prefill{newTokens: 4000})
	for id := range uint64(8) {
		slow.add(at(now), id, ownPrompt(4000))
		now += 5 * usual
		slow.Remove(at(now), id, true)
	}
	is.True(slow.Factor() > 3)
	is.True(slow.Forecast(at(now), ownPrompt(4000), noLimit).Finish > 3*normal.Forecast(at(now), ownPrompt(4000), noLimit).Finish)
	is.True(approximately(normal.Forecast(at(now), ownPrompt(4000), noLimit).Finish, usual))
	for id := uint64(100); id < 120; id++ { // normal speed again
		slow.add(at(now), id, ownPrompt(4000))
		now += usual
		slow.Remove(at(now), id, true)
	}
	is.True(slow.Factor() < 1.5)
}

// A prompt whose answer was lost delays no other prompt once later ones have ended.
func TestLostAnswerDelaysNoOtherPrompt(t *testing.T) {
	is := is.New(t)
	q := NewQueue(trainedEstimator())
	prefillMS := measuredMS(prefill{newTokens: 4000})
	for id := range uint64(4) {
		q.add(at(0), id, ownPrompt(4000))
	}
	q.Remove(at(2*prefillMS), 1, true)
	q.Remove(at(3*prefillMS), 2, true)
	_, progress := q.Remaining(at(3*prefillMS), 0)
	is.Equal(progress, Lost)
	is.True(approximately(q.Forecast(at(3*prefillMS), ownPrompt(4000), noLimit).Wait, prefillMS)) // that of the fourth prompt
}

func TestPromptsOfStuckEngineAreLost(t *testing.T) {
	is := is.New(t)
	q := NewQueue(trainedEstimator())
	prefillMS := measuredMS(prefill{newTokens: 4000})
	q.add(at(0), 1, ownPrompt(4000))
	q.add(at(0), 2, ownPrompt(4000))
	f, progress := q.Remaining(at(prefillMS/2), 2)
	is.Equal(progress, InProgress)
	is.True(approximately(f.Finish, 1.5*prefillMS))
	_, progress = q.Remaining(at(prefillMS*4+300), 2)
	is.Equal(progress, Lost)
	_, progress = q.Remaining(at(0), 9)
	is.Equal(progress, Unknown)
}

func TestAbortedPrefillIsNoSample(t *testing.T) {
	is := is.New(t)
	e := trainedEstimator()
	q := NewQueue(e)
	before := e.samples
	q.add(at(0), 1, ownPrompt(4000))
	q.add(at(0), 2, ownPrompt(4000))
	q.Remove(at(5000), 1, false)
	q.Remove(at(5001), 2, true)
	is.Equal(e.samples, before)
	is.Equal(q.Factor(), 1.0)
}

// job is a prompt at a simulated engine.
type job struct {
	id         uint64
	rank       int
	durationMS float64
	arrivedMS  float64
	predicted  float64
}

// jobs orders prompts as an engine computes them: by rank and then in order of arrival.
type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	if j[a].rank != j[b].rank {
		return j[a].rank < j[b].rank
	}
	return j[a].arrivedMS < j[b].arrivedMS
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	old := *j
	out := old[len(old)-1]
	*j = old[:len(old)-1]
	return out
}

// simulateBurst simulates prompts of skewed sizes at one engine for a minute. load is their
// share of the engine's capacity. It returns the ratios of measured to predicted times from a
// prompt's arrival to its end, and these times in milliseconds for the prompts of less than half
// the mean duration and for all prompts.
func simulateBurst(load float64, class func(*Estimator, float64) int) (ratios, short, all []float64) {
	rng := rand.New(rand.NewPCG(7, 8))
	q := NewQueue(trainedEstimator())
	var waiting jobs
	var running *job
	now, ends, id := 0.0, math.Inf(1), uint64(0)
	const mean, seconds = 90.0, 60
	next := rng.ExpFloat64() * mean / load
	for now < seconds*1000 {
		if running == nil && len(waiting) > 0 {
			j := heap.Pop(&waiting).(job)
			running, ends = &j, now+j.durationMS
		}
		if running != nil && ends <= next {
			now = ends
			q.Remove(at(now), running.id, true)
			took := now - running.arrivedMS
			ratios = append(ratios, took/running.predicted)
			all = append(all, took)
			if running.durationMS < mean/2 {
				short = append(short, took)
			}
			running, ends = nil, math.Inf(1)
			continue
		}
		now = next
		next = now + rng.ExpFloat64()*mean/load
		id++
		p := skewedPrefill(rng)
		p.cachedTokens = 13300
		prompt := Prompt{Parts: []Part{{ID: 1, Tokens: 13300}}, OwnTokens: p.newTokens}
		f := q.Forecast(at(now), prompt, noLimit)
		f.Rank = class(q.estimator, measuredMS(p))
		q.setRank(&f, at(now), f.Rank, measuredMS(p))
		q.Add(at(now), id, prompt, f.Rank, memoryTokens)
		heap.Push(&waiting, job{id, f.Rank, measuredMS(p), now, float64(f.Finish) / float64(time.Millisecond)})
	}
	return ratios, short, all
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// Prompts of skewed sizes take 90 % of an engine's capacity: the predictions made at their
// arrival hold, and ranks by size keep the short prompts fast.
func TestBurstOfSkewedPrompts(t *testing.T) {
	is := is.New(t)
	ratios, short, _ := simulateBurst(0.9, (*Estimator).class)
	is.True(len(ratios) > 400)
	is.True(quantile(ratios, 0.5) > 0.7 && quantile(ratios, 0.5) < 1.3)
	_, unranked, _ := simulateBurst(0.9, func(*Estimator, float64) int { return 0 })
	is.True(quantile(short, 0.5) < quantile(unranked, 0.5)/2)
}
