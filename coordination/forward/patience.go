package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

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
	ctx    context.Context
	cancel context.CancelFunc
	looks  conc.WaitGroup
	// unsure is set once the owner knew nothing of the reading.
	unsure bool
	// dark is set if the engine ended nothing for too long.
	dark atomic.Bool
}

// patience begins the wait for a reading. It is to be ended.
func (d *Dispatcher) patience(ctx context.Context, r *Request, t turn) (context.Context, *patience) {
	ctx, cancel := context.WithCancel(ctx)
	p := &patience{d: d, r: r, t: t, cancel: cancel, ctx: ctx}
	p.looks.Go(p.run)
	return ctx, p
}

// run looks after the reading until the wait is over.
func (p *patience) run() {
	next := p.d.prefillTimeLeft(p.r)
	if f := p.t.forecast; f.Reliable {
		next = min(next, expected(f))
	}
	for {
		pause := min(max(next, 0), lookEvery)
		if p.d.o.Clock.Sleep(p.ctx, pause) != nil {
			return
		}
		next -= pause
		if p.t.runner.Unresponsive(p.d.o.Clock.Now()) {
			p.dark.Store(true)
			p.cancel()
			return
		}
		if next > 0 {
			continue
		}
		left := p.d.prefillTimeLeft(p.r)
		if left <= 0 || !p.progresses() {
			p.cancel()
			return
		}
		next = min(left, lookEvery)
	}
}

// progresses reports whether the reading may still end. What an owner that was lost
// can't tell is taken for granted once.
func (p *patience) progresses() bool {
	_, progress := p.t.place.Remaining(p.ctx)
	switch progress {
	case backlog.InProgress:
		return true
	case backlog.Unknown:
		before := p.unsure
		p.unsure = true
		return !before
	default:
		p.dark.Store(true)
		return false
	}
}

// expected is how long a reading takes at most, as far as is foreseen.
func expected(f backlog.Forecast) time.Duration {
	return f.Finish + time.Duration(patienceErrors*f.Error*float64(f.Finish)) + patienceSlack
}

// end ends the wait.
func (p *patience) end() {
	p.cancel()
	p.looks.Wait()
}
