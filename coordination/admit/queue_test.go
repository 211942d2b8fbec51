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

// stillClock is moved by a test.
type stillClock struct {
	state.Clock
	now time.Time
}

func (c *stillClock) Now() time.Time { return c.now }

// bench serves one request at a time, in the order in which they are granted.
type bench struct {
	t        *testing.T
	is       *is.I
	clock    *stillClock
	admitter *Admitter
	// granted are the requests that were started, in their order, refused the
	// errors of the others by request.
	granted []string
	refused map[string]*RefusedError
	grants  []*Grant
}

func newBench(t *testing.T, o Options) *bench {
	t.Helper()
	b := &bench{
		t: t, is: is.New(t), refused: map[string]*RefusedError{},
		clock: &stillClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
	}
	o.Clock = b.clock
	if o.Capacity == nil {
		o.Capacity = oneAtATime()
	}
	var err error
	if b.admitter, err = New(o); err != nil {
		t.Fatal(err)
	}
	return b
}

// ask submits a request named by its id.
func (b *bench) ask(r Request) *Pending {
	r.Service = "llm"
	return b.admitter.Submit(r, func(g *Grant, err error) {
		if err == nil {
			b.granted = append(b.granted, r.ID)
			b.grants = append(b.grants, g)
			return
		}
		var refused *RefusedError
		b.is.True(errors.As(err, &refused))
		b.refused[r.ID] = refused
	})
}

// serve ends the request that runs, after d.
func (b *bench) serve(d time.Duration) {
	b.clock.now = b.clock.now.Add(d)
	g := b.grants[0]
	b.grants = b.grants[1:]
	g.Done()
	b.admitter.Tick()
}

func prompt(id, customer string, tokens int64) Request {
	return Request{ID: id, Customer: customer, Class: "c", Cost: snapshot.Work{PrefillTokens: tokens}}
}

func output(id, customer string, tokens int64) Request {
	return Request{ID: id, Customer: customer, Class: "c", Cost: snapshot.Work{DecodeTokens: tokens}}
}

func TestUrgentGoesFirstWithinItsShare(t *testing.T) {
	b := newBench(t, Options{UrgentShare: 0.75})
	b.ask(prompt("first", "a", 100))
	for i := range 100 {
		u := prompt(fmt.Sprint("urgent", i), "a", 100)
		u.Urgent = true
		b.ask(u)
		b.ask(prompt(fmt.Sprint("other", i), "a", 100))
	}
	for range 80 {
		b.serve(0)
	}
	urgent := 0
	for _, id := range b.granted[1:] {
		if id[0] == 'u' {
			urgent++
		}
	}
	b.is.Equal(b.granted[1], "urgent0")
	b.is.True(urgent >= 59 && urgent <= 61) // three quarters of eighty
}

func TestUrgentTakesAllWhileNothingElseWaits(t *testing.T) {
	b := newBench(t, Options{UrgentShare: 0.5})
	for i := range 20 {
		u := prompt(fmt.Sprint("urgent", i), "a", 100)
		u.Urgent = true
		b.ask(u)
	}
	for range 19 {
		b.serve(0)
	}
	b.is.Equal(len(b.granted), 20)
	b.ask(prompt("other", "a", 100)) // no lead is held against later urgent ones
	u := prompt("urgent", "a", 100)
	u.Urgent = true
	b.ask(u)
	b.serve(0)
	b.is.Equal(b.granted[20], "urgent")
}

func TestWaitingPromptDoesNotHoldUpOutputs(t *testing.T) {
	room := oneAtATime()
	room.room.Requests = 10
	room.room.PrefillTokens = 1000
	b := newBench(t, Options{Capacity: room})
	b.ask(prompt("running", "a", 5000))
	b.ask(prompt("waiting", "a", 5000))
	b.ask(output("short", "a", 50))
	b.is.Equal(b.granted, []string{"running", "short"})
}

// A host that has more than its part gives the difference back: others may be
// waiting for it.
func TestHostBeyondItsPartDoesNotKeepIt(t *testing.T) {
	room := oneAtATime()
	room.room.Requests, room.room.PrefillTokens = 100, 1000
	room.room.Seq = 1
	room.room.FreePrefillTokens = 3000
	b := newBench(t, Options{Capacity: room})
	for i := range 5 { // up to 1000, then up to 3000 more
		b.ask(prompt(fmt.Sprint(i), "a", 1000))
	}
	b.is.Equal(len(b.granted), 3)
	room.room.Seq, room.room.FreePrefillTokens = 2, 0 // nothing is free any more
	room.room.InFlight = snapshot.Work{Requests: 3, PrefillTokens: 3000}
	b.admitter.Tick()
	b.grants[0].Done()
	b.grants[1].Done()
	b.is.Equal(len(b.granted), 3) // 1000 tokens are still there, the host's part
	b.grants[2].Done()
	b.is.Equal(len(b.granted), 4)
}

func TestFirstTokenMakesRoomForTheNextPrompt(t *testing.T) {
	room := oneAtATime()
	room.room.Requests = 10
	room.room.PrefillTokens = 1000
	b := newBench(t, Options{Capacity: room})
	b.ask(prompt("running", "a", 5000))
	b.ask(prompt("waiting", "a", 5000))
	b.grants[0].FirstToken()
	b.is.Equal(b.granted, []string{"running", "waiting"})
	b.grants[0].Done()
	b.grants[0].Done() // has no effect
	b.is.Equal(b.admitter.Stats()[0].Running, snapshot.Work{Requests: 1, PrefillTokens: 5000})
}

func TestFullQueuePushesOutTheFlowWithMost(t *testing.T) {
	b := newBench(t, Options{MaxQueued: 10})
	b.ask(prompt("running", "z", 10))
	for i := range 10 {
		b.ask(prompt(fmt.Sprint("flood", i), "flood", 100))
	}
	b.ask(prompt("small", "quiet", 100))
	b.is.Equal(b.refused["flood9"].Reason, ReasonQueueFull)
	b.ask(prompt("more", "flood", 100))
	b.is.Equal(b.refused["more"].Reason, ReasonQueueFull)
	u := prompt("urgent", "quiet", 100)
	u.Urgent = true
	b.ask(u)
	b.is.Equal(b.refused["flood8"].Reason, ReasonQueueFull)
	b.serve(0)
	b.serve(0)
	b.is.Equal(b.granted[1], "urgent")
	b.is.Equal(len(b.refused), 3)
}

func TestNoCapacityIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, Options{Capacity: &fixedRoom{}})
	b.ask(prompt("a", "a", 1))
	b.is.Equal(b.refused["a"].Reason, ReasonNoCapacity)
	b.is.True(b.refused["a"].RetryAfter > 0)
}

func TestServicesBeyondTheBoundAreRefused(t *testing.T) {
	is := is.New(t)
	a, err := New(Options{Clock: &stillClock{}, Capacity: oneAtATime(), MaxServices: 3})
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

func TestWithdrawnRequestIsNeverStarted(t *testing.T) {
	b := newBench(t, Options{})
	b.ask(prompt("running", "a", 10))
	p := b.ask(prompt("gone", "a", 10))
	b.ask(prompt("next", "a", 10))
	b.is.True(p.Cancel())
	b.is.True(!p.Cancel())
	b.serve(0)
	b.is.Equal(b.granted, []string{"running", "next"})
	b.is.Equal(b.admitter.Stats()[0].WaitingWork, snapshot.Work{})
}

// A request that was refused and comes back when it was told to is admitted
// though new ones of its customer keep coming, and so are those refused after it.
func TestRetryAfterComesTrue(t *testing.T) {
	b := newBench(t, Options{})
	due := map[string]time.Time{}
	ask := func(id, customer string) {
		r := prompt(id, customer, 1000) // takes a second
		r.Deadline = b.clock.now.Add(5 * time.Second)
		b.ask(r)
		if e := b.refused[id]; e != nil {
			due[id] = b.clock.now.Add(e.RetryAfter)
			delete(b.refused, id)
		}
	}
	back, again := 0, 0
	for step := range 400 { // a tenth of a second each, twice what can be served
		b.clock.now = b.clock.now.Add(100 * time.Millisecond)
		if step%10 == 0 {
			ask(fmt.Sprint("x", step), "x")
			ask(fmt.Sprint("y", step), "y")
		}
		for id, at := range due {
			if b.clock.now.Before(at) {
				continue
			}
			delete(due, id)
			back++
			ask(id, id[:1])
			if !due[id].IsZero() {
				again++
			}
		}
		if step%10 == 9 && len(b.grants) > 0 {
			b.serve(0)
		}
		b.admitter.Tick()
	}
	b.is.True(back >= 10)
	b.is.True(again*5 <= back) // at most one in five was told too early
}

func TestRefusedCallersAreToldDifferentTimes(t *testing.T) {
	b := newBench(t, Options{WaitShare: 0.1})
	b.ask(prompt("running", "a", 1000))
	b.ask(prompt("waiting", "a", 1000))
	var last time.Duration
	for i := range 5 {
		r := prompt(fmt.Sprint(i), "a", 1000)
		r.Deadline = b.clock.now.Add(1500 * time.Millisecond)
		b.ask(r)
		after := b.refused[fmt.Sprint(i)].RetryAfter
		b.is.True(after >= last+500*time.Millisecond)
		last = after
	}
}

func TestClassRefusedForItsPastIsTriedAgain(t *testing.T) {
	room := oneAtATime()
	room.room.Requests = 100
	b := newBench(t, Options{Capacity: room})
	ask := func(id string) {
		r := prompt(id, "a", 1000)
		r.Deadline = b.clock.now.Add(2 * time.Second)
		b.ask(r)
	}
	for i := range 30 {
		ask(fmt.Sprint(i))
	}
	b.is.Equal(len(b.granted), 30)
	b.clock.now = b.clock.now.Add(4 * time.Second) // four times the forecast
	for _, g := range b.grants {
		g.Done()
	}
	ask("refused")
	b.is.Equal(b.refused["refused"].Reason, ReasonDeadline)
	b.clock.now = b.clock.now.Add(time.Minute)
	ask("later")
	b.is.Equal(b.granted[30], "later")
}
