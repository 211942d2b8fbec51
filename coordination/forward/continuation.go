package forward

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/eventstream"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// run is a run of a stream at one engine.
type run struct {
	attempt *Attempt
	runner  *placement.Runner
	resp    Response
	sent    *inFlight
	started time.Time
	// cancel releases the context of the attempt.
	cancel context.CancelFunc
	// first receives the bytes up to the first event; nil if they aren't read ahead.
	first chan firstRead
}

// firstRead is what was read of a run up to its first event, and the error that ended it.
type firstRead struct {
	bytes []byte
	err   error
}

// abort ends a run that isn't continued.
func (r *run) abort() {
	r.resp.Abort()
	r.cancel()
	r.sent.end()
}

// maxOverlap bounds the time for which two engines run a request, from the second one's acceptance on.
const maxOverlap = 200 * time.Millisecond

// awaitFirstEvent waits for the first event of a run that is read ahead, and for maxOverlap at most. It reports whether
// the run may take the place of another one: it has brought an event, has nothing left to send, or is late. A late one has
// been accepted by an engine that answers, which the other engine doesn't.
func (r *run) awaitFirstEvent(ctx context.Context, clock state.Clock) bool {
	timed, stop := context.WithCancel(ctx)
	defer stop()
	late := make(chan struct{})
	go func() {
		if clock.Sleep(timed, maxOverlap) == nil {
			close(late)
		}
	}()
	select {
	case <-ctx.Done():
		return false
	case <-late:
		return true
	case first := <-r.first:
		r.first <- first
		events, inside := scan(first.bytes)
		return events > 0 || (errors.Is(first.err, io.EOF) && !inside)
	}
}

// scan returns how many events end in the bytes, and whether they end inside another one.
func scan(bytes []byte) (events int, inside bool) {
	var scanner eventstream.Scanner
	for len(bytes) > 0 {
		n, _ := scanner.Next(bytes)
		bytes = bytes[n:]
	}
	return scanner.Events(), scanner.Inside()
}

// continuation finds an engine at which a stream goes on after an event that its caller has.
type continuation struct {
	d   *Dispatcher
	rec *record
	// from is the attempt whose run is continued, and lastID its last event.
	from   *Attempt
	lastID string
}

// elsewhere starts a run at another engine, if the request may be repeated; nil if none accepts it.
func (c continuation) elsewhere(ctx context.Context) *run {
	r := c.from.Request
	if c.lastID == "" {
		return nil
	}
	for c.d.checkDeadline(ctx, r, c.rec) == nil && c.d.takeRetry(r, c.rec) {
		chosen, err := c.d.pickRunner(ctx, r, c.rec, c.d.o.Clock.Now().Add(resumeWait))
		if err != nil {
			c.rec.addStep(c.from.Instance, "resume", outcomeUnsent, 0, err)
			return nil
		}
		if c.d.checkBeforeSend(ctx, r, c.rec) != nil {
			chosen.release()
			return nil
		}
		next := &Attempt{Request: r, Instance: chosen.Instance, LastEventID: c.lastID, Rank: chosen.rank(r, c.rec)}
		if started := c.start(ctx, next, chosen); started != nil {
			return started
		}
	}
	return nil
}

// fromCopy starts a run at an engine from a copy of the KV cache; nil if the engine doesn't accept it.
func (c continuation) fromCopy(ctx context.Context, at *state.Instance, source *KVSource) *run {
	runner := c.d.o.Placer.Runner(at.ID)
	if runner == nil {
		return nil
	}
	r := c.from.Request
	next := &Attempt{Request: r, Instance: at, Source: source, LastEventID: c.lastID, Backup: c.d.backupEngine(r, at, c.rec.tried)}
	return c.start(ctx, next, choice{Runner: runner})
}

// start sends an attempt that continues after the last event; nil if the runner doesn't accept it.
func (c continuation) start(ctx context.Context, a *Attempt, chosen choice) *run {
	d, rec, runner, sent := c.d, c.rec, chosen.Runner, chosen.begin()
	if !chosen.permitted && !d.acquirePermit(ctx, a.Instance, "resume", rec, resumeWait) {
		sent.end()
		return nil
	}
	rec.exclude(a.Instance)
	if !d.confirmRun(ctx, a, runner, rec) {
		sent.end()
		return nil
	}
	a.TimeLeft = d.timeLeft(a.Request)
	started := d.o.Clock.Now()
	runCtx, cancel := context.WithCancel(ctx)
	resp, err := d.send(runCtx, a, rec)
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		cancel()
		sent.end()
		d.noteSendError(ctx, a, runner, rec, "resume", took, err)
		return nil
	}
	rec.countAttempt()
	out := &run{attempt: a, runner: runner, resp: resp, sent: sent, started: started, cancel: cancel}
	head := resp.Head()
	if head.NotRun || !head.EventStream || !head.Signed || head.Status != statusOK {
		out.abort()
		d.noteRefusal(runner, head)
		rec.addStep(a.Instance, "resume", outcomeNotRun, took, &statusError{head.Status})
		return nil
	}
	sent.markAnswered()
	return out
}

// SilentRunOutcome is what became of a run whose engine was silent.
type SilentRunOutcome string

// The outcomes for runs of silent engines: another engine has taken the run, or none has and it is kept.
const (
	SilentRunReplaced SilentRunOutcome = "replaced"
	SilentRunKept     SilentRunOutcome = "kept"
)

// takeover is an attempt to replace a run whose engine is silent. The run is kept until the other one has brought an
// event: a sound engine may be silent for a moment, and nothing may be left if both are lost.
type takeover struct {
	cancel context.CancelFunc
	// done is closed at its end.
	done chan struct{}
}

// takeovers decides between a run and the one that is to replace it. At most one takeover is in progress.
type takeovers struct {
	mu sync.Mutex
	// current is the one in progress, or nil.
	current *takeover
	// replaced is set once the other run has taken the place of the first, whose further bytes don't count.
	replaced bool
}

// begin starts a takeover unless valid, called with the lock held, reports false. The returned context ends when the
// run goes on by itself.
func (t *takeovers) begin(ctx context.Context, valid func() bool) (context.Context, *takeover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !valid() {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	t.current = &takeover{cancel: cancel, done: make(chan struct{})}
	return ctx, t.current
}

// end ends a takeover. If it succeeded and the run hasn't gone on meanwhile, apply is called with the lock held.
func (t *takeovers) end(of *takeover, succeeded bool, apply func()) (replaced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if replaced = succeeded && t.current == of; replaced {
		t.replaced = true
		apply()
	}
	if t.current == of {
		t.current = nil
	}
	close(of.done)
	return replaced
}

// goOn is called when the run goes on: take accepts what it brought, and reports whether that ends a takeover in
// progress. It isn't called, and goOn reports false, if the run has been replaced.
func (t *takeovers) goOn(take func() bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.replaced {
		return false
	}
	if take() && t.current != nil {
		t.current.cancel()
		t.current = nil
	}
	return true
}

// await waits for the end of the takeover in progress, if there is one.
func (t *takeovers) await() {
	t.mu.Lock()
	current := t.current
	t.mu.Unlock()
	if current != nil {
		<-current.done
	}
}
