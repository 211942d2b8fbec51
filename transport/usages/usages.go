// Package usages carries request counts from hosts to collectors, and from collectors to the host
// that reports the usage.
package usages

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/usage"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// tally is a usage.Tally on the wire.
type tally struct {
	Run  string `msgpack:"r"`
	Addr string `msgpack:"a"`
	// ThroughUS is the true time up to which Windows are complete, in Unix microseconds.
	ThroughUS int64                        `msgpack:"t"`
	Windows   map[uint64]map[string]uint64 `msgpack:"w,omitempty"`
}

func encode(t usage.Tally) tally {
	out := tally{Run: t.Run, Addr: t.Addr, ThroughUS: t.Through.UnixMicro()}
	if len(t.Windows) > 0 {
		out.Windows = map[uint64]map[string]uint64{}
	}
	for w, counts := range t.Windows {
		out.Windows[uint64(w)] = counts
	}
	return out
}

func (t tally) decode() usage.Tally {
	out := usage.Tally{Run: t.Run, Addr: t.Addr, Through: time.UnixMicro(t.ThroughUS), Windows: map[usage.Window]usage.Counts{}}
	for w, counts := range t.Windows {
		out.Windows[usage.Window(w)] = counts
	}
	return out
}

func encodeAll(tallies []usage.Tally) []tally {
	out := make([]tally, 0, len(tallies))
	for _, t := range tallies {
		out = append(out, encode(t))
	}
	return out
}

func decodeAll(tallies []tally) []usage.Tally {
	out := make([]usage.Tally, 0, len(tallies))
	for _, t := range tallies {
		out = append(out, t.decode())
	}
	return out
}

// pushRequest is a usage.PushRequest on the wire.
type pushRequest struct {
	Tally  tally   `msgpack:"t"`
	Others []tally `msgpack:"h,omitempty"`
	// OwnTimeUS is the time by the host's own clock, in Unix microseconds.
	OwnTimeUS int64 `msgpack:"o"`
}

// pushResponse is a usage.PushResponse on the wire; times are in Unix microseconds.
type pushResponse struct {
	Run       string `msgpack:"r"`
	OwnTimeUS int64  `msgpack:"o"`
	MedianUS  int64  `msgpack:"m"`
	Clocks    int    `msgpack:"n"`
}

// fetchRequest requests the tallies of a window.
type fetchRequest struct {
	Window uint64 `msgpack:"w"`
}

// fetchResponse holds the tallies of a window.
type fetchResponse struct {
	Tallies []tally `msgpack:"t"`
}

// Register makes s handle the hosts' pushes of counts by pusher, and fetches of a window's tallies by
// collector.
func Register(s *peer.Server, pusher *usage.Pusher, collector *usage.Collector) {
	s.Handle(peerapi.KindTellUsage, peer.HandleMsg(func(_ context.Context, _ state.HostID, req pushRequest) (pushResponse, error) {
		resp := pusher.HandlePush(usage.PushRequest{Tally: req.Tally.decode(), Others: decodeAll(req.Others), OwnTime: time.UnixMicro(req.OwnTimeUS)})
		return pushResponse{Run: resp.Run, OwnTimeUS: resp.OwnTime.UnixMicro(), MedianUS: resp.Median.UnixMicro(), Clocks: resp.Clocks}, nil
	}))
	s.Handle(peerapi.KindAskUsage, peer.HandleMsg(func(_ context.Context, _ state.HostID, q fetchRequest) (fetchResponse, error) {
		return fetchResponse{encodeAll(collector.Tallies(usage.Window(q.Window)))}, nil
	}))
}

// Peers implements usage.Peers over calls between hosts.
type Peers struct{ Client *peer.Client }

var _ usage.Peers = Peers{}

// Push implements usage.Peers.
func (p Peers) Push(ctx context.Context, addr string, req usage.PushRequest) (usage.PushResponse, error) {
	resp, err := peer.CallMsg[pushRequest, pushResponse](ctx, p.Client, addr, peerapi.KindTellUsage, pushRequest{Tally: encode(req.Tally), Others: encodeAll(req.Others), OwnTimeUS: req.OwnTime.UnixMicro()})
	if err != nil {
		return usage.PushResponse{}, err
	}
	return usage.PushResponse{Run: resp.Run, OwnTime: time.UnixMicro(resp.OwnTimeUS), Median: time.UnixMicro(resp.MedianUS), Clocks: resp.Clocks}, nil
}

// Fetch implements usage.Peers.
func (p Peers) Fetch(ctx context.Context, addr string, w usage.Window) ([]usage.Tally, error) {
	resp, err := peer.CallMsg[fetchRequest, fetchResponse](ctx, p.Client, addr, peerapi.KindAskUsage, fetchRequest{uint64(w)})
	if err != nil {
		return nil, err
	}
	return decodeAll(resp.Tallies), nil
}
