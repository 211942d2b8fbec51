// Package usages carries the counts of requests from hosts to collectors, and from those to
// the host that reports them.
package usages

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/usage"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// tally is a usage.Tally.
type tally struct {
	Run  string `msgpack:"r"`
	Addr string `msgpack:"a"`
	// ThroughUS is the true time through which the windows are whole, in Unix microseconds.
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

// told is a usage.Told.
type told struct {
	Tally  tally   `msgpack:"t"`
	Others []tally `msgpack:"h,omitempty"`
	// OwnUS is the host's own clock, in Unix microseconds.
	OwnUS int64 `msgpack:"o"`
}

// heard is a usage.Heard; times are in Unix microseconds.
type heard struct {
	Run      string `msgpack:"r"`
	OwnUS    int64  `msgpack:"o"`
	MiddleUS int64  `msgpack:"m"`
	Of       int    `msgpack:"n"`
}

// question asks for a window.
type question struct {
	Window uint64 `msgpack:"w"`
}

// answer is what was told of a window.
type answer struct {
	Tallies []tally `msgpack:"t"`
}

// Register lets the server answer hosts that tell their counts, and the one that asks for them.
func Register(s *peer.Server, t *usage.Teller, c *usage.Collector) {
	s.Handle(peerapi.KindTellUsage, peer.HandleMsg(func(_ context.Context, _ state.HostID, m told) (heard, error) {
		h := t.Answer(usage.Told{Tally: m.Tally.decode(), Others: decodeAll(m.Others), Own: time.UnixMicro(m.OwnUS)})
		return heard{Run: h.Run, OwnUS: h.Own.UnixMicro(), MiddleUS: h.Middle.UnixMicro(), Of: h.Of}, nil
	}))
	s.Handle(peerapi.KindAskUsage, peer.HandleMsg(func(_ context.Context, _ state.HostID, q question) (answer, error) {
		return answer{encodeAll(c.Told(usage.Window(q.Window)))}, nil
	}))
}

// Peers reaches collectors.
type Peers struct{ Client *peer.Client }

var _ usage.Peers = Peers{}

// Tell implements usage.Peers.
func (p Peers) Tell(ctx context.Context, addr string, t usage.Told) (usage.Heard, error) {
	h, err := peer.CallMsg[told, heard](ctx, p.Client, addr, peerapi.KindTellUsage, told{Tally: encode(t.Tally), Others: encodeAll(t.Others), OwnUS: t.Own.UnixMicro()})
	if err != nil {
		return usage.Heard{}, err
	}
	return usage.Heard{Run: h.Run, Own: time.UnixMicro(h.OwnUS), Middle: time.UnixMicro(h.MiddleUS), Of: h.Of}, nil
}

// Ask implements usage.Peers.
func (p Peers) Ask(ctx context.Context, addr string, w usage.Window) ([]usage.Tally, error) {
	a, err := peer.CallMsg[question, answer](ctx, p.Client, addr, peerapi.KindAskUsage, question{uint64(w)})
	if err != nil {
		return nil, err
	}
	return decodeAll(a.Tallies), nil
}
