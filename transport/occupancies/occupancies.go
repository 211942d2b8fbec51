// Package occupancies carries the calls of package occupancy between hosts: admission to engines,
// forecasts of prefills, and permits for rate-limited runners.
package occupancies

import (
	"context"
	"errors"
	"slices"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// EnterRequest is an occupancy.Request on the wire: it asks for admission to an engine. Born is when
// the engine's run began, in Unix milliseconds; TTLMS is the reservation's TTL in milliseconds.
type EnterRequest struct {
	Engine      string   `msgpack:"e"`
	Born        int64    `msgpack:"b,omitempty"`
	MaxInFlight int      `msgpack:"m,omitempty"`
	TTLMS       int64    `msgpack:"k"`
	Prefill     *Prefill `msgpack:"r,omitempty"`
	// MemoryTokens, EngineTokens and the class's Level and Levels are 0 from a host of an earlier
	// version, which reserves slots only.
	MemoryTokens int `msgpack:"t,omitempty"`
	EngineTokens int `msgpack:"c,omitempty"`
	Level        int `msgpack:"v,omitempty"`
	Levels       int `msgpack:"n,omitempty"`
}

// Prefill is an occupancy.Prefill on the wire. Parts are the ids of the prompt's parts and Tokens
// their sizes; both have the same length. Times are in milliseconds.
type Prefill struct {
	Service         string   `msgpack:"s"`
	Parts           []uint64 `msgpack:"p"`
	Tokens          []int    `msgpack:"t"`
	OwnTokens       int      `msgpack:"o"`
	FetchableTokens int      `msgpack:"f,omitempty"`
	FetchMS         float64  `msgpack:"fm,omitempty"`
	MemoryTokens    int      `msgpack:"m"`
	MaxWaitMS       int64    `msgpack:"w"`
	MaxFinishMS     int64    `msgpack:"l"`
	AllowLate       bool     `msgpack:"b,omitempty"`
	RequireCached   bool     `msgpack:"c,omitempty"`
	// Level, Levels and Customer are those of a contention.Class. A host of an earlier version sends
	// none of them.
	Level    int    `msgpack:"v,omitempty"`
	Levels   int    `msgpack:"n,omitempty"`
	Customer uint32 `msgpack:"u,omitempty"`
}

// EnterResponse is the response to an EnterRequest; ID is 0 if the request wasn't admitted. The
// other fields are those of a backlog.Forecast, with times in milliseconds.
type EnterResponse struct {
	ID            uint64  `msgpack:"i"`
	WaitMS        float64 `msgpack:"w,omitempty"`
	FinishMS      float64 `msgpack:"f,omitempty"`
	Rank          int     `msgpack:"r,omitempty"`
	CachedTokens  int     `msgpack:"k,omitempty"`
	CachedAtStart int     `msgpack:"g,omitempty"`
	UncachedMS    float64 `msgpack:"c,omitempty"`
	Error         float64 `msgpack:"e,omitempty"`
	Reliable      bool    `msgpack:"n,omitempty"`
	// Outcome is a contention.Outcome; 0 from a host of an earlier version.
	Outcome int `msgpack:"o,omitempty"`
	// NoMemory is that of an occupancy.Response; false from a host of an earlier version.
	NoMemory bool `msgpack:"x,omitempty"`
}

// RemainingRequest asks for the remaining time of the prefill of reservation ID.
type RemainingRequest struct {
	Engine string `msgpack:"e"`
	Born   int64  `msgpack:"b,omitempty"`
	ID     uint64 `msgpack:"i"`
}

// RemainingResponse is the response to a RemainingRequest. Progress is a backlog.Progress.
type RemainingResponse struct {
	Progress int           `msgpack:"p"`
	Forecast EnterResponse `msgpack:"f"`
}

// LeaveRequest ends reservation ID. Done says that the work was completed.
type LeaveRequest struct {
	Engine string `msgpack:"e"`
	Born   int64  `msgpack:"b,omitempty"`
	ID     uint64 `msgpack:"i"`
	Done   bool   `msgpack:"d"`
}

// LeaveResponse is the empty response to a LeaveRequest.
type LeaveResponse struct{}

// PermitRequest is an occupancy.PermitRequest on the wire: it asks for a permit to send a request to
// a runner that has a rate limit. Rate is in requests per second.
type PermitRequest struct {
	Runner    string  `msgpack:"e"`
	Born      int64   `msgpack:"b,omitempty"`
	Rate      float64 `msgpack:"r"`
	MaxWaitMS float64 `msgpack:"w"`
	Rank      int     `msgpack:"k"`
}

// PermitResponse is the response to a PermitRequest. WaitMS is in milliseconds.
type PermitResponse struct {
	Granted bool    `msgpack:"g"`
	WaitMS  float64 `msgpack:"w"`
}

// Register makes s answer peers: permits by gate, from this host's share of runners' limits, and all
// other calls by tracker.
func Register(s *peer.Server, tracker *occupancy.Tracker, gate *occupancy.Gate) {
	s.Handle(peerapi.KindPermit, peer.HandleMsg(func(_ context.Context, _ state.HostID, q PermitRequest) (PermitResponse, error) {
		if !(q.Rate >= 0) || !(q.MaxWaitMS >= 0 && q.MaxWaitMS < maxWaitMS) || q.Rank < 0 {
			return PermitResponse{}, errPermitRange
		}
		got := gate.Grant(occupancy.PermitRequest{Runner: state.InstanceID{Name: q.Runner, Born: q.Born}, Rate: q.Rate, MaxWait: state.Millis(q.MaxWaitMS), Rank: q.Rank})
		return PermitResponse{got.Granted, state.InMillis(got.Wait)}, nil
	}))
	s.Handle(peerapi.KindEnter, peer.HandleMsg(func(_ context.Context, _ state.HostID, q EnterRequest) (EnterResponse, error) {
		req, err := q.decode()
		if err != nil {
			return EnterResponse{}, err
		}
		return encodeResponse(tracker.Enter(req)), nil
	}))
	s.Handle(peerapi.KindRemain, peer.HandleMsg(func(_ context.Context, _ state.HostID, q RemainingRequest) (RemainingResponse, error) {
		f, progress := tracker.Remaining(state.InstanceID{Name: q.Engine, Born: q.Born}, q.ID)
		out := encodeResponse(occupancy.Response{ID: q.ID, Forecast: f})
		return RemainingResponse{Progress: int(progress), Forecast: out}, nil
	}))
	s.Handle(peerapi.KindLeave, peer.HandleMsg(func(_ context.Context, _ state.HostID, q LeaveRequest) (LeaveResponse, error) {
		tracker.Leave(state.InstanceID{Name: q.Engine, Born: q.Born}, q.ID, q.Done)
		return LeaveResponse{}, nil
	}))
}

// errPermitRange reports a PermitRequest with values out of range, as sent by a host of another
// version.
var errPermitRange = errors.New("places: an ask for a permit has a rate, wait or rank out of range; run the same version on all hosts")

// errPromptParts reports a Prefill whose parts and sizes don't match or whose values are out of
// range, as sent by a host of another version.
var errPromptParts = errors.New("places: a prompt's parts have no sizes, or ones out of range; run the same version on all hosts")

// errClassRange reports a Prefill with a level out of range, as sent by a host of another version.
var errClassRange = errors.New("places: a prompt's level is out of range; run the same version on all hosts")

// errMemoryRange reports an EnterRequest whose memory is out of range, as sent by a host of another
// version.
var errMemoryRange = errors.New("places: a request's memory is out of range; run the same version on all hosts")

const (
	// maxTokens exceeds the memory of any engine, in tokens.
	maxTokens = 1 << 32
	// maxFetchMS exceeds the duration of any fetch: engines don't start a fetch that would
	// wait for more than two seconds.
	maxFetchMS = 60_000
	// maxWaitMS exceeds any wait for a permit: callers disconnect earlier.
	maxWaitMS = 3_600_000
)

func outOfRange(tokens int) bool { return tokens < 0 || tokens > maxTokens }

func classOutOfRange(level, levels int) bool {
	return levels < 0 || levels > contention.MaxLevels || level < 0 || level > max(0, levels-1)
}

func encodeRequest(req occupancy.Request) EnterRequest {
	q := EnterRequest{
		Engine: req.Engine.Name, Born: req.Engine.Born, MaxInFlight: req.MaxInFlight, TTLMS: req.TTL.Milliseconds(),
		MemoryTokens: req.MemoryTokens, EngineTokens: req.EngineTokens, Level: req.Class.Level, Levels: req.Class.Levels,
	}
	if r := req.Prefill; r != nil {
		q.Prefill = &Prefill{
			Service: r.Service, OwnTokens: r.Prompt.OwnTokens, FetchableTokens: r.Prompt.FetchableTokens, FetchMS: r.Prompt.FetchMS, MemoryTokens: r.MemoryTokens,
			MaxWaitMS: r.MaxWait.Milliseconds(), MaxFinishMS: r.MaxFinish.Milliseconds(), AllowLate: r.AllowLate, RequireCached: r.RequireCached,
			Level: r.Class.Level, Levels: r.Class.Levels, Customer: uint32(r.Class.Customer),
		}
		for _, p := range r.Prompt.Parts {
			q.Prefill.Parts = append(q.Prefill.Parts, p.ID)
			q.Prefill.Tokens = append(q.Prefill.Tokens, p.Tokens)
		}
	}
	return q
}

func (q EnterRequest) decode() (occupancy.Request, error) {
	req := occupancy.Request{
		Engine: state.InstanceID{Name: q.Engine, Born: q.Born}, MaxInFlight: q.MaxInFlight, TTL: state.Millis(float64(q.TTLMS)),
		MemoryTokens: q.MemoryTokens, EngineTokens: q.EngineTokens, Class: contention.Class{Level: q.Level, Levels: q.Levels},
	}
	if outOfRange(q.MemoryTokens) || outOfRange(q.EngineTokens) {
		return req, errMemoryRange
	}
	if classOutOfRange(q.Level, q.Levels) {
		return req, errClassRange
	}
	r := q.Prefill
	if r == nil {
		return req, nil
	}
	sizes := append([]int{r.OwnTokens, r.FetchableTokens, r.MemoryTokens}, r.Tokens...)
	if len(r.Parts) != len(r.Tokens) || slices.ContainsFunc(sizes, outOfRange) || !(r.FetchMS >= 0 && r.FetchMS < maxFetchMS) {
		return req, errPromptParts
	}
	if classOutOfRange(r.Level, r.Levels) {
		return req, errClassRange
	}
	req.Prefill = &occupancy.Prefill{
		Service: r.Service, Prompt: backlog.Prompt{OwnTokens: r.OwnTokens, FetchableTokens: r.FetchableTokens, FetchMS: r.FetchMS}, MemoryTokens: r.MemoryTokens,
		MaxWait: state.Millis(float64(r.MaxWaitMS)), MaxFinish: state.Millis(float64(r.MaxFinishMS)), AllowLate: r.AllowLate, RequireCached: r.RequireCached,
		Class: contention.Class{Level: r.Level, Levels: r.Levels, Customer: uint64(r.Customer)},
	}
	for i, id := range r.Parts {
		req.Prefill.Prompt.Parts = append(req.Prefill.Prompt.Parts, backlog.Part{ID: id, Tokens: r.Tokens[i]})
	}
	return req, nil
}

func encodeResponse(resp occupancy.Response) EnterResponse {
	f := resp.Forecast
	return EnterResponse{ID: resp.ID, WaitMS: state.InMillis(f.Wait), FinishMS: state.InMillis(f.Finish), Rank: f.Rank, CachedTokens: f.CachedTokens, CachedAtStart: f.CachedAtStart, UncachedMS: state.InMillis(f.UncachedTime), Error: f.Error, Reliable: f.Reliable, Outcome: int(f.Outcome), NoMemory: resp.NoMemory}
}

func (e EnterResponse) decode() occupancy.Response {
	outcome := contention.Outcome(e.Outcome)
	if !outcome.Valid() {
		outcome = contention.Unset // of a later version; the rank tells whether it is deferred
	}
	return occupancy.Response{ID: e.ID, NoMemory: e.NoMemory, Forecast: backlog.Forecast{
		Wait: state.Millis(e.WaitMS), Finish: state.Millis(e.FinishMS), Rank: e.Rank, CachedTokens: e.CachedTokens, CachedAtStart: e.CachedAtStart, UncachedTime: state.Millis(e.UncachedMS), Error: e.Error, Reliable: e.Reliable, Outcome: outcome,
	}}
}

// Peers implements occupancy.Peers over calls between hosts.
type Peers struct{ Client *peer.Client }

var _ occupancy.Peers = Peers{}

// Enter implements occupancy.Peers.
func (p Peers) Enter(ctx context.Context, addr string, req occupancy.Request) (occupancy.Response, error) {
	got, err := peer.CallMsg[EnterRequest, EnterResponse](ctx, p.Client, addr, peerapi.KindEnter, encodeRequest(req))
	return got.decode(), err
}

// Remaining implements occupancy.Peers.
func (p Peers) Remaining(ctx context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error) {
	got, err := peer.CallMsg[RemainingRequest, RemainingResponse](ctx, p.Client, addr, peerapi.KindRemain, RemainingRequest{engine.Name, engine.Born, id})
	return got.Forecast.decode().Forecast, backlog.Progress(got.Progress), err
}

// Leave implements occupancy.Peers.
func (p Peers) Leave(ctx context.Context, addr string, engine state.InstanceID, id uint64, done bool) error {
	_, err := peer.CallMsg[LeaveRequest, LeaveResponse](ctx, p.Client, addr, peerapi.KindLeave, LeaveRequest{engine.Name, engine.Born, id, done})
	return err
}

// Permit implements occupancy.Peers.
func (p Peers) Permit(ctx context.Context, addr string, req occupancy.PermitRequest) (occupancy.Permit, error) {
	q := PermitRequest{req.Runner.Name, req.Runner.Born, req.Rate, state.InMillis(req.MaxWait), req.Rank}
	got, err := peer.CallMsg[PermitRequest, PermitResponse](ctx, p.Client, addr, peerapi.KindPermit, q)
	return occupancy.Permit{Granted: got.Granted, Wait: state.Millis(got.WaitMS)}, err
}
