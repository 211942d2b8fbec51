package forward

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/state"
)

// broadcast delivers a notice to the hosts that are reachable.
func (h *simHost) broadcast(n backpressure.Notice) {
	f := h.f
	f.notices.Add(1)
	time.AfterFunc(noticeDelay, func() {
		f.mu.Lock()
		var reached []*simHost
		for _, to := range f.hosts {
			if !to.down && !h.down && to.partition == h.partition {
				reached = append(reached, to)
			}
		}
		f.mu.Unlock()
		for _, to := range reached {
			to.advice.HandleNotice(n)
		}
	})
}

// currentHosts is the list of hosts; it doesn't show which are down or partitioned.
func (f *simFleet) currentHosts() []state.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hostList
}

// peerDelay is the network delay between two hosts, one way.
const peerDelay = time.Millisecond

// simPeers connects a host to the others.
type simPeers struct{ h *simHost }

var _ occupancy.Peers = simPeers{}

var errHostUnreachable = errors.New("the host is unreachable")

// reach returns the host at an address after the network delay there. For an unreachable host
// it waits until ctx ends and returns an error.
func (p simPeers) reach(ctx context.Context, addr string) (*simHost, error) {
	time.Sleep(peerDelay)
	f := p.h.f
	f.mu.Lock()
	var to *simHost
	for _, h := range f.hosts {
		if h.name == addr && !h.down && h.partition == p.h.partition {
			to = h
		}
	}
	f.mu.Unlock()
	if to == nil {
		<-ctx.Done()
		return nil, errHostUnreachable
	}
	return to, nil
}

// Enter implements occupancy.Peers.
func (p simPeers) Enter(ctx context.Context, addr string, a occupancy.Request) (occupancy.Response, error) {
	to, err := p.reach(ctx, addr)
	if err != nil {
		return occupancy.Response{}, err
	}
	defer time.Sleep(peerDelay)
	return to.book.Enter(a), nil
}

// Remaining implements occupancy.Peers.
func (p simPeers) Remaining(ctx context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error) {
	to, err := p.reach(ctx, addr)
	if err != nil {
		return backlog.Forecast{}, backlog.Unknown, err
	}
	forecast, progress := to.book.Remaining(engine, id)
	return forecast, progress, nil
}

// Leave implements occupancy.Peers.
func (p simPeers) Leave(ctx context.Context, addr string, engine state.InstanceID, id uint64, done bool) error {
	to, err := p.reach(ctx, addr)
	if err != nil {
		return err
	}
	to.book.Leave(engine, id, done)
	return nil
}

// Permit implements occupancy.Peers.
func (p simPeers) Permit(ctx context.Context, addr string, a occupancy.PermitRequest) (occupancy.Permit, error) {
	to, err := p.reach(ctx, addr)
	if err != nil {
		return occupancy.Permit{}, err
	}
	defer time.Sleep(peerDelay)
	p.h.f.permitAsks.Add(1)
	return to.gate.Grant(a), nil
}
