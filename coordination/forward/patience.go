package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/backlog"
)

const (
	// patienceErrors is how many mean errors a reading may take longer than predicted
	// before its engine is asked after: of errors that fall off exponentially one in
	// twenty is larger.
	patienceErrors = 3
	// patienceSlack covers what no prediction knows of: a host that is held up for a
	// tenth of a second, a packet that is sent again.
	patienceSlack = 200 * time.Millisecond
	// lookEvery is how often a reading that takes longer is asked after.
	lookEvery = 250 * time.Millisecond
)

// patience ends the wait for a reading at an engine that ends nothing, and any wait
// while the caller can still be told.
type patience struct {
	d      *Dispatcher
	r      *Request
	t      turn
	cancel context.CancelFunc
	ctx    context.Context
	// dark is set if the engine ended nothing for too long.
	dark atomic.Bool

	// unsure is set once the keeper knew nothing of the reading.
	unsure bool

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// patience begins the wait for a reading.
func (d *Dispatcher) patience(ctx context.Context, r *Request, t turn) (context.Context, *patience) {
	ctx, cancel := context.WithCancel(ctx)
	p := &patience{d: d, r: r, t: t, cancel: cancel, ctx: ctx}
	first := d.readLeft(r)
	if t.forecast.Known {
		first = min(first, wait(t.forecast.Finish, t.forecast.Error))
	}
	p.again(first)
	return ctx, p
}

// wait is how long a reading may take that is predicted to take so long.
func wait(predicted time.Duration, meanError float64) time.Duration {
	return predicted + time.Duration(patienceErrors*meanError*float64(predicted)) + patienceSlack
}

// again looks after the reading some time later.
func (p *patience) again(after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.timer = time.AfterFunc(max(after, 0), p.look)
	}
}

// look ends the wait if the caller is about to leave or if the engine is dark.
func (p *patience) look() {
	left := p.d.readLeft(p.r)
	if left <= 0 {
		p.cancel()
		return
	}
	_, progress := p.t.place.Remaining(p.ctx)
	switch {
	case progress == backlog.Underway:
		p.again(min(left, lookEvery))
	case progress == backlog.Unknown && !p.unsure:
		p.unsure = true
		p.again(min(left, wait(p.t.forecast.Finish, p.t.forecast.Error)))
	default:
		p.dark.Store(progress == backlog.Lost)
		p.cancel()
	}
}

// end ends the look after the reading.
func (p *patience) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
	p.cancel()
}
