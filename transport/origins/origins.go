// Package origins carries the calls of package origin between hosts: which version began a stream.
package origins

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/origin"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// record is an origin.Record on the wire.
type record struct {
	ID      string `msgpack:"i"`
	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
	Attempt int    `msgpack:"a"`
}

// query is an origin.Query on the wire. MaxAgeMS is in milliseconds.
type query struct {
	ID       string  `msgpack:"i"`
	Service  string  `msgpack:"s"`
	MaxAgeMS float64 `msgpack:"m"`
}

// finding is an origin.Finding on the wire. AgeMS is in milliseconds.
type finding struct {
	Record   *record  `msgpack:"r,omitempty"`
	Versions []string `msgpack:"v"`
	Noted    []string `msgpack:"n,omitempty"`
	AgeMS    float64  `msgpack:"a"`
}

// done is the empty response to records.
type done struct{}

// Register makes s answer peers from the registry of this host. Records go to its table.
func Register(s *peer.Server, r *origin.Registry, table *origin.Table) {
	s.Handle(peerapi.KindOriginWrite, peer.HandleMsg(func(_ context.Context, _ state.HostID, m []record) (done, error) {
		for _, rec := range m {
			table.Put(origin.Record(rec))
		}
		return done{}, nil
	}))
	s.Handle(peerapi.KindOriginFind, peer.HandleMsg(func(_ context.Context, _ state.HostID, m query) (finding, error) {
		return encode(r.Find(origin.Query{ID: m.ID, Service: m.Service, MaxAge: state.Millis(m.MaxAgeMS)})), nil
	}))
}

func encode(f origin.Finding) finding {
	m := finding{Versions: f.Versions, Noted: f.Noted, AgeMS: state.InMillis(f.Age)}
	if f.Found {
		rec := record(f.Record)
		m.Record = &rec
	}
	return m
}

func (m finding) decode() origin.Finding {
	f := origin.Finding{Versions: m.Versions, Noted: m.Noted, Age: state.Millis(max(0, min(m.AgeMS, state.InMillis(24*time.Hour))))}
	if m.Record != nil {
		f.Record, f.Found = origin.Record(*m.Record), true
	}
	return f
}

// Peers implements origin.Peers over calls between hosts.
type Peers struct{ Client *peer.Client }

var _ origin.Peers = Peers{}

// Write implements origin.Peers.
func (p Peers) Write(ctx context.Context, addr string, records []origin.Record) error {
	m := make([]record, 0, len(records))
	for _, rec := range records {
		m = append(m, record(rec))
	}
	_, err := peer.CallMsg[[]record, done](ctx, p.Client, addr, peerapi.KindOriginWrite, m)
	return err
}

// Find implements origin.Peers.
func (p Peers) Find(ctx context.Context, addr string, q origin.Query) (origin.Finding, error) {
	m, err := peer.CallMsg[query, finding](ctx, p.Client, addr, peerapi.KindOriginFind, query{q.ID, q.Service, state.InMillis(q.MaxAge)})
	if err != nil {
		return origin.Finding{}, err
	}
	return m.decode(), nil
}
