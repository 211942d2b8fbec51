package occupancies

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
	"github.com/thymerack/thymerack/transport/wallclock"
)

func hostID(name string) state.HostID { return state.HostID{Name: name, Incarnation: "1"} }

// engine is a run with a known start.
var engine = state.InstanceID{Name: "e", Born: 1_790_000_000_123}

// serve starts a server for a new tracker and returns its address and a client.
func serve(t *testing.T) (string, Peers) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := peer.NewServer(peer.ServerOptions{Self: hostID("keeps")})
	if err != nil {
		t.Fatal(err)
	}
	tracker := occupancy.NewTracker(wallclock.Clock{}, slog.New(slog.DiscardHandler))
	gate, err := occupancy.NewGate(occupancy.GateOptions{
		Tracker: tracker, Peers: Peers{}, Self: "self", Clock: wallclock.Clock{}, Log: slog.New(slog.DiscardHandler),
		Hosts: func() []state.Peer { return []state.Peer{{Addr: "self"}} },
	})
	if err != nil {
		t.Fatal(err)
	}
	Register(s, tracker, gate)
	c, err := peer.NewClient(peer.ClientOptions{Self: hostID("asks")})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		c.Close()
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), Peers{Client: c}
}

func TestEnterAndLeaveOverNetwork(t *testing.T) {
	is := is.New(t)
	addr, peers := serve(t)
	req := occupancy.Request{Engine: engine, MaxInFlight: 3, TTL: time.Hour}
	var ids []uint64
	for {
		answer, err := peers.Enter(t.Context(), addr, req)
		is.NoErr(err)
		if answer.ID == 0 {
			break
		}
		ids = append(ids, answer.ID)
	}
	is.Equal(len(ids), req.MaxInFlight)
	is.NoErr(peers.Leave(t.Context(), addr, engine, ids[0], false))
	answer, err := peers.Enter(t.Context(), addr, req)
	is.NoErr(err)
	is.True(answer.ID != 0)
}

// A remote owner returns the same forecast for a prefill as a local tracker.
func TestPrefillForecastOverNetwork(t *testing.T) {
	is := is.New(t)
	addr, peers := serve(t)
	req := occupancy.Request{Engine: engine, TTL: time.Hour, Prefill: &occupancy.Prefill{
		Service: "s", MemoryTokens: 1e6, MaxWait: time.Hour, MaxFinish: time.Hour, RequireCached: true,
		Prompt: backlog.Prompt{Parts: []backlog.Part{{ID: 1 << 63, Tokens: 6000}, {ID: 2, Tokens: 300}}, OwnTokens: 3000, FetchableTokens: 6000, FetchMS: 2.5},
	}}
	want := occupancy.NewTracker(wallclock.Clock{}, slog.New(slog.DiscardHandler)).Enter(req)
	got, err := peers.Enter(t.Context(), addr, req)
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(got.ID, uint64(0)) // 300 tokens aren't cached
	req.Prefill.RequireCached, req.Prefill.AllowLate, req.Prefill.MaxFinish = false, true, time.Millisecond
	got, err = peers.Enter(t.Context(), addr, req)
	is.NoErr(err)
	is.True(got.ID != 0)
	is.True(got.Forecast.Rank >= backlog.Classes)
	f, progress, err := peers.Remaining(t.Context(), addr, engine, got.ID)
	is.NoErr(err)
	is.Equal(progress, backlog.InProgress)
	is.True(f.Finish > 0 && f.Finish <= got.Forecast.Finish)
	_, progress, err = peers.Remaining(t.Context(), addr, engine, got.ID+1)
	is.NoErr(err)
	is.Equal(progress, backlog.Unknown)
}

func TestInvalidPromptPartsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := EnterRequest{Engine: "e", Prefill: &Prefill{Parts: []uint64{1}}}.decode()
	is.True(errors.Is(err, errPromptParts))
	_, err = EnterRequest{Engine: "e", Prefill: &Prefill{Parts: []uint64{1}, Tokens: []int{-5}}}.decode()
	is.True(errors.Is(err, errPromptParts))
}

func TestUnreachableOwnerIsError(t *testing.T) {
	is := is.New(t)
	_, peers := serve(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	answer, err := peers.Enter(t.Context(), addr, occupancy.Request{Engine: engine})
	is.True(err != nil)
	is.Equal(answer.ID, uint64(0))
	_, progress, err := peers.Remaining(t.Context(), addr, engine, 1)
	is.True(err != nil)
	is.Equal(progress, backlog.Unknown)
}

func TestPermitOverNetwork(t *testing.T) {
	is := is.New(t)
	addr, peers := serve(t)
	req := occupancy.PermitRequest{Runner: engine, Rate: 0.1}
	p, err := peers.Permit(t.Context(), addr, req)
	is.NoErr(err)
	is.True(p.Granted)
	p, err = peers.Permit(t.Context(), addr, req)
	is.NoErr(err)
	is.True(!p.Granted)
	is.True(p.Wait > 9*time.Second)
	req.Rate = math.NaN()
	_, err = peers.Permit(t.Context(), addr, req)
	is.True(err != nil)
}
