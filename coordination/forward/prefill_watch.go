package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/backlog"
)

const (
	// overdueErrors is the number of mean prediction errors by which a prefill may exceed its
	// forecast before its progress is checked: with exponentially distributed errors, one in
	// twenty is larger.
	overdueErrors = 3
	// overdueSlack covers delays that no forecast includes, such as a host that is paused for a
	// tenth of a second or a retransmitted packet.
	overdueSlack = 200 * time.Millisecond
	// checkInterval is the longest time between two checks of an engine's availability during a
	// prefill and between two checks of an overdue prefill's progress, and the shortest between
	// two probes of an engine whose first event is overdue.
	checkInterval = 250 * time.Millisecond
)

// prefillWatch cancels a prefill whose engine makes no progress, and any prefill while there is
// still time to send its caller a refusal.
type prefillWatch struct {
	d           *Dispatcher
	r           *Request
	reservation reservation
	ctx         context.Context
	cancel      context.CancelFunc
	wg          conc.WaitGroup
	// unknownBefore is set once the owner didn't know of the prefill.
	unknownBefore bool
	// unavailable is set if other hosts report the engine as silent, or if it has completed
	// nothing for too long.
	unavailable atomic.Bool
}

// watchPrefill starts to watch a prefill, which must run with the returned context. The caller
// must call stop.
func (d *Dispatcher) watchPrefill(ctx context.Context, r *Request, res reservation) (context.Context, *prefillWatch) {
	ctx, cancel := context.WithCancel(ctx)
	p := &prefillWatch{d: d, r: r, reservation: res, cancel: cancel, ctx: ctx}
	p.wg.Go(p.run)
	return ctx, p
}

// run checks the prefill until it is cancelled or has ended.
func (p *prefillWatch) run() {
	next := p.d.prefillTimeLeft(p.r)
	if f := p.reservation.forecast; f.Reliable {
		next = min(next, overdueAfter(f))
	}
	for {
		pause := min(max(next, 0), checkInterval)
		if p.d.o.Clock.Sleep(p.ctx, pause) != nil {
			return
		}
		next -= pause
		if p.reservation.runner.Unresponsive(p.d.o.Clock.Now()) {
			p.unavailable.Store(true)
			p.cancel()
			return
		}
		if next > 0 {
			continue
		}
		left := p.d.prefillTimeLeft(p.r)
		if left <= 0 || !p.makesProgress() {
			p.cancel()
			return
		}
		next = min(left, checkInterval)
	}
}

// makesProgress reports whether the prefill may still complete. An owner that doesn't know of
// the prefill, as after the former owner was lost, is taken to report progress once.
func (p *prefillWatch) makesProgress() bool {
	_, progress := p.reservation.place.Remaining(p.ctx)
	switch progress {
	case backlog.InProgress:
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

// overdueAfter is the time from which a prefill with this forecast is overdue.
func overdueAfter(f backlog.Forecast) time.Duration {
	return f.Finish + time.Duration(overdueErrors*f.Error*float64(f.Finish)) + overdueSlack
}

// stop ends the watch and waits for its goroutine.
func (p *prefillWatch) stop() {
	p.cancel()
	p.wg.Wait()
}
