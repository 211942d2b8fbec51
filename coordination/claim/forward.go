package claim

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/thymerack/thymerack/state"
)

// avoidFor is how long a host that failed to write entries isn't asked again.
const avoidFor = 2 * time.Second

// ErrNotForwarded says that entries certainly didn't reach the other host. A
// Forwarder wraps it when, for example, no connection could be made.
var ErrNotForwarded = errors.New("the entries did not reach the host that writes the shard; write them here")

// Forwarder carries entries to the Claimer.Commit of another host. The results
// are in the order of the entries. It returns when ctx ends.
type Forwarder interface {
	Forward(ctx context.Context, to state.HostID, entries []Entry) ([]Result, error)
}

// writerChoice names the host that writes a shard. It only saves conflicts: any
// host may write any shard at any time.
type writerChoice struct {
	mu    sync.Mutex
	hosts []state.HostID
	table *rendezvous.Rendezvous
	avoid map[state.HostID]time.Time
}

// writerOf returns the host that should write a shard, by rendezvous hashing
// over the live hosts.
func (c *Claimer) writerOf(shard int) state.HostID {
	hosts := c.o.Hosts()
	c.writer.mu.Lock()
	defer c.writer.mu.Unlock()
	if c.writer.table == nil || !slices.Equal(hosts, c.writer.hosts) {
		c.writer.hosts = slices.Clone(hosts)
		c.writer.table = newTable(hosts)
	}
	name := c.writer.table.Lookup(strconv.Itoa(shard))
	for _, h := range c.writer.hosts {
		if h.String() == name {
			return h
		}
	}
	return c.o.Host
}

func newTable(hosts []state.HostID) *rendezvous.Rendezvous {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.String()
	}
	slices.Sort(names)
	return rendezvous.New(names, xxhash.Sum64String)
}

func (w *writerChoice) avoided(h state.HostID, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Before(w.avoid[h])
}

func (w *writerChoice) avoidUntil(h state.HostID, t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.avoid == nil {
		w.avoid = map[state.HostID]time.Time{}
	}
	for other, until := range w.avoid {
		if t.Sub(until) > avoidFor {
			delete(w.avoid, other)
		}
	}
	w.avoid[h] = t
}

// commitOne carries an entry out at the shard's writer, or here when that host
// is this one or doesn't help.
func (c *Claimer) commitOne(ctx context.Context, e Entry) Result {
	if err := c.layout.wait(ctx); err != nil {
		return unavailable(err)
	}
	shard := c.shardOf(e.Key)
	to := c.writerOf(shard)
	if c.o.Forward == nil {
		return c.shards[shard].submit(ctx, e)
	}
	tried := []state.HostID{c.o.Host}
	uncertain := false
	if to != c.o.Host && !c.writer.avoided(to, c.now()) {
		forwarded := c.tryForward(ctx, to, e)
		if forwarded.settled() {
			return forwarded
		}
		tried = append(tried, to)
		uncertain = forwarded.Code == CodeUncertain
	}
	other, ok := c.otherWriter(shard, tried)
	here := c.submitHere(ctx, shard, e, ok)
	if here.settled() {
		return here
	}
	// This host may be cut off from the platform alone: another one can write.
	// An entry that several hosts write is one entry; its nonce tells.
	if ok {
		forwarded := c.tryForward(ctx, other, e)
		if forwarded.settled() {
			return forwarded
		}
		uncertain = uncertain || forwarded.Code == CodeUncertain
	}
	if here.Code == CodeUnavailable && uncertain {
		// Another host may write the entry even after this.
		here.Code = CodeUncertain
	}
	return here
}

// submitHere writes an entry here. When another host could do it, this one has a
// limited time for it: a platform that is silent, and not refusing, would else
// hold the entry until its caller's deadline.
func (c *Claimer) submitHere(ctx context.Context, shard int, e Entry, other bool) Result {
	if !other {
		return c.shards[shard].submit(ctx, e)
	}
	ctx, cancel := c.within(ctx, hereWaits*c.o.ForwardWait)
	defer cancel()
	return c.shards[shard].submit(ctx, e)
}

// hereWaits is how many times ForwardWait a write here may take.
const hereWaits = 2

// within ends ctx after a time by the claimer's clock.
func (c *Claimer) within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		if c.o.Clock.Sleep(ctx, d) == nil {
			cancel()
		}
	}()
	return ctx, cancel
}

// settled reports whether the record is known, or known to be missing.
func (r Result) settled() bool { return r.Code == CodeRecord || r.Code == CodeAbsent }

// tryForward forwards an entry, and avoids the host for a while when that fails.
func (c *Claimer) tryForward(ctx context.Context, to state.HostID, e Entry) Result {
	r := c.forward(ctx, to, e)
	if !r.settled() {
		c.writer.avoidUntil(to, c.now().Add(avoidFor))
	}
	return r
}

// otherWriter chooses a live host besides those tried, the same for each host.
func (c *Claimer) otherWriter(shard int, tried []state.HostID) (state.HostID, bool) {
	now := c.now()
	left := slices.DeleteFunc(slices.Clone(c.o.Hosts()), func(h state.HostID) bool {
		return slices.Contains(tried, h) || c.writer.avoided(h, now)
	})
	if len(left) == 0 {
		return state.HostID{}, false
	}
	name := newTable(left).Lookup(strconv.Itoa(shard))
	for _, h := range left {
		if h.String() == name {
			return h, true
		}
	}
	return state.HostID{}, false
}

func (c *Claimer) forward(ctx context.Context, to state.HostID, e Entry) Result {
	ctx, cancel := c.within(ctx, c.o.ForwardWait)
	defer cancel()
	results, err := c.o.Forward.Forward(ctx, to, []Entry{e})
	switch {
	case errors.Is(err, ErrNotForwarded):
		return unavailable(err)
	case err != nil:
		return uncertain(err)
	case len(results) != 1:
		return uncertain(errUnreadable)
	}
	return results[0]
}

// Commit carries out entries that another host has forwarded. It never forwards
// them on. The results are in the order of the entries; the error is nil unless
// this host makes no claims at all.
func (c *Claimer) Commit(ctx context.Context, entries []Entry) ([]Result, error) {
	if err := c.layout.wait(ctx); err != nil {
		return nil, err
	}
	flights := make([]*flight, len(entries))
	for i, e := range entries {
		flights[i] = c.shards[c.shardOf(e.Key)].enqueue(e)
	}
	results := make([]Result, len(entries))
	for i, f := range flights {
		results[i] = c.shards[c.shardOf(f.entry.Key)].await(ctx, f)
	}
	return results, nil
}
