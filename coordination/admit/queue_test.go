package admit

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// manualClock is a clock that a test advances by setting now.
type manualClock struct {
	state.Clock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

// harness submits requests to an Admitter and ends them, oldest grant first. Time
// and ticks are under the control of the test.
type harness struct {
	t        *testing.T
	is       *is.I
	clock    *manualClock
	admitter *Admitter
	// granted holds the IDs of the granted requests in the order of their grants,
	// refused the errors of the refused requests by ID.
	granted []string
	refused map[string]*RefusedError
	// grants holds the grants that weren't ended, oldest first.
	grants []*Grant
}

// newHarness returns a harness; the default capacity is for one request.
func newHarness(t *testing.T, o Options) *harness {
	t.Helper()
	h := &harness{
		t: t, is: is.New(t), refused: map[string]*RefusedError{},
		clock: &manualClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
	}
	o.Clock = h.clock
	if o.Capacity == nil {
		o.Capacity = capacityForOneRequest()
	}
	var err error
	if h.admitter, err = New(o); err != nil {
		t.Fatal(err)
	}
	return h
}

// submit submits a request and records its decision under its ID.
func (h *harness) submit(r Request) *Pending {
	r.Service = "llm"
	return h.admitter.Submit(r, func(g *Grant, err error) {
		if err == nil {
			h.granted = append(h.granted, r.ID)
			h.grants = append(h.grants, g)
			return
		}
		var refused *RefusedError
		h.is.True(errors.As(err, &refused))
		h.refused[r.ID] = refused
	})
}

// finishOldest advances the clock by d, ends the oldest granted request and ticks.
func (h *harness) finishOldest(d time.Duration) {
	h.clock.now = h.clock.now.Add(d)
	g := h.grants[0]
	h.grants = h.grants[1:]
	g.Done()
	h.admitter.Tick()
}

// prefillRequest returns a request of prompt tokens only.
func prefillRequest(id, customer string, tokens int64) Request {
	return Request{ID: id, Customer: customer, Class: "c", Cost: snapshot.Work{PrefillTokens: tokens}}
}

// decodeRequest returns a request of output tokens only.
func decodeRequest(id, customer string, tokens int64) Request {
	return Request{ID: id, Customer: customer, Class: "c", Cost: snapshot.Work{DecodeTokens: tokens}}
}

func TestUrgentRequestsGoFirstWithinTheirShare(t *testing.T) {
	h := newHarness(t, Options{UrgentShare: 0.75})
	h.submit(prefillRequest("first", "a", 100))
	for i := range 100 {
		u := prefillRequest(fmt.Sprint("urgent", i), "a", 100)
		u.Urgent = true
		h.submit(u)
		h.submit(prefillRequest(fmt.Sprint("other", i), "a", 100))
	}
	for range 80 {
		h.finishOldest(0)
	}
	urgent := 0
	for _, id := range h.granted[1:] {
		if id[0] == 'u' {
			urgent++
		}
	}
	h.is.Equal(h.granted[1], "urgent0")
	h.is.True(urgent >= 59 && urgent <= 61) // three quarters of eighty
}

func TestUrgentShareDoesNotApplyWhileNothingElseWaits(t *testing.T) {
	h := newHarness(t, Options{UrgentShare: 0.5})
	for i := range 20 {
		u := prefillRequest(fmt.Sprint("urgent", i), "a", 100)
		u.Urgent = true
		h.submit(u)
	}
	for range 19 {
		h.finishOldest(0)
	}
	h.is.Equal(len(h.granted), 20)
	h.submit(prefillRequest("other", "a", 100)) // the earlier urgent requests don't count against the next one
	u := prefillRequest("urgent", "a", 100)
	u.Urgent = true
	h.submit(u)
	h.finishOldest(0)
	h.is.Equal(h.granted[20], "urgent")
}

func TestWaitingPrefillDoesNotBlockDecode(t *testing.T) {
	source := capacityForOneRequest()
	source.capacity.Requests = 10
	source.capacity.PrefillTokens = 1000
	h := newHarness(t, Options{Capacity: source})
	h.submit(prefillRequest("running", "a", 5000))
	h.submit(prefillRequest("waiting", "a", 5000))
	h.submit(decodeRequest("short", "a", 50))
	h.is.Equal(h.granted, []string{"running", "short"})
}

// A host that exceeds its share doesn't reuse the excess when its requests end:
// other hosts may wait for that capacity.
func TestHostDoesNotKeepCapacityAboveItsShare(t *testing.T) {
	source := capacityForOneRequest()
	source.capacity.Requests, source.capacity.PrefillTokens = 100, 1000
	source.capacity.Seq = 1
	source.capacity.FreePrefillTokens = 3000
	h := newHarness(t, Options{Capacity: source})
	for i := range 5 { // up to 1000 of its share, then up to 3000 of free capacity
		h.submit(prefillRequest(fmt.Sprint(i), "a", 1000))
	}
	h.is.Equal(len(h.granted), 3)
	source.capacity.Seq, source.capacity.FreePrefillTokens = 2, 0 // no capacity is free
	source.capacity.InFlight = snapshot.Work{Requests: 3, PrefillTokens: 3000}
	h.admitter.Tick()
	h.grants[0].Done()
	h.grants[1].Done()
	h.is.Equal(len(h.granted), 3) // the remaining 1000 tokens use up the host's share
	h.grants[2].Done()
	h.is.Equal(len(h.granted), 4)
}

func TestFirstTokenReleasesPrefillCapacity(t *testing.T) {
	source := capacityForOneRequest()
	source.capacity.Requests = 10
	source.capacity.PrefillTokens = 1000
	h := newHarness(t, Options{Capacity: source})
	h.submit(prefillRequest("running", "a", 5000))
	h.submit(prefillRequest("waiting", "a", 5000))
	h.grants[0].FirstToken()
	h.is.Equal(h.granted, []string{"running", "waiting"})
	h.grants[0].Done()
	h.grants[0].Done() // no effect
	h.is.Equal(h.admitter.Stats()[0].Running, snapshot.Work{Requests: 1, PrefillTokens: 5000})
}

func TestFullQueueEvictsFromTheHeaviestFlow(t *testing.T) {
	h := newHarness(t, Options{MaxQueued: 10})
	h.submit(prefillRequest("running", "z", 10))
	for i := range 10 {
		h.submit(prefillRequest(fmt.Sprint("flood", i), "flood", 100))
	}
	h.submit(prefillRequest("small", "quiet", 100))
	h.is.Equal(h.refused["flood9"].Reason, ReasonQueueFull)
	h.submit(prefillRequest("more", "flood", 100))
	h.is.Equal(h.refused["more"].Reason, ReasonQueueFull)
	u := prefillRequest("urgent", "quiet", 100)
	u.Urgent = true
	h.submit(u)
	h.is.Equal(h.refused["flood8"].Reason, ReasonQueueFull)
	h.finishOldest(0)
	h.finishOldest(0)
	h.is.Equal(h.granted[1], "urgent")
	h.is.Equal(len(h.refused), 3)
}

func TestRequestWithoutCapacityIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, Options{Capacity: &fixedCapacity{}})
	h.submit(prefillRequest("a", "a", 1))
	h.is.Equal(h.refused["a"].Reason, ReasonNoCapacity)
	h.is.True(h.refused["a"].RetryAfter > 0)
}

func TestServicesBeyondTheBoundAreRefused(t *testing.T) {
	is := is.New(t)
	a, err := New(Options{Clock: &manualClock{}, Capacity: capacityForOneRequest(), MaxServices: 3})
	is.NoErr(err)
	refused := 0
	for i := range 10 {
		a.Submit(Request{Service: fmt.Sprint("s", i)}, func(_ *Grant, err error) {
			if err != nil {
				refused++
			}
		})
	}
	is.Equal(refused, 7)
}

func TestCancelledRequestIsNeverStarted(t *testing.T) {
	h := newHarness(t, Options{})
	h.submit(prefillRequest("running", "a", 10))
	p := h.submit(prefillRequest("gone", "a", 10))
	h.submit(prefillRequest("next", "a", 10))
	h.is.True(p.Cancel())
	h.is.True(!p.Cancel())
	h.finishOldest(0)
	h.is.Equal(h.granted, []string{"running", "next"})
	h.is.Equal(h.admitter.Stats()[0].WaitingWork, snapshot.Work{})
}

// A refused request that is sent again after RetryAfter is admitted although new
// requests of its customer keep arriving, and so are those refused after it. Two
// customers together send twice what can be served. The test fails if the retry
// times are too early for more than one request in five.
func TestResubmittedRequestIsAdmittedAfterRetryAfter(t *testing.T) {
	h := newHarness(t, Options{})
	due := map[string]time.Time{}
	submit := func(id, customer string) {
		r := prefillRequest(id, customer, 1000) // one second
		r.Deadline = h.clock.now.Add(5 * time.Second)
		h.submit(r)
		if e := h.refused[id]; e != nil {
			due[id] = h.clock.now.Add(e.RetryAfter)
			delete(h.refused, id)
		}
	}
	resubmitted, refusedAgain := 0, 0
	for step := range 400 { // steps of 100 ms, with twice the requests that can be served
		h.clock.now = h.clock.now.Add(100 * time.Millisecond)
		if step%10 == 0 {
			submit(fmt.Sprint("x", step), "x")
			submit(fmt.Sprint("y", step), "y")
		}
		for id, at := range due {
			if h.clock.now.Before(at) {
				continue
			}
			delete(due, id)
			resubmitted++
			submit(id, id[:1])
			if !due[id].IsZero() {
				refusedAgain++
			}
		}
		if step%10 == 9 && len(h.grants) > 0 {
			h.finishOldest(0)
		}
		h.admitter.Tick()
	}
	h.is.True(resubmitted >= 10)
	h.is.True(refusedAgain*5 <= resubmitted) // at most one in five returned too early
}

// Requests that are refused one after another must not all get the same retry time,
// or they would be sent again at once and be refused again.
func TestRefusedRequestsGetStaggeredRetryAfter(t *testing.T) {
	h := newHarness(t, Options{WaitShare: 0.1})
	h.submit(prefillRequest("running", "a", 1000))
	h.submit(prefillRequest("waiting", "a", 1000))
	var previous time.Duration
	for i := range 5 {
		r := prefillRequest(fmt.Sprint(i), "a", 1000)
		r.Deadline = h.clock.now.Add(1500 * time.Millisecond)
		h.submit(r)
		after := h.refused[fmt.Sprint(i)].RetryAfter
		h.is.True(after >= previous+500*time.Millisecond)
		previous = after
	}
}

// A class whose answers took four times the prediction is refused for its service
// ratio. Since it gets no answers that could correct the ratio, the ratio must decay
// so that the class is admitted again later.
func TestServiceRatioDecaysWhileAClassIsRefused(t *testing.T) {
	source := capacityForOneRequest()
	source.capacity.Requests = 100
	h := newHarness(t, Options{Capacity: source})
	submit := func(id string) {
		r := prefillRequest(id, "a", 1000)
		r.Deadline = h.clock.now.Add(2 * time.Second)
		h.submit(r)
	}
	for i := range 30 {
		submit(fmt.Sprint(i))
	}
	h.is.Equal(len(h.granted), 30)
	h.clock.now = h.clock.now.Add(4 * time.Second) // four times the predicted service time
	for _, g := range h.grants {
		g.Done()
	}
	submit("refused")
	h.is.Equal(h.refused["refused"].Reason, ReasonDeadline)
	h.clock.now = h.clock.now.Add(time.Minute)
	submit("later")
	h.is.Equal(h.granted[30], "later")
}
