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

// tell brings a notice to the hosts that are reached.
func (h *advisedHost) tell(n backpressure.Notice) {
	f := h.f
	f.notices.Add(1)
	time.AfterFunc(noticeDelay, func() {
		f.mu.Lock()
		var reached []*advisedHost
		for _, to := range f.hosts {
			if !to.gone && !h.gone && to.island == h.island {
				reached = append(reached, to)
			}
		}
		f.mu.Unlock()
		for _, to := range reached {
			to.advice.Take(n)
		}
	})
}

// listedHosts is the list of hosts, which doesn't know who is gone or cut off.
func (f *advisedFleet) listedHosts() []state.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers
}

// peerTime is the way to another host.
const peerTime = time.Millisecond

// advisedPeers is a host's way to the others.
type advisedPeers struct{ h *advisedHost }

var _ occupancy.Peers = advisedPeers{}

var errNotReached = errors.New("the host isn't reached")

// reach is the host at an address after the way there, or an error when the caller has waited
// long enough for one that isn't reached.
func (p advisedPeers) reach(ctx context.Context, addr string) (*advisedHost, error) {
	time.Sleep(peerTime)
	f := p.h.f
	f.mu.Lock()
	var to *advisedHost
	for _, h := range f.hosts {
		if h.name == addr && !h.gone && h.island == p.h.island {
			to = h
		}
	}
	f.mu.Unlock()
	if to == nil {
		<-ctx.Done()
		return nil, errNotReached
	}
	return to, nil
}

// Enter implements occupancy.Peers.
func (p advisedPeers) Enter(ctx context.Context, addr string, a occupancy.Request) (occupancy.Response, error) {
	to, err := p.reach(ctx, addr)
	if err != nil {
		return occupancy.Response{}, err
	}
	defer time.Sleep(peerTime)
	return to.book.Enter(a), nil
}

// Remaining implements occupancy.Peers.
func (p advisedPeers) Remaining(ctx context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error) {
	to, err := p.reach(ctx, addr)
	if err != nil {
		return backlog.Forecast{}, backlog.Unknown, err
	}
	forecast, progress := to.book.Remaining(engine, id)
	return forecast, progress, nil
}

// Leave implements occupancy.Peers.
func (p advisedPeers) Leave(ctx context.Context, addr string, engine state.InstanceID, id uint64, done bool) error {
	to, err := p.reach(ctx, addr)
	if err != nil {
		return err
	}
	to.book.Leave(engine, id, done)
	return nil
}

// Permit implements occupancy.Peers.
func (p advisedPeers) Permit(ctx context.Context, addr string, a occupancy.PermitRequest) (occupancy.Permit, error) {
	to, err := p.reach(ctx, addr)
	if err != nil {
		return occupancy.Permit{}, err
	}
	defer time.Sleep(peerTime)
	p.h.f.asks.Add(1)
	return to.gate.Grant(a), nil
}
