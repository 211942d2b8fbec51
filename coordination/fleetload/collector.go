package fleetload

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/state"
)

const (
	// interval is the time between two summaries. Demand moves between kinds of request within
	// 2.8 s, and an engine boots in 4 s.
	interval = time.Second
	// askTimeout bounds the calls to the owners, so that a round ends before the next one is due.
	askTimeout = interval / 2
	// sampleTTL is how long the last sample of an owner that doesn't answer is used.
	sampleTTL = 5 * time.Second
	// noticeRounds is the number of summaries from one notice to the next.
	noticeRounds = 2
	// finalNotices is how many notices follow when nothing is uneven any more. Notices may be lost,
	// and without them hosts would keep the last speeds for good.
	finalNotices = 3
)

// Peers asks other hosts for their samples.
type Peers interface {
	// Sample returns the load of the engines whose counts the host at a peer address owns.
	Sample(ctx context.Context, addr string) (Sample, error)
}

// CollectorOptions configures a Collector. All fields but LocalPrefixes and Observe are required.
type CollectorOptions struct {
	Peers Peers
	// Self is this host's peer address, and Local takes its own sample.
	Self  string
	Local func() (Sample, error)
	// Owners returns the peer addresses of the hosts that own counts.
	Owners func() []string
	// Enabled reports whether there are engines whose load is of use.
	Enabled func() bool
	// Term returns the number of the lease term, and Held whether the lease is still held.
	Term func() uint64
	Held func() bool
	// Publish sends a notice to all hosts, this one included. It must not block.
	Publish func(ctx context.Context, n Notice)
	// Listener has received the notices of earlier holders, whose speeds may have to be revoked.
	Listener *Listener
	// Weigh returns the speeds of uneven engines, relative to the usual ones, from a summary with the
	// measured ones of all engines. It is called once for each new summary, by one goroutine. If it is nil,
	// there are none.
	Weigh func(Summary) []EngineSpeed
	// LocalPrefixes returns the services whose prompts are prefilled in the domain of their host. It
	// is called once for each new summary, by one goroutine. If it is nil, there are none.
	LocalPrefixes func(Summary) []string
	// Observe is called with each summary and must not modify it.
	Observe func(Summary)
	Clock   state.Clock
	Log     *slog.Logger
}

// Collector asks the owners for samples while this host holds the lease of the duties.
type Collector struct {
	o       CollectorOptions
	summary atomic.Pointer[Summary]
}

// NewCollector validates the options and returns a Collector.
func NewCollector(o CollectorOptions) (*Collector, error) {
	if o.Peers == nil || o.Self == "" || o.Local == nil || o.Owners == nil || o.Enabled == nil || o.Term == nil || o.Held == nil || o.Publish == nil || o.Listener == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("fleetload: a field of CollectorOptions is missing; set all but LocalPrefixes and Observe")
	}
	return &Collector{o: o}, nil
}

// Summary returns the last summary of the present term of the lease. There is none if this host doesn't
// hold the lease or has just taken it. The summary is shared and must not be modified. It is safe for
// concurrent use.
func (c *Collector) Summary() (Summary, bool) {
	s := c.summary.Load()
	if s == nil {
		return Summary{}, false
	}
	return *s, true
}

// term is the state of a Collector during one term of the lease.
type term struct {
	number uint64
	// owners holds the last samples by address.
	owners map[string]*owner
	rounds int
	// notices counts the published notices, and final those that are left to publish when nothing is
	// uneven.
	notices uint64
	final   int
	// localPrefixes is the last result of CollectorOptions.LocalPrefixes.
	localPrefixes []string
	report        report
}

// owner is what is known of one owner.
type owner struct {
	// sample is the last one, taken at takenAt; zero before the first.
	sample  Sample
	takenAt time.Time
	silent  transition
}

// Hold collects samples during one term of the lease. It returns when ctx ends, which must happen when
// the term ends.
func (c *Collector) Hold(ctx context.Context) {
	t := &term{number: c.o.Term(), owners: map[string]*owner{}, report: report{log: c.o.Log}}
	defer c.summary.Store(nil)
	for next := c.o.Clock.Now(); ; {
		if c.o.Enabled() {
			c.collect(ctx, t)
		} else {
			c.summary.Store(nil)
		}
		now := c.o.Clock.Now()
		if next = next.Add(interval); next.Before(now) {
			next = now
		}
		if c.o.Clock.Sleep(ctx, next.Sub(now)) != nil {
			return
		}
	}
}

// collect makes one summary, and publishes a notice if one is due.
func (c *Collector) collect(ctx context.Context, t *term) {
	addrs := c.o.Owners()
	answers := c.ask(ctx, addrs)
	if ctx.Err() != nil || !c.o.Held() {
		return
	}
	now := c.o.Clock.Now()
	t.record(answers, now)
	s, known := t.summarize(now)
	if !known {
		c.keepLast(t, now)
		return
	}
	s.Speeds = c.weigh(s)
	if c.o.LocalPrefixes != nil {
		t.localPrefixes = c.o.LocalPrefixes(s)
	}
	c.summary.Store(&s)
	t.report.summary(s, t, now)
	if c.o.Observe != nil {
		c.o.Observe(s)
	}
	c.publish(ctx, t, s)
}

func (c *Collector) weigh(s Summary) []EngineSpeed {
	if c.o.Weigh == nil {
		return nil
	}
	return LimitSpeeds(c.o.Weigh(s))
}

// keepLast keeps the last summary, with its age, while nothing is known of any owner.
func (c *Collector) keepLast(t *term, now time.Time) {
	if last := c.summary.Load(); last != nil {
		s := *last
		s.Answered = 0
		c.summary.Store(&s)
		t.report.summary(s, t, now)
	}
}

// answer is an owner's answer in one round.
type answer struct {
	addr   string
	sample Sample
	err    error
}

// ask asks all owners at once.
func (c *Collector) ask(ctx context.Context, addrs []string) []answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	out := make([]answer, len(addrs))
	var group conc.WaitGroup
	for i, addr := range addrs {
		out[i].addr = addr
		if addr == c.o.Self {
			out[i].sample, out[i].err = c.o.Local()
			continue
		}
		group.Go(func() { out[i].sample, out[i].err = c.o.Peers.Sample(ctx, addr) })
	}
	group.Wait()
	return out
}

// record keeps the samples of the owners that have answered, and drops hosts that own no counts any
// more.
func (t *term) record(answers []answer, now time.Time) {
	listed := make(map[string]*owner, len(answers))
	for _, a := range answers {
		o := t.owners[a.addr]
		if o == nil {
			o = &owner{}
		}
		listed[a.addr] = o
		if a.err == nil {
			o.sample, o.takenAt = a.sample, now
		}
		t.report.answered(a, o, now)
	}
	t.owners = listed
}

// summarize merges the samples that aren't older than sampleTTL; known is false if there are none.
func (t *term) summarize(now time.Time) (s Summary, known bool) {
	var samples []ownerSample
	for _, o := range t.owners {
		if !o.takenAt.IsZero() && now.Sub(o.takenAt) <= sampleTTL {
			samples = append(samples, ownerSample{o.sample, now.Sub(o.takenAt)})
		}
	}
	s = merge(samples, len(t.owners)-len(samples))
	s.TakenAt = now
	return s, len(samples) > 0
}

// publish publishes every second summary if it contains what other hosts need, or if they may still
// hold such contents of an earlier notice. While too few owners answer, nothing is published: hosts
// then keep the speeds and discard the rest.
func (c *Collector) publish(ctx context.Context, t *term, s Summary) {
	due := t.rounds%noticeRounds == 0
	t.rounds++
	if !due || s.Answered < MinAnswered {
		return
	}
	held := c.o.Listener.Current()
	switch {
	case len(s.Speeds)+len(t.localPrefixes)+len(held.Speeds)+len(held.LocalPrefixes) > 0:
		t.final = finalNotices
	case t.final == 0:
		return
	}
	t.final--
	t.notices++
	c.o.Publish(ctx, Notice{Term: t.number, Number: t.notices, Domains: s.Domains, Speeds: s.Speeds, LocalPrefixes: t.localPrefixes})
}
