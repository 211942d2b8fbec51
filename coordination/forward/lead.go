package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstLead is assumed before anything is known: some steps of a batch (0.5 to 5 ms
	// each) and the moving of a prompt's memory.
	firstLead = 30 * time.Millisecond
	// leadGain is the weight of a stream in the mean lead and its mean error.
	leadGain = 0.05
	// leadErrors is how many mean errors a first event may take longer than the mean: of
	// errors that fall off exponentially one in fifty is larger.
	leadErrors = 4
	// leadSlack covers what the mean knows nothing of: a host that stands still for some
	// tens of milliseconds, a packet that is sent again.
	leadSlack = 60 * time.Millisecond
)

// leads learns, for each service, the time from the end of a prompt's reading to the
// first event: memory is moved and a first step done. The zero value is ready.
type leads struct {
	mu   sync.Mutex
	seen map[string]lead
}

// lead is the mean time of a service, and the mean error of that.
type lead struct{ mean, err time.Duration }

// note takes the time to a first event into account.
func (l *leads) note(service string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[string]lead{}
	}
	was := l.get(service)
	off := took - was.mean
	l.seen[service] = lead{
		mean: was.mean + time.Duration(leadGain*float64(off)),
		err:  was.err + time.Duration(leadGain*float64(max(off, -off)-was.err)),
	}
}

// get is what is known of a service; l.mu is held.
func (l *leads) get(service string) lead {
	if known, ok := l.seen[service]; ok {
		return known
	}
	return lead{firstLead, firstLead}
}

// of is the mean lead of a service.
func (l *leads) of(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.get(service).mean
}

// most is how long a first event takes at most, as far as is foreseen.
func (l *leads) most(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.get(service)
	return known.mean + leadErrors*known.err + leadSlack
}

// firstEvent ends the wait for the first event of an attempt at an engine that is dark, so
// that the request can be sent to another. One that is only busy is waited for: its place
// in the queue is worth more than a new one elsewhere.
type firstEvent struct {
	cancel context.CancelFunc
	// arrived ends the watch.
	arrived context.CancelFunc
	late    atomic.Bool
}

// awaitFirst begins to watch for the first event. An attempt that can't be repeated, or
// whose time isn't foreseen, is waited for as long as its caller does.
func (d *Dispatcher) awaitFirst(ctx context.Context, a *Attempt, rec *record) (context.Context, *firstEvent) {
	r := a.Request
	if a.Source == nil || !r.Route.Repeatable() || rec.sends+1 >= r.Route.MaxAttempts {
		return ctx, &firstEvent{cancel: func() {}, arrived: func() {}}
	}
	f := &firstEvent{}
	var watch context.Context
	ctx, f.cancel = context.WithCancel(ctx)
	watch, f.arrived = context.WithCancel(ctx)
	most := d.leads.most(r.Service)
	go func() {
		for d.o.Clock.Sleep(watch, most) == nil {
			if !d.alive(watch, a.Instance) && watch.Err() == nil {
				f.late.Store(true)
				f.cancel()
			}
			most = max(most, checkInterval)
		}
	}()
	return ctx, f
}
