package reach

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// maxPeersAsked bounds the hosts that are asked for one connection, and maxPartitionedAsked those of them
	// that turn out to be partitioned, which they tell at once.
	maxPeersAsked       = 3
	maxPartitionedAsked = 8
	// maxConfirmations bounds the further hosts that are asked whether a run has ended. If two in five hosts have lost the
	// path to a sound runner, one finding in some four thousand is false with eight of them.
	maxConfirmations = 8
	// peerStagger is the time between asking one host and the next, unless the first has failed before.
	peerStagger = 40 * time.Millisecond
)

// Dialer makes connections of type C.
type Dialer[C io.Closer] interface {
	// Direct connects to the runner over this host's own link, within a time of its own. The evidence of
	// an error is "" if it says nothing of the link.
	Direct(ctx context.Context, i *state.Instance) (C, Evidence, error)
	// ViaPeer asks another host to connect to the runner over its own link. replied is false if there
	// was no reply; an error with a reply means that it didn't connect.
	ViaPeer(ctx context.Context, peer state.Peer, i *state.Instance) (c C, r Reply, replied bool, err error)
}

// ConnectorOptions configures a Connector. All fields are required.
type ConnectorOptions[C io.Closer] struct {
	Tracker *Tracker
	Peers   *Peers
	Dialer  Dialer[C]
	Clock   state.Clock
}

// Connector makes connections to runners: over this host's own link, or through another host if that
// is lost. It is safe for concurrent use.
type Connector[C io.Closer] struct{ o ConnectorOptions[C] }

// NewConnector returns an error if an option is missing.
func NewConnector[C io.Closer](o ConnectorOptions[C]) (*Connector[C], error) {
	if o.Tracker == nil || o.Peers == nil || o.Dialer == nil || o.Clock == nil {
		return nil, errors.New("reach: a field of ConnectorOptions is missing; set all of them")
	}
	return &Connector[C]{o: o}, nil
}

// attempt is the outcome of one path. peer is the zero Peer for the direct one.
type attempt[C io.Closer] struct {
	conn    C
	peer    state.Peer
	failure PeerFailure
	err     error
}

// race is the attempts to make one connection.
type race[C io.Closer] struct {
	c        *Connector[C]
	ctx      context.Context
	instance *state.Instance
	outcomes chan attempt[C]
	running  int
	asked    []state.Peer
	failures []PeerFailure
	// triedDirect is set once the direct path is used, and directFailed once it failed; localErr is why, if
	// that says nothing of the link.
	triedDirect, directFailed bool
	localErr                  error
}

// Connect makes a connection. The paths race each other: the direct one first if it is believed to
// work, then one host after the other. The first connection wins. The error is a *NoPathError, or
// that of ctx.
func (c *Connector[C]) Connect(ctx context.Context, i *state.Instance) (C, error) {
	var none C
	plan := c.o.Tracker.Plan(i)
	if plan.NoPath != nil {
		return none, plan.NoPath
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race[C]{c: c, ctx: ctx, instance: i, outcomes: make(chan attempt[C], 1+maxPeersAsked+maxPartitionedAsked)}
	if plan.Direct {
		r.startDirect()
	}
	next := c.after(ctx, plan.PeerDelay)
	for {
		select {
		case <-next:
			next = nil
			if r.askPeer() {
				next = c.after(ctx, peerStagger)
			}
		case a := <-r.outcomes:
			r.running--
			if a.err == nil {
				r.abandon()
				return a.conn, nil
			}
			r.noteFailure(a)
			if r.runnerSilent() {
				r.abandon()
				return none, r.noPath()
			}
			r.askPeer()
		case <-ctx.Done():
			r.abandon()
			return none, ctx.Err()
		}
		if r.running == 0 && !r.askPeer() && !r.startDirect() {
			return none, r.noPath()
		}
	}
}

// noteFailure records an attempt that failed.
func (r *race[C]) noteFailure(a attempt[C]) {
	switch {
	case a.peer.Addr != "":
		r.failures = append(r.failures, a.failure)
	case a.failure.Evidence == "":
		r.localErr = a.err
	default:
		r.directFailed = true
	}
}

// runnerSilent reports whether this host and another one that isn't partitioned have found that the runner doesn't
// answer.
func (r *race[C]) runnerSilent() bool {
	found := NoPathError{Peers: r.failures}
	return r.directFailed && found.RunnerSilent()
}

// after returns a channel that is closed after d, unless ctx ends before.
func (c *Connector[C]) after(ctx context.Context, d time.Duration) <-chan struct{} {
	out := make(chan struct{})
	if d <= 0 {
		close(out)
		return out
	}
	go func() {
		if c.o.Clock.Sleep(ctx, d) == nil {
			close(out)
		}
	}()
	return out
}

// startDirect tries the direct path, once. The attempt goes on when another path has won or the caller
// has left, since its outcome is evidence of the link.
func (r *race[C]) startDirect() bool {
	if r.triedDirect {
		return false
	}
	r.triedDirect = true
	r.running++
	go func() {
		conn, e, err := r.c.o.Dialer.Direct(context.WithoutCancel(r.ctx), r.instance)
		switch {
		case err == nil:
			r.c.o.Tracker.Connected(r.instance)
		case e != "":
			r.c.o.Tracker.ConnectFailed(r.instance, e)
		}
		r.outcomes <- attempt[C]{conn: conn, failure: PeerFailure{Evidence: e}, err: err}
	}()
	return true
}

// askPeer asks the next host, and reports whether there was one.
func (r *race[C]) askPeer() bool {
	if !mayAsk(len(r.asked), r.failures) {
		return false
	}
	peer, ok := r.c.o.Peers.Choose(r.instance.Service, r.asked)
	if !ok {
		return false
	}
	r.asked = append(r.asked, peer)
	r.running++
	go func() { r.outcomes <- r.c.viaPeer(r.ctx, peer, r.instance) }()
	return true
}

// mayAsk reports whether another host may be asked after so many, some of which have failed.
func mayAsk(asked int, failures []PeerFailure) bool {
	partitioned := 0
	for _, f := range failures {
		if f.Partitioned {
			partitioned++
		}
	}
	return asked-partitioned < maxPeersAsked && partitioned < maxPartitionedAsked
}

// viaPeer asks one host, and records its reply.
func (c *Connector[C]) viaPeer(ctx context.Context, peer state.Peer, i *state.Instance) attempt[C] {
	conn, reply, replied, err := c.o.Dialer.ViaPeer(ctx, peer, i)
	switch {
	case replied:
		c.o.Peers.Replied(peer.Addr, i.Service, reply)
	case ctx.Err() == nil:
		c.o.Peers.Failed(peer.Addr)
	}
	if err == nil {
		c.o.Tracker.PeerConnected(i, peer.Addr)
	}
	return attempt[C]{conn: conn, peer: peer, failure: PeerFailure{Peer: peer.Addr, Evidence: reply.Evidence, Partitioned: reply.Partitioned}, err: err}
}

// ConnectViaPeer makes a connection through another host, whatever is believed of the direct path. The error
// is a *NoPathError with the findings of the hosts that were asked; one that isn't partitioned and doesn't reach
// the runner suffices.
func (c *Connector[C]) ConnectViaPeer(ctx context.Context, i *state.Instance) (C, error) {
	var none C
	err := &NoPathError{Instance: i.ID, Alone: !c.o.Peers.Others()}
	var asked []state.Peer
	for mayAsk(len(asked), err.Peers) && ctx.Err() == nil {
		peer, ok := c.o.Peers.Choose(i.Service, asked)
		if !ok {
			break
		}
		asked = append(asked, peer)
		a := c.viaPeer(ctx, peer, i)
		if a.err == nil {
			return a.conn, nil
		}
		err.Peers = append(err.Peers, a.failure)
		if err.RunnerSilent() {
			break
		}
	}
	return none, err
}

// ReachedByOthers reports whether any of a few further hosts connects to a runner that refuses this host and those in
// asked: the hosts that were asked first may have lost the path to the same runner. It is true as well if ctx ends before
// they have replied.
func (c *Connector[C]) ReachedByOthers(ctx context.Context, i *state.Instance, asked []PeerFailure) bool {
	var tried []state.Peer
	for _, h := range c.o.Peers.o.Hosts() {
		if slices.ContainsFunc(asked, func(f PeerFailure) bool { return f.Peer == h.Addr }) {
			tried = append(tried, h)
		}
	}
	outcomes := make(chan attempt[C], maxConfirmations)
	r := &race[C]{outcomes: outcomes}
	defer r.abandon()
	for r.running < maxConfirmations {
		peer, ok := c.o.Peers.Choose(i.Service, tried)
		if !ok {
			break
		}
		tried = append(tried, peer)
		r.running++
		go func() { outcomes <- c.viaPeer(ctx, peer, i) }()
	}
	for r.running > 0 {
		select {
		case a := <-outcomes:
			r.running--
			if a.err == nil {
				_ = a.conn.Close()
				return true
			}
		case <-ctx.Done():
			return true
		}
	}
	return false
}

// ConnectDirect makes a connection over this host's own link, whatever is believed of it, and records
// nothing. The evidence of an error is "" if it says nothing of the link.
func (c *Connector[C]) ConnectDirect(ctx context.Context, i *state.Instance) (C, Evidence, error) {
	return c.o.Dialer.Direct(ctx, i)
}

// abandon closes the connections of attempts that are still running when they succeed.
func (r *race[C]) abandon() {
	running, outcomes := r.running, r.outcomes
	if running == 0 {
		return
	}
	go func() {
		for range running {
			if a := <-outcomes; a.err == nil {
				_ = a.conn.Close()
			}
		}
	}()
}

// noPath returns why all paths failed, and records it if it says anything of them.
func (r *race[C]) noPath() error {
	if r.localErr != nil {
		return r.localErr
	}
	return r.c.o.Tracker.NoPath(r.instance, NoPathError{Peers: r.failures, Alone: !r.c.o.Peers.Others()})
}
