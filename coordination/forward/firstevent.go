package forward

import (
	"context"
	"sync"
	"time"
)

const (
	// initialDelay is assumed before the first observation: some steps of a batch (0.5 to 5 ms
	// each) and the transfer of a prompt's KV cache.
	initialDelay = 30 * time.Millisecond
	// delayGain is the weight of an observation in the mean delay and the mean deviation.
	delayGain = 0.05
	// delayDeviations is how many mean deviations above the mean the first event may arrive. If
	// deviations are distributed exponentially, one in fifty is larger.
	delayDeviations = 4
	// delaySlack covers delays that the mean doesn't predict: a host that is paused for some tens
	// of milliseconds, a packet that is sent again.
	delaySlack = 60 * time.Millisecond
)

// firstEventDelays estimates, for each service, the time from the end of a separate prefill to
// the first event, in which the KV cache is transferred and the first token computed. The zero
// value is ready to use.
type firstEventDelays struct {
	mu        sync.Mutex
	byService map[string]delayEstimate
}

// delayEstimate is the moving mean of a service's delay and of its absolute deviation from that.
type delayEstimate struct{ mean, deviation time.Duration }

// observe adds the delay of a first event.
func (f *firstEventDelays) observe(service string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byService == nil {
		f.byService = map[string]delayEstimate{}
	}
	old := f.estimate(service)
	diff := took - old.mean
	f.byService[service] = delayEstimate{
		mean:      old.mean + time.Duration(delayGain*float64(diff)),
		deviation: old.deviation + time.Duration(delayGain*float64(max(diff, -diff)-old.deviation)),
	}
}

// estimate returns the estimate of a service. f.mu must be held.
func (f *firstEventDelays) estimate(service string) delayEstimate {
	if known, ok := f.byService[service]; ok {
		return known
	}
	return delayEstimate{initialDelay, initialDelay}
}

// mean returns the mean delay of a service.
func (f *firstEventDelays) mean(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.estimate(service).mean
}

// timeout returns the delay after which the first event is overdue.
func (f *firstEventDelays) timeout(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.estimate(service)
	return e.mean + delayDeviations*e.deviation + delaySlack
}

// firstEventWatch watches an attempt whose first event may be overdue. If its engine doesn't answer probes, the request
// is sent to another engine, if the budget allows it, and the first of both to bring an event answers it. An engine that
// is only busy is waited for: the request's position in its queue is better than a new one elsewhere.
type firstEventWatch struct {
	// cancel ends the attempt, and stop the watch.
	cancel, stop context.CancelFunc
	// done is closed once the watch has ended; nil if there is none. rec is its own until then.
	done      chan struct{}
	rec       *record
	takeovers takeovers
	// other is the answer that has taken the place of the attempt. The lock of takeovers guards it.
	other *Answer
}

// watchFirstEvent starts to watch for the first event of an attempt that continues from source. An attempt that can't be
// retried, or whose delay can't be estimated because it has no separate prefill, isn't watched: it may take until the
// request's deadline.
func (d *Dispatcher) watchFirstEvent(ctx context.Context, a *Attempt, rec *record, source *KVSource) (context.Context, *firstEventWatch) {
	r := a.Request
	if a.Source == nil || !r.Route.Repeatable() || rec.attempts+1 >= r.Route.MaxAttempts {
		return ctx, &firstEventWatch{cancel: func() {}, stop: func() {}}
	}
	f := &firstEventWatch{done: make(chan struct{})}
	requestCtx := ctx
	ctx, f.cancel = context.WithCancel(ctx)
	watch, stop := context.WithCancel(ctx)
	f.stop = stop
	counted := *rec
	counted.countAttempt()
	f.rec = counted.fork()
	go func() {
		defer close(f.done)
		f.watch(watch, requestCtx, d, a, source)
	}()
	return ctx, f
}

// watch sends the request to another engine once its first event is overdue, its engine doesn't answer a probe and has had the
// request for longer than a sound engine may be silent.
func (f *firstEventWatch) watch(ctx, requestCtx context.Context, d *Dispatcher, a *Attempt, source *KVSource) {
	r, kept, began := a.Request, false, d.o.Clock.Now()
	for timeout := d.firstEvents.timeout(r.Service); d.o.Clock.Sleep(ctx, timeout) == nil; timeout = max(timeout, checkInterval) {
		if d.alive(ctx, a.Instance) || ctx.Err() != nil || d.o.Clock.Now().Sub(began) < soundSilence {
			continue
		}
		if f.replace(ctx, requestCtx, d, r, source) {
			d.o.Observer.SilentRun(r.Service, SilentRunReplaced)
			d.o.Log.Info("attempt at a silent engine replaced", "request_id", r.ID, "instance", a.Instance.ID, "by", f.other.Stream.a.Instance.ID)
			f.cancel()
			return
		}
		if !kept && ctx.Err() == nil {
			kept = true
			d.o.Observer.SilentRun(r.Service, SilentRunKept)
			d.o.Log.Info("attempt at a silent engine kept", "request_id", r.ID, "instance", a.Instance.ID, "sendings", f.rec.LogValue())
		}
	}
}

// replace sends the request to other engines, and reports whether the answer of one has taken the place of the attempt.
func (f *firstEventWatch) replace(ctx, requestCtx context.Context, d *Dispatcher, r *Request, source *KVSource) bool {
	// The answer outlives the watch if it takes the place of the attempt.
	requestCtx, cancel := context.WithCancel(requestCtx)
	unlink := context.AfterFunc(ctx, cancel)
	takeoverCtx, t := f.takeovers.begin(requestCtx, func() bool { return true })
	var answer *Answer
	if d.takeRetry(r, f.rec) {
		answer, _ = d.tryRunners(takeoverCtx, r, f.rec, source, choice{})
	}
	ready := unlink() && answer != nil && answer.Stream != nil
	if f.takeovers.end(t, ready, func() { f.other = answer }) {
		if inner := answer.Stream.release; inner != nil {
			cancel = joinCancels(inner, cancel)
		}
		answer.Stream.release = cancel
		return true
	}
	if answer != nil && answer.Stream != nil {
		answer.Stream.closeRun()
		f.rec.addStep(answer.Stream.a.Instance, "run", outcomeAborted, d.o.Clock.Now().Sub(answer.Stream.started), takeoverCtx.Err())
	}
	cancel()
	return false
}

// finish ends the watch once the attempt has brought its first event, or has ended without one. It returns the answer
// that has taken the place of the attempt, waiting for a takeover in progress if there would be no answer without it;
// nil if there is none.
func (f *firstEventWatch) finish(rec *record, begun bool) *Answer {
	if f.done == nil {
		return nil
	}
	if begun {
		f.takeovers.goOn(func() bool { return true })
	} else {
		f.takeovers.await()
	}
	f.stop()
	<-f.done
	rec.merge(f.rec, f.other != nil)
	if f.other != nil {
		f.other.Stream.rec = rec
	}
	return f.other
}
