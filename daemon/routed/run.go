package routed

import (
	"context"
	"runtime/debug"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/transport/connleases"
	"github.com/thymerack/thymerack/transport/gateway"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// Run serves until stop is done, then shuts down gracefully: the host is unready at once, answers
// every request and returns before the grace period ends. It returns an error if a port can't be
// opened.
func (h *Host) Run(stop context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(h.settings.Limits.MemoryBytes)))
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	h.log.Info("started", "callers", h.settings.CallerAddr, "failure_domain", h.settings.FailureDomain, "memory_bytes", h.settings.Limits.MemoryBytes)
	workCtx, endWork := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() {
		h.members.Join(workCtx)
		h.fanout.Run(workCtx)
	})
	group.Go(func() { h.instances.Run(workCtx) })
	group.Go(func() { h.members.Run(workCtx) })
	group.Go(func() { h.monitor.Run(workCtx) })
	group.Go(func() { h.quarantine.Run(workCtx) })
	group.Go(func() { h.versions.Run(workCtx) })
	group.Go(func() { h.pool.CheckLinks(workCtx) })
	group.Go(func() { h.applyLoad(workCtx) })
	group.Go(func() { h.conns.Run(workCtx, connleases.Peers{Client: h.peers}) })
	group.Go(func() { wallclock.Watch(workCtx) })
	if h.pusher != nil {
		group.Go(func() { h.pusher.Run(workCtx) })
	}
	dutiesCtx, endDuties := context.WithCancel(workCtx)
	group.Go(func() {
		if err := h.lease.Run(dutiesCtx, h.runDuties); err != nil {
			h.log.Error("duties ended", "cause", err.Error())
		}
	})
	h.serve(workCtx, listeners)
	<-stop.Done()
	endDuties()
	h.drain(workCtx)
	endWork()
	h.stopDetectors()
	h.peers.Close()
	listeners.close()
	group.Wait()
	h.log.Info("stopped")
	return nil
}

// drain keeps serving until the load balancer has stopped sending connections and every request
// is answered, or until shortly before the end of the grace period.
func (h *Host) drain(ctx context.Context) {
	h.log.Info("leaving", "grace", h.settings.Bounds.Grace)
	h.ready.setLeaving()
	h.fanout.Leave()
	h.tunnels.Leave()
	began := h.clock.Now()
	end := h.settings.Bounds.Grace - graceMargin
	h.gateway.Leave(gateway.Departure{TurnedAway: began.Add(balancerRemovalDelay), End: began.Add(end)})
	d := drainer{
		clock: h.clock, timeout: end, active: func() int64 { return h.gateway.Active() + int64(h.tunnels.Busy()) }, closeUnused: h.gateway.CloseUnused,
		flush:     func() { h.flushUsage(ctx) },
		refuseNew: func() { h.gateway.Leave(gateway.Departure{TurnedAway: h.clock.Now(), End: h.clock.Now()}) },
	}
	waited := d.wait()
	h.log.Info("left", "waited", waited, "open", h.gateway.Active())
	// What is still under way gets its final answer now: the end of the process would cut it.
	if err := h.gateway.Close(); err != nil {
		h.log.Warn("callers' connections were open at the end", "open", h.gateway.Active(), "cause", err.Error())
	}
}

// flushUsage pushes the final usage counts of this host to collectors.
func (h *Host) flushUsage(ctx context.Context) {
	if h.pusher == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, graceMargin/2)
	defer cancel()
	h.pusher.Flush(ctx)
}
