// Package quotas carries the calls of package quota between hosts: requests for units of a
// customer's quota, charges and refunds.
package quotas

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/thymerack/thymerack/coordination/quota"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// request is a quota.Request on the wire.
type request struct {
	Customer string  `msgpack:"c"`
	Units    float64 `msgpack:"u"`
	Rate     float64 `msgpack:"r"`
	Capacity float64 `msgpack:"b"`
	Version  uint64  `msgpack:"v"`
}

// verdict is a quota.Verdict on the wire. WaitMS is in milliseconds.
type verdict struct {
	Granted bool    `msgpack:"g,omitempty"`
	WaitMS  float64 `msgpack:"w,omitempty"`
}

// done is the empty response to a charge or refund.
type done struct{}

// errRange reports a request with values out of range, as sent by a host of another version.
var errRange = errors.New("quotas: a request's units, rate or capacity is out of range; run the same version on all hosts")

func encode(req quota.Request) request {
	return request{req.Customer, req.Units, req.Limit.Rate, req.Limit.Capacity, req.Limit.Version}
}

func (m request) decode() (quota.Request, error) {
	for _, x := range []float64{m.Units, m.Rate, m.Capacity} {
		if !(x >= 0) || math.IsInf(x, 1) {
			return quota.Request{}, errRange
		}
	}
	if m.Rate == 0 {
		return quota.Request{}, errRange
	}
	return quota.Request{Customer: m.Customer, Units: m.Units, Limit: quota.Limit{Rate: m.Rate, Capacity: m.Capacity, Version: m.Version}}, nil
}

// Register makes s answer peers from the ledger of this host.
func Register(s *peer.Server, ledger *quota.Ledger) {
	s.Handle(peerapi.KindQuotaTake, peer.HandleMsg(func(_ context.Context, _ state.HostID, m request) (verdict, error) {
		req, err := m.decode()
		if err != nil {
			return verdict{}, err
		}
		v := ledger.Take(req)
		return verdict{v.Granted, state.InMillis(v.Wait)}, nil
	}))
	adjust := func(apply func(quota.Request)) peer.Handler {
		return peer.HandleMsg(func(_ context.Context, _ state.HostID, m request) (done, error) {
			req, err := m.decode()
			if err == nil {
				apply(req)
			}
			return done{}, err
		})
	}
	s.Handle(peerapi.KindQuotaCharge, adjust(ledger.Charge))
	s.Handle(peerapi.KindQuotaRefund, adjust(ledger.Refund))
}

// Peers implements quota.Peers over calls between hosts.
type Peers struct{ Client *peer.Client }

var _ quota.Peers = Peers{}

// Take implements quota.Peers.
func (p Peers) Take(ctx context.Context, addr string, req quota.Request) (quota.Verdict, error) {
	v, err := peer.CallMsg[request, verdict](ctx, p.Client, addr, peerapi.KindQuotaTake, encode(req))
	wait := max(0, min(v.WaitMS, state.InMillis(time.Hour)))
	return quota.Verdict{Granted: v.Granted, Wait: state.Millis(wait)}, err
}

// Charge implements quota.Peers.
func (p Peers) Charge(ctx context.Context, addr string, req quota.Request) error {
	_, err := peer.CallMsg[request, done](ctx, p.Client, addr, peerapi.KindQuotaCharge, encode(req))
	return err
}

// Refund implements quota.Peers.
func (p Peers) Refund(ctx context.Context, addr string, req quota.Request) error {
	_, err := peer.CallMsg[request, done](ctx, p.Client, addr, peerapi.KindQuotaRefund, encode(req))
	return err
}
