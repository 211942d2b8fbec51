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
	memory  = 470_000
	anyTime = time.Hour
)

// known returns an estimator that has learnt truth.
func known() *Estimator {
	rng := rand.New(rand.NewPCG(5, 6))
	e := NewEstimator()
	for range 200 {
		r := skewed(rng)
		e.learn(r.features(), truth(r))
		e.met(truth(r))
	}
	return e
}

func own(tokens int) Work { return Work{Own: tokens} }

// start is any moment.
var start = time.Unix(1000, 0)

func at(ms float64) time.Time { return start.Add(state.Millis(ms)) }

func (q *Queue) add(now time.Time, id uint64, w Work) Forecast {
	f := q.Forecast(now, w, anyTime)
	q.Add(now, id, w, f.Rank, memory)
	return f
}

func near(got time.Duration, wantMS float64) bool {
	return math.Abs(float64(got)/float64(time.Millisecond)-wantMS) < 0.1*wantMS+1
}

func TestForecastAddsUpWhatWaits(t *testing.T) {
	is := is.New(t)
	q := NewQueue(known())
	one := truth(reading{fresh: 4000})
	is.True(near(q.add(at(0), 1, own(4000)).Finish, one))
	is.True(near(q.add(at(0), 2, own(4000)).Finish, 2*one))
	f := q.Forecast(at(one/2), own(4000), anyTime)
	is.True(near(f.Wait, 1.5*one)) // half of the first is done
	q.Remove(at(one), 1, true)
	is.True(near(q.Forecast(at(one), own(4000), anyTime).Wait, one))
}

// A cold start: the prompts of a session come at once, and its shared part is read by
// the first of them.
func TestSharedPartIsReadOnce(t *testing.T) {
	is := is.New(t)
	q := NewQueue(known())
	w := Work{Shared: []Part{{ID: 7, Tokens: 13300}}, Own: 1000}
	first := q.add(at(0), 1, w)
	is.True(near(first.Finish, truth(reading{fresh: 14300})))
	is.Equal(first.Kept, 0)
	second := q.Forecast(at(0), w, anyTime)
	is.True(near(second.Finish-second.Wait, truth(reading{fresh: 1000, kept: 13300})))
	is.Equal(second.Kept, 0) // nobody can fetch what is still being read
	is.Equal(second.Coming, 13300)
	q.Remove(at(300), 1, true)
	third := q.Forecast(at(300), w, anyTime)
	is.Equal(third.Kept, 13300)
	is.Equal(third.Cold, time.Duration(0))
}

func TestSharedPartThatWasNotReadIsNotKept(t *testing.T) {
	is := is.New(t)
	q := NewQueue(known())
	w := Work{Shared: []Part{{ID: 7, Tokens: 13300}}, Own: 1000}
	q.add(at(0), 1, w)
	q.Remove(at(10), 1, false)
	is.Equal(q.Forecast(at(10), w, anyTime).Coming, 0)
}

func TestLeastRecentlyUsedPartsYield(t *testing.T) {
	is := is.New(t)
	q := NewQueue(known())
	id := uint64(0)
	read := func(part uint64) {
		id++
		q.add(at(0), id, Work{Shared: []Part{{ID: part, Tokens: 100_000}}, Own: 10_000})
		q.Remove(at(1), id, true)
	}
	for _, part := range []uint64{1, 2, 3, 1, 4, 5} {
		read(part)
	}
	kept := func(part uint64) int {
		return q.Forecast(at(2), Work{Shared: []Part{{ID: part, Tokens: 100_000}}}, anyTime).Kept
	}
	is.Equal(kept(2), 0) // longest ago
	is.Equal(kept(1), 100_000)
	is.Equal(kept(5), 100_000)
}

// An engine whose memory isn't known, or parts without tokens, must not fill the owner's.
func TestPartsThatAreRememberedAreBounded(t *testing.T) {
	is := is.New(t)
	for _, memory := range []int{0, 470_000} {
		k := newKept()
		for id := range uint64(3 * mostParts) {
			k.use(Work{Shared: []Part{{ID: id}}}, memory)
		}
		is.True(k.order.Len() <= mostParts)
		is.True(len(k.byID) <= mostParts)
	}
}

func TestFetchedPartsAreNotRead(t *testing.T) {
	is := is.New(t)
	q := NewQueue(known())
	w := Work{Shared: []Part{{ID: 7, Tokens: 13300}}, Own: 1000, Fetched: 13300, FetchMS: 22}
	is.True(near(q.Forecast(at(0), w, anyTime).Finish, truth(reading{fresh: 1000, kept: 13300})+22))
}

func TestLatePromptsGoBehindThoseInTime(t *testing.T) {
	is := is.New(t)
	q := NewQueue(known())
	q.add(at(0), 1, own(20000))
	late := q.Forecast(at(0), own(4000), time.Millisecond)
	is.True(late.Rank >= Classes)
	q.Add(at(0), 2, own(4000), late.Rank, memory)
	in := q.Forecast(at(0), own(4000), time.Second)
	is.True(in.Rank < Classes)
	is.True(near(in.Wait, truth(reading{fresh: 20000}))) // the late one isn't before it
}

// An engine five times as slow as the others is known within a few readings, and doesn't
// change what is expected of the others.
func TestSlowEngineIsFound(t *testing.T) {
	is := is.New(t)
	e := known()
	slow, sound := NewQueue(e), NewQueue(e)
	now, usual := 0.0, truth(reading{fresh: 4000})
	for id := range uint64(8) {
		slow.add(at(now), id, own(4000))
		now += 5 * usual
		slow.Remove(at(now), id, true)
	}
	is.True(slow.Factor() > 3)
	is.True(slow.Forecast(at(now), own(4000), anyTime).Finish > 3*sound.Forecast(at(now), own(4000), anyTime).Finish)
	is.True(near(sound.Forecast(at(now), own(4000), anyTime).Finish, usual))
	for id := uint64(100); id < 120; id++ { // sound again
		slow.add(at(now), id, own(4000))
		now += usual
		slow.Remove(at(now), id, true)
	}
	is.True(slow.Factor() < 1.5)
}

// The answer to a reading was lost: those after it ended, so that nothing waits for it.
func TestLostAnswerHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	q := NewQueue(known())
	one := truth(reading{fresh: 4000})
	for id := range uint64(4) {
		q.add(at(0), id, own(4000))
	}
	q.Remove(at(2*one), 1, true)
	q.Remove(at(3*one), 2, true)
	_, progress := q.Remaining(at(3*one), 0)
	is.Equal(progress, Lost)
	is.True(near(q.Forecast(at(3*one), own(4000), anyTime).Wait, one)) // the fourth's
}

func TestDarkEngineIsLost(t *testing.T) {
	is := is.New(t)
	q := NewQueue(known())
	one := truth(reading{fresh: 4000})
	q.add(at(0), 1, own(4000))
	q.add(at(0), 2, own(4000))
	f, progress := q.Remaining(at(one/2), 2)
	is.Equal(progress, Underway)
	is.True(near(f.Finish, 1.5*one))
	_, progress = q.Remaining(at(one*4+300), 2)
	is.Equal(progress, Lost)
	_, progress = q.Remaining(at(0), 9)
	is.Equal(progress, Unknown)
}

func TestBrokenOffReadingTeachesNothing(t *testing.T) {
	is := is.New(t)
	e := known()
	q := NewQueue(e)
	before := e.samples
	q.add(at(0), 1, own(4000))
	q.add(at(0), 2, own(4000))
	q.Remove(at(5000), 1, false)
	q.Remove(at(5001), 2, true)
	is.Equal(e.samples, before)
	is.Equal(q.Factor(), 1.0)
}

// job is a prompt at an emulated engine.
type job struct {
	id        uint64
	rank      int
	ms        float64
	came      float64
	predicted float64
}

// jobs is ordered as an engine reads them: by rank and then as they came.
type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	if j[a].rank != j[b].rank {
		return j[a].rank < j[b].rank
	}
	return j[a].came < j[b].came
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	old := *j
	out := old[len(old)-1]
	*j = old[:len(old)-1]
	return out
}

// burst plays prompts of skewed sizes at one engine for some seconds, at a share of
// what it can read, and returns the ratios of seen and predicted times and the waits of
// the shorter half and of all.
func burst(share float64, class func(*Estimator, float64) int) (ratios, short, all []float64) {
	rng := rand.New(rand.NewPCG(7, 8))
	q := NewQueue(known())
	var waiting jobs
	var running *job
	now, ends, id := 0.0, math.Inf(1), uint64(0)
	const mean, seconds = 90.0, 60
	next := rng.ExpFloat64() * mean / share
	for now < seconds*1000 {
		if running == nil && len(waiting) > 0 {
			j := heap.Pop(&waiting).(job)
			running, ends = &j, now+j.ms
		}
		if running != nil && ends <= next {
			now = ends
			q.Remove(at(now), running.id, true)
			took := now - running.came
			ratios = append(ratios, took/running.predicted)
			all = append(all, took)
			if running.ms < mean/2 {
				short = append(short, took)
			}
			running, ends = nil, math.Inf(1)
			continue
		}
		now = next
		next = now + rng.ExpFloat64()*mean/share
		id++
		r := skewed(rng)
		r.kept = 13300
		w := Work{Shared: []Part{{ID: 1, Tokens: 13300}}, Own: r.fresh}
		f := q.Forecast(at(now), w, anyTime)
		f.Rank = class(q.estimator, truth(r))
		q.rank(&f, at(now), f.Rank, truth(r))
		q.Add(at(now), id, w, f.Rank, memory)
		heap.Push(&waiting, job{id, f.Rank, truth(r), now, float64(f.Finish) / float64(time.Millisecond)})
	}
	return ratios, short, all
}

func quantile(of []float64, q float64) float64 {
	slices.Sort(of)
	return of[int(q*float64(len(of)-1))]
}

// Prompts of skewed sizes fill an engine to nine tenths: what is predicted when they come
// is what they take, and the shorter half hardly waits.
func TestBurstOfSkewedPrompts(t *testing.T) {
	is := is.New(t)
	ratios, short, _ := burst(0.9, (*Estimator).class)
	is.True(len(ratios) > 400)
	is.True(quantile(ratios, 0.5) > 0.7 && quantile(ratios, 0.5) < 1.3)
	_, unordered, _ := burst(0.9, func(*Estimator, float64) int { return 0 })
	is.True(quantile(short, 0.5) < quantile(unordered, 0.5)/2)
}
