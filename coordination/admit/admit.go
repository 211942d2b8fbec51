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

// Request describes a request to be admitted.
type Request struct {
	// ID may be empty. Class is the request class; predicted service times are
	// corrected for each class separately.
	ID, Service, Customer, Class string
	// Urgent requests go before others, within Options.UrgentShare.
	Urgent bool
	// Weight is the customer's relative share; zero means 1.
	Weight float64
	// Cost is the predicted work: prompt tokens that aren't cached, and expected
	// output tokens.
	Cost snapshot.Work
	// LongOutput is an output length, in tokens, that most answers don't exceed.
	// The deadline is checked against an answer of this length, or of
	// Cost.DecodeTokens if that is longer.
	LongOutput int64
	// Deadline is when the whole answer is due; zero means no deadline.
	Deadline time.Time
	// Resubmitted reports that the request was refused before and is sent again
	// after its RefusedError.RetryAfter; it goes before the customer's other
	// requests. A request whose ID this host refused recently is recognised
	// without it.
	Resubmitted bool
}

// Reason is why a request was refused. Its text reaches callers.
type Reason string

// Reasons for a refusal.
const (
	// ReasonDeadline means that the predicted finish is after the deadline, or
	// that the predicted wait takes more than Options.WaitShare of the slack.
	ReasonDeadline Reason = "the deadline can't be met"
	// ReasonQueueFull means that Options.MaxQueued requests wait already.
	ReasonQueueFull Reason = "the queue is full"
	// ReasonNoCapacity means that no runner of the service takes work, or that
	// there are more services than Options.MaxServices.
	ReasonNoCapacity Reason = "no runner takes work"
	// ReasonStopped means that the host is shutting down.
	ReasonStopped Reason = "the host is shutting down"
)

// RefusedError reports that a request was refused and did not run. It can be
// sent again after RetryAfter.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the time after which the same request is expected to be
	// admitted.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted: %s; come back after %v", e.Reason, e.RetryAfter)
}

// Options configures an Admitter. Zero values mean the defaults.
type Options struct {
	// Clock and Capacity are required.
	Clock    state.Clock
	Capacity CapacitySource
	// NewDiscipline returns an empty queue; it is called for each lane of a
	// service. Default NewBWF2Q.
	NewDiscipline func() Discipline
	// MaxQueued bounds the waiting requests of one service; default 4096.
	MaxQueued int
	// MaxServices bounds the services that have a queue; requests for others are
	// refused. Default 256.
	MaxServices int
	// UrgentShare is the largest fraction of the cost started that urgent
	// requests take while others wait; at least 0 and less than 1, default 0.8.
	UrgentShare float64
	// WaitShare is the largest fraction of its slack (the time until the
	// deadline less the predicted service time) that a request may be predicted
	// to wait on arrival; default 0.5. A queue that uses all of the slack leaves
	// none for errors of the prediction.
	WaitShare float64
	// DecodeFactor is the cost of an output token in prompt tokens while the
	// speeds of a service are unknown; default 4.
	DecodeFactor float64
	// Interval is the time between ticks (see Admitter.Tick) while requests wait;
	// default 20 ms.
	Interval time.Duration
	// MinRetryAfter and MaxRetryAfter bound RefusedError.RetryAfter; default
	// 500 ms and 60 s.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// Admitter admits, queues or refuses requests, with one queue per service. It is
// safe for concurrent use.
type Admitter struct {
	options Options
	// wake is signalled when a request is queued.
	wake chan struct{}

	mu sync.Mutex
	// queues holds the queues by service.
	queues map[string]*serviceQueue
	// queueList holds the same queues. It is replaced, not modified, when a
	// service is added, so that it can be read without the lock.
	queueList []*serviceQueue
}

// New returns an admitter, or an error that names the invalid option. Run has to
// be running: it starts waiting requests when the fleet's capacity grows and
// refuses those that can't meet their deadlines.
func New(o Options) (*Admitter, error) {
	if o.Clock == nil {
		return nil, fmt.Errorf("admit: Options.Clock is nil; pass a state.Clock")
	}
	if o.Capacity == nil {
		return nil, fmt.Errorf("admit: Options.Capacity is nil; pass NewFleetCapacity or another CapacitySource")
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

// Grant is the right to run one request. The holder calls Done when the request
// has ended. It is safe for concurrent use.
type Grant struct {
	// Waited is how long the request was queued.
	Waited time.Duration

	queue     *serviceQueue
	class     string
	startedAt time.Time
	// predictedService is the predicted time from startedAt to the end of the
	// answer.
	predictedService time.Duration
	once             sync.Once
	mu               sync.Mutex
	// held is the granted work that hasn't been released.
	held snapshot.Work
}

// FirstToken releases the prompt's share of the granted work, since its prefill
// is done.
func (g *Grant) FirstToken() {
	g.mu.Lock()
	w := snapshot.Work{PrefillTokens: g.held.PrefillTokens}
	g.held.PrefillTokens = 0
	g.mu.Unlock()
	g.queue.release(w)
}

// Done releases the granted work; further calls have no effect.
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

// Admit waits until the request may run and returns a grant. It returns a
// *RefusedError if the request is refused on arrival or in the queue, and ctx's
// error if ctx ends first; in both cases the request did not run.
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

// Submit submits a request without waiting for the decision. onDecided is called
// exactly once, with a grant or with a *RefusedError, before Submit returns or
// later from another goroutine. It is not called after a successful Cancel.
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
		default: // already signalled
		}
	}
	return &Pending{queue: q, waiter: w}
}

// Pending is a submitted request that may still be waiting.
type Pending struct {
	queue  *serviceQueue
	waiter *waiter
}

// Cancel removes a waiting request from its queue. It returns false if the
// request was already granted, refused or cancelled.
func (p *Pending) Cancel() bool { return p.queue != nil && p.queue.cancel(p.waiter) }

// queueFor returns the queue of a service and creates it if needed. It returns nil
// if that would exceed Options.MaxServices: the configuration names the services,
// so a larger number can only come from names invented by callers.
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

// Run calls Tick every Options.Interval while requests wait, until ctx ends; then
// it refuses those that still wait and later ones of the same services, and returns
// ctx's error.
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

// anyQueued reports whether any request waits.
func (a *Admitter) anyQueued() bool {
	found := false
	a.forEachQueue(func(q *serviceQueue) {
		q.mu.Lock()
		defer q.mu.Unlock()
		found = found || q.numQueued() > 0
	})
	return found
}

// Tick updates the measured service rates, refuses waiting requests whose
// deadlines are out of reach and starts others as far as the capacity allows.
func (a *Admitter) Tick() { a.forEachQueue((*serviceQueue).tick) }

// forEachQueue calls visit for every queue, without holding the lock.
func (a *Admitter) forEachQueue(visit func(*serviceQueue)) {
	a.mu.Lock()
	queues := a.queueList
	a.mu.Unlock()
	for _, q := range queues {
		visit(q)
	}
}

// QueueStats describes the waiting and the running requests of one service.
type QueueStats struct {
	Service string
	// Waiting is the number of queued requests.
	Waiting int
	// WaitingCost is their cost, in prompt tokens.
	WaitingCost float64
	// WaitingWork is their work.
	WaitingWork snapshot.Work
	// Running is the work granted and not released.
	Running snapshot.Work
	// PredictedWait is the predicted wait of a request that arrives now and is
	// served after all waiting ones, in the lane where that takes longest.
	PredictedWait time.Duration
}

// Stats returns the state of every queue.
func (a *Admitter) Stats() []QueueStats {
	var out []QueueStats
	a.forEachQueue(func(q *serviceQueue) { out = append(out, q.stats()) })
	return out
}
