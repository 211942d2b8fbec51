package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/backlog"
)

const (
	// overdueErrors is how many mean errors a reading may take longer than predicted
	// before its engine is asked after: of errors that fall off exponentially one in
	// twenty is larger.
	overdueErrors = 3
	// overdueSlack covers what no prediction knows of: a host that is held up for a
	// tenth of a second, a packet that is sent again.
	overdueSlack = 200 * time.Millisecond
	// checkInterval is how often a reading that takes longer is asked after.
	checkInterval = 250 * time.Millisecond
)

// prefillWatch ends the wait for a reading at an engine that ends nothing, and any wait
// while the caller can still be told.
type prefillWatch struct {
	d      *Dispatcher
	r      *Request
	t      reservation
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	// unknownBefore is set once the owner knew nothing of the reading.
	unknownBefore bool
	// unavailable is set if the engine ended nothing for too long.
	unavailable atomic.Bool
}

// watchPrefill begins the wait for a reading. It is to be ended.
func (d *Dispatcher) watchPrefill(ctx context.Context, r *Request, t reservation) (context.Context, *prefillWatch) {
	ctx, cancel := context.WithCancel(ctx)
	p := &prefillWatch{d: d, r: r, t: t, cancel: cancel, ctx: ctx}
	p.wg.Go(p.run)
	return ctx, p
}

// run looks after the reading until the wait is over.
func (p *prefillWatch) run() {
	next := p.d.readLeft(p.r)
	if f := p.t.forecast; f.Known {
		next = min(next, overdueAfter(f))
	}
	for {
		pause := min(max(next, 0), checkInterval)
		if p.d.o.Clock.Sleep(p.ctx, pause) != nil {
			return
		}
		next -= pause
		if p.t.runner.Silent(p.d.o.Clock.Now()) {
			p.unavailable.Store(true)
			p.cancel()
			return
		}
		if next > 0 {
			continue
		}
		left := p.d.readLeft(p.r)
		if left <= 0 || !p.makesProgress() {
			p.cancel()
			return
		}
		next = min(left, checkInterval)
	}
}

// makesProgress reports whether the reading may still end. What an owner that was lost
// can't tell is taken for granted once.
func (p *prefillWatch) makesProgress() bool {
	_, progress := p.t.place.Remaining(p.ctx)
	switch progress {
	case backlog.Underway:
		return true
	case backlog.Unknown:
		before := p.unknownBefore
		p.unknownBefore = true
		return !before
	default:
		p.unavailable.Store(true)
		return false
	}
}

// overdueAfter is how long a reading takes at most, as far as is foreseen.
func overdueAfter(f backlog.Forecast) time.Duration {
	return f.Finish + time.Duration(overdueErrors*f.Error*float64(f.Finish)) + overdueSlack
}

// stop ends the wait.
func (p *prefillWatch) stop() {
	p.cancel()
	p.wg.Wait()
}
