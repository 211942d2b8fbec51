package admit

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Request asks for admission.
type Request struct {
	ID, Service, Customer, Class string
	// Urgent requests go first, within Options.UrgentShare.
	Urgent bool
	// Weight is the customer's share; zero stands for 1.
	Weight float64
	// Cost is the predicted work: uncached prompt tokens and expected output.
	Cost snapshot.Work
	// LongOutput is an output in tokens that most answers don't exceed; the
	// deadline has to hold for it. Zero stands for Cost.DecodeTokens.
	LongOutput int64
	// Deadline is when the whole answer is due; zero when it isn't.
	Deadline time.Time
	// Resubmitted says that the request was refused before and comes back when it
	// was told to; it goes before its customer's others. A request whose ID this
	// host has refused lately is recognised without it.
	Resubmitted bool
}

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonDeadline means that the predicted finish is past the deadline.
	ReasonDeadline Reason = "the deadline can't be met"
	// ReasonQueueFull means that the queue is at its bound.
	ReasonQueueFull Reason = "the queue is full"
	// ReasonNoCapacity means that no runner takes work.
	ReasonNoCapacity Reason = "no runner takes work"
	// ReasonStopped means that the host is shutting down.
	ReasonStopped Reason = "the host is shutting down"
)

// RefusedError says that a request was refused and did not run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when the same request is expected to be admitted.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted: %s; come back after %v", e.Reason, e.RetryAfter)
}

// Options configure an Admitter. Zero values stand for the defaults.
type Options struct {
	// Clock and Capacity are required.
	Clock    state.Clock
	Capacity CapacitySource
	// NewDiscipline makes the queue of a service; default NewBWF2Q.
	NewDiscipline func() Discipline
	// MaxQueued bounds the waiting requests of a service; default 4096.
	MaxQueued int
	// MaxServices bounds the services kept apart; default 256.
	MaxServices int
	// UrgentShare is the largest share of the tokens that urgent requests take
	// while others wait; default 0.8.
	UrgentShare float64
	// WaitShare is the largest share of the time to spare before its deadline
	// that a request may be predicted to wait when it comes; default 0.5. A
	// queue that takes all of it leaves nothing for what can't be predicted.
	WaitShare float64
	// DecodeFactor is the cost of an output token in prompt tokens; default 4.
	DecodeFactor float64
	// Interval is how often waiting requests are looked at again; default 20 ms.
	Interval time.Duration
	// MinRetryAfter and MaxRetryAfter bound what refused callers are told;
	// default 500 ms and 60 s.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// Admitter admits requests. It is safe for concurrent use.
type Admitter struct {
	options Options
	// wake is signalled when a request is queued.
	wake chan struct{}

	mu     sync.Mutex
	queues map[string]*serviceQueue
	// queueList is replaced, not changed, when a service is added.
	queueList []*serviceQueue
}

// New returns an admitter, or an error that names the wrong option. Run must be
// running for waiting requests to be started as room appears by itself.
func New(o Options) (*Admitter, error) {
	if o.Clock == nil {
		return nil, fmt.Errorf("admit: Options.Clock is nil; pass a state.Clock")
	}
	if o.Capacity == nil {
		return nil, fmt.Errorf("admit: Options.Capacity is nil; pass NewFleet or your own")
	}
	if o.UrgentShare < 0 || o.UrgentShare >= 1 {
		return nil, fmt.Errorf("admit: Options.UrgentShare is outside 0 to 1; use 0.8, so that other classes don't starve")
	}
	o.setDefaults()
	return &Admitter{options: o, wake: make(chan struct{}, 1), queues: map[string]*serviceQueue{}}, nil
}

func (o *Options) setDefaults() {
	if o.NewDiscipline == nil {
		o.NewDiscipline = NewBWF2Q
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = 4096
	}
	if o.MaxServices == 0 {
		o.MaxServices = 256
	}
	if o.UrgentShare == 0 {
		o.UrgentShare = 0.8
	}
	if o.WaitShare == 0 {
		o.WaitShare = 0.5
	}
	if o.DecodeFactor == 0 {
		o.DecodeFactor = 4
	}
	if o.Interval == 0 {
		o.Interval = 20 * time.Millisecond
	}
	if o.MinRetryAfter == 0 {
		o.MinRetryAfter = 500 * time.Millisecond
	}
	if o.MaxRetryAfter == 0 {
		o.MaxRetryAfter = time.Minute
	}
}

// Grant is the right to run one request.
type Grant struct {
	// Waited is how long the request was queued.
	Waited time.Duration

	queue            *serviceQueue
	class            string
	startedAt        time.Time
	predictedService time.Duration
	once             sync.Once
	mu               sync.Mutex
	held             snapshot.Work
}

// FirstToken gives the room of the prompt back: its prefill is done.
func (g *Grant) FirstToken() {
	g.mu.Lock()
	w := snapshot.Work{PrefillTokens: g.held.PrefillTokens}
	g.held.PrefillTokens = 0
	g.mu.Unlock()
	g.queue.release(w)
}

// Done gives the room back; calling it again has no effect.
func (g *Grant) Done() {
	g.once.Do(func() {
		g.mu.Lock()
		w := g.held
		g.held = snapshot.Work{}
		g.mu.Unlock()
		g.queue.recordServiceTime(g)
		g.queue.release(w)
	})
}

// Admit returns a grant once the request may run. It returns a *RefusedError as
// soon as it is clear that it won't be answered in time, and ctx's error when
// that ends first; in both cases the request did not run.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Grant, error) {
	type outcome struct {
		grant *Grant
		err   error
	}
	decided := make(chan outcome, 1)
	pending := a.Submit(r, func(g *Grant, err error) { decided <- outcome{g, err} })
	select {
	case d := <-decided:
		return d.grant, d.err
	case <-ctx.Done():
		if pending.Cancel() {
			return nil, ctx.Err()
		}
		d := <-decided
		return d.grant, d.err
	}
}

// Submit asks for admission without waiting: decide is called exactly once, with
// a grant or with a *RefusedError, before Submit returns or later from another
// goroutine. It is not called after a successful Withdraw.
func (a *Admitter) Submit(r Request, onDecided func(*Grant, error)) *Pending {
	q := a.queueFor(r.Service)
	if q == nil {
		onDecided(nil, &RefusedError{ReasonNoCapacity, a.options.MaxRetryAfter})
		return &Pending{}
	}
	w := q.submit(&r, onDecided)
	if w.lane != nil {
		select {
		case a.wake <- struct{}{}:
		default: // it is signalled already
		}
	}
	return &Pending{queue: q, waiter: w}
}

// Pending is a submitted request.
type Pending struct {
	queue  *serviceQueue
	waiter *waiter
}

// Cancel takes a waiting request back; it is false when the decision came
// first.
func (p *Pending) Cancel() bool { return p.queue != nil && p.queue.cancel(p.waiter) }

// queueFor returns the queue of a queueFor, or nil beyond Options.MaxServices: the
// configuration names the services, so only a caller's invention is so many.
func (a *Admitter) queueFor(name string) *serviceQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[name]
	if q == nil && len(a.queues) < a.options.MaxServices {
		q = newServiceQueue(name, &a.options)
		a.queues[name] = q
		a.queueList = append(slices.Clip(a.queueList), q)
	}
	return q
}

// Run calls Look every Options.Interval while requests wait, until ctx ends; then
// it refuses those that still wait.
func (a *Admitter) Run(ctx context.Context) error {
	defer a.forEachQueue((*serviceQueue).stop)
	for {
		if !a.anyQueued() {
			select {
			case <-a.wake:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := a.options.Clock.Sleep(ctx, a.options.Interval); err != nil {
			return err
		}
		a.Tick()
	}
}

// anyQueued reports whether a request waits.
func (a *Admitter) anyQueued() bool {
	found := false
	a.forEachQueue(func(q *serviceQueue) {
		q.mu.Lock()
		defer q.mu.Unlock()
		found = found || q.numQueued() > 0
	})
	return found
}

// Tick refuses waiting requests whose deadlines are out of reach by now and
// starts others if room has appeared.
func (a *Admitter) Tick() { a.forEachQueue((*serviceQueue).tick) }

func (a *Admitter) forEachQueue(visit func(*serviceQueue)) {
	a.mu.Lock()
	queues := a.queueList
	a.mu.Unlock()
	for _, q := range queues {
		visit(q)
	}
}

// QueueStats tells what waits and runs of one service.
type QueueStats struct {
	Service string
	Waiting int
	// WaitingCost is in prompt tokens.
	WaitingCost float64
	WaitingWork snapshot.Work
	Running     snapshot.Work
	// PredictedWait is the predicted wait of a new request of an ordinary class.
	PredictedWait time.Duration
}

// Stats returns the present state of every queue.
func (a *Admitter) Stats() []QueueStats {
	var out []QueueStats
	a.forEachQueue(func(q *serviceQueue) { out = append(out, q.stats()) })
	return out
}
