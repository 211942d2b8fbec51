package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// initialDelay is assumed before anything is known: some steps of a batch (0.5 to 5 ms
	// each) and the moving of a prompt's memory.
	initialDelay = 30 * time.Millisecond
	// delayGain is the weight of a stream in the mean lead and its mean error.
	delayGain = 0.05
	// delayDeviations is how many mean errors a first event may take longer than the mean: of
	// errors that fall off exponentially one in fifty is larger.
	delayDeviations = 4
	// delaySlack covers what the mean knows nothing of: a host that stands still for some
	// tens of milliseconds, a packet that is sent again.
	delaySlack = 60 * time.Millisecond
)

// firstEventDelays learns, for each service, the time from the end of a prompt's reading to the
// first event: memory is moved and a first step done. The zero value is ready.
type firstEventDelays struct {
	mu        sync.Mutex
	byService map[string]delayEstimate
}

// delayEstimate is the mean time of a service, and the mean error of that.
type delayEstimate struct{ mean, deviation time.Duration }

// observe takes the time to a first event into account.
func (l *firstEventDelays) observe(service string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byService == nil {
		l.byService = map[string]delayEstimate{}
	}
	old := l.estimate(service)
	diff := took - old.mean
	l.byService[service] = delayEstimate{
		mean:      old.mean + time.Duration(delayGain*float64(diff)),
		deviation: old.deviation + time.Duration(delayGain*float64(max(diff, -diff)-old.deviation)),
	}
}

// estimate is what is known of a service; l.mu is held.
func (l *firstEventDelays) estimate(service string) delayEstimate {
	if known, ok := l.byService[service]; ok {
		return known
	}
	return delayEstimate{initialDelay, initialDelay}
}

// mean is the mean lead mean a service.
func (l *firstEventDelays) mean(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(service).mean
}

// timeout is how long a first event takes at timeout, as far as is foreseen.
func (l *firstEventDelays) timeout(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.estimate(service)
	return e.mean + delayDeviations*e.deviation + delaySlack
}

// firstEventWatch ends the wait for the first event of an attempt at an engine that is dark, so
// that the request can be sent to another. One that is only busy is waited for: its place
// in the queue is worth more than a new one elsewhere.
type firstEventWatch struct {
	cancel context.CancelFunc
	// stop ends the watch.
	stop     context.CancelFunc
	timedOut atomic.Bool
}

// watchFirstEvent begins to watch for the first event. An attempt that can't be repeated, or
// whose time isn't foreseen, is waited for as long as its caller does.
func (d *Dispatcher) watchFirstEvent(ctx context.Context, a *Attempt, rec *record) (context.Context, *firstEventWatch) {
	r := a.Request
	if a.Source == nil || !r.Route.Repeatable() || rec.attempts+1 >= r.Route.MaxAttempts {
		return ctx, &firstEventWatch{cancel: func() {}, stop: func() {}}
	}
	f := &firstEventWatch{}
	var watch context.Context
	ctx, f.cancel = context.WithCancel(ctx)
	watch, f.stop = context.WithCancel(ctx)
	timeout := d.firstEvents.timeout(r.Service)
	go func() {
		for d.o.Clock.Sleep(watch, timeout) == nil {
			if !d.alive(watch, a.Instance) && watch.Err() == nil {
				f.timedOut.Store(true)
				f.cancel()
			}
			timeout = max(timeout, lookEvery)
		}
	}()
	return ctx, f
}
