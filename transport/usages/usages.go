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

// Register makes s handle the hosts' pushes of counts by t, and fetches of a window's tallies by c.
func Register(s *peer.Server, t *usage.Pusher, c *usage.Collector) {
	s.Handle(peerapi.KindTellUsage, peer.HandleMsg(func(_ context.Context, _ state.HostID, m pushRequest) (pushResponse, error) {
		h := t.HandlePush(usage.PushRequest{Tally: m.Tally.decode(), Others: decodeAll(m.Others), OwnTime: time.UnixMicro(m.OwnTimeUS)})
		return pushResponse{Run: h.Run, OwnTimeUS: h.OwnTime.UnixMicro(), MedianUS: h.Median.UnixMicro(), Clocks: h.Clocks}, nil
	}))
	s.Handle(peerapi.KindAskUsage, peer.HandleMsg(func(_ context.Context, _ state.HostID, q fetchRequest) (fetchResponse, error) {
		return fetchResponse{encodeAll(c.Tallies(usage.Window(q.Window)))}, nil
	}))
}

// Peers implements usage.Peers over calls between hosts.
type Peers struct{ Client *peer.Client }

var _ usage.Peers = Peers{}

// Push implements usage.Peers.
func (p Peers) Push(ctx context.Context, addr string, t usage.PushRequest) (usage.PushResponse, error) {
	h, err := peer.CallMsg[pushRequest, pushResponse](ctx, p.Client, addr, peerapi.KindTellUsage, pushRequest{Tally: encode(t.Tally), Others: encodeAll(t.Others), OwnTimeUS: t.OwnTime.UnixMicro()})
	if err != nil {
		return usage.PushResponse{}, err
	}
	return usage.PushResponse{Run: h.Run, OwnTime: time.UnixMicro(h.OwnTimeUS), Median: time.UnixMicro(h.MedianUS), Clocks: h.Clocks}, nil
}

// Fetch implements usage.Peers.
func (p Peers) Fetch(ctx context.Context, addr string, w usage.Window) ([]usage.Tally, error) {
	a, err := peer.CallMsg[fetchRequest, fetchResponse](ctx, p.Client, addr, peerapi.KindAskUsage, fetchRequest{uint64(w)})
	if err != nil {
		return nil, err
	}
	return decodeAll(a.Tallies), nil
}
