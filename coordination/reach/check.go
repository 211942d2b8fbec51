package reach

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// overdueCall and overdueGeneration are how long after a request was sent its runner must be heard: a call
	// of a plain service takes 15 to 30 ms, and an engine with many requests answers others meanwhile.
	overdueCall       = 150 * time.Millisecond
	overdueGeneration = 300 * time.Millisecond
	// minOverdueInterval is the least time between two checks of a link for an overdue response.
	minOverdueInterval = time.Second
	// maxFailedPolls bounds the polls of lost links in a row that fail, and maxPolls all polls between two pauses. After
	// one that succeeds another link is polled at once, since they may have been lost together.
	maxFailedPolls = 2
	maxPolls       = 64
)

// Prober probes runners over new connections.
type Prober interface {
	// ProbeDirect reports whether the runner answers over this host's own link. If it doesn't, connected
	// says whether there was a connection, and e why there was none; e is "" if that says nothing of the
	// link.
	ProbeDirect(ctx context.Context, i *state.Instance) (answered, connected bool, e Evidence)
	// ProbeViaPeer reports whether the runner answers through another host.
	ProbeViaPeer(ctx context.Context, i *state.Instance) bool
}

// CheckerOptions configures a Checker. All fields are required.
type CheckerOptions struct {
	Tracker *Tracker
	Prober  Prober
	Clock   state.Clock
}

// Checker finds out whether links are lost for which connections are no evidence: those that can be made while
// nothing comes back, those that were kept and are dead without a sign, and lost links that work again, whether
// requests use them or not. Its checks run in the background, one of a link at a time. It is safe for concurrent use.
type Checker struct{ o CheckerOptions }

// NewChecker returns an error if an option is missing.
func NewChecker(o CheckerOptions) (*Checker, error) {
	if o.Tracker == nil || o.Prober == nil || o.Clock == nil {
		return nil, errors.New("reach: a field of CheckerOptions is missing; set all of them")
	}
	return &Checker{o}, nil
}

// Run polls lost links until ctx ends: a link that no request uses would stay lost in the belief of this host,
// which then takes itself for partitioned.
func (c *Checker) Run(ctx context.Context) {
	for c.o.Clock.Sleep(ctx, vary(c.o.Tracker.pollInterval())) == nil {
		c.poll(ctx)
	}
}

// poll checks lost links, one after the other, until a few checks have failed.
func (c *Checker) poll(ctx context.Context) {
	began := c.o.Clock.Now()
	failed := 0
	for n := 0; n < maxPolls && failed < maxFailedPolls; n++ {
		i := c.o.Tracker.takePoll(began)
		if i == nil || ctx.Err() != nil {
			return
		}
		if answered, _, _ := c.o.Prober.ProbeDirect(ctx, i); answered {
			c.o.Tracker.Connected(i)
		} else {
			failed++
		}
	}
}

// Broken records that a connection broke off or timed out before a response to a request that was sent at the
// time, and checks the link if the runner wasn't heard since. It then returns true: connections that are kept
// may be dead as well.
func (c *Checker) Broken(i *state.Instance, sentAt time.Time) (suspect bool) {
	c.o.Tracker.Broken(i)
	if c.o.Tracker.HeardSince(i.ID, sentAt) {
		return false
	}
	if c.o.Tracker.State(i.ID) == Direct {
		c.check(i)
	}
	return true
}

// Watch checks the link if the runner isn't heard for too long after a request was sent. The watch ends with
// ctx.
func (c *Checker) Watch(ctx context.Context, i *state.Instance, generation bool, sentAt time.Time) {
	overdue := overdueCall
	if generation {
		overdue = overdueGeneration
	}
	go func() {
		if c.o.Clock.Sleep(ctx, overdue) != nil || c.o.Tracker.HeardSince(i.ID, sentAt) {
			return
		}
		if c.o.Tracker.takeOverdueCheck(i) {
			c.check(i)
		}
	}()
}

// CheckIfDue checks a lost link from time to time, so that this host returns to it.
func (c *Checker) CheckIfDue(i *state.Instance) {
	if c.o.Tracker.takeCheck(i.ID) {
		c.check(i)
	}
}

// check probes the runner over this host's own link, unless a check is running. A link that seemed to work is
// lost only if the runner answers through another host, and still doesn't over this link after that: else the runner
// itself may have been silent.
func (c *Checker) check(i *state.Instance) {
	if !c.o.Tracker.beginCheck(i) {
		return
	}
	go func() {
		defer c.o.Tracker.endCheck(i.ID)
		ctx := context.Background()
		began := c.o.Clock.Now()
		answered, connected, e := c.o.Prober.ProbeDirect(ctx, i)
		if !answered && connected && c.o.Tracker.State(i.ID) == Direct {
			if !c.o.Prober.ProbeViaPeer(ctx, i) {
				return
			}
			answered, connected, e = c.o.Prober.ProbeDirect(ctx, i)
			c.o.Tracker.o.Log.Info("silent runner answered another host", "instance", i.ID, "service", i.Service, "answered_this_host", answered, "evidence", string(e), "took", c.o.Clock.Now().Sub(began))
		}
		switch {
		case answered:
			c.o.Tracker.Connected(i)
		case !connected && e != "":
			c.o.Tracker.ConnectFailed(i, e)
		case connected:
			c.o.Tracker.ConnectFailed(i, EvidenceNoAnswer)
		}
	}()
}
