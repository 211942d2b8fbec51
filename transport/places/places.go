// Package places carries the calls for places at engines between hosts.
package places

import (
	"context"
	"errors"
	"slices"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// Enter asks for a place at an engine.
type Enter struct {
	Engine  string   `msgpack:"e"`
	Born    int64    `msgpack:"b,omitempty"`
	Most    int      `msgpack:"m,omitempty"`
	KeepMS  int64    `msgpack:"k"`
	Reading *Reading `msgpack:"r,omitempty"`
}

// Reading is the prompt of an Enter.
type Reading struct {
	Service   string   `msgpack:"s"`
	Parts     []uint64 `msgpack:"p"`
	Tokens    []int    `msgpack:"t"`
	Own       int      `msgpack:"o"`
	Fetched   int      `msgpack:"f,omitempty"`
	FetchMS   float64  `msgpack:"fm,omitempty"`
	Memory    int      `msgpack:"m"`
	MaxWaitMS int64    `msgpack:"w"`
	LimitMS   int64    `msgpack:"l"`
	Late      bool     `msgpack:"b,omitempty"`
	Warm      bool     `msgpack:"c,omitempty"`
}

// Entered answers an Enter; ID is 0 if no place was given.
type Entered struct {
	ID       uint64  `msgpack:"i"`
	WaitMS   float64 `msgpack:"w,omitempty"`
	FinishMS float64 `msgpack:"f,omitempty"`
	Rank     int     `msgpack:"r,omitempty"`
	Kept     int     `msgpack:"k,omitempty"`
	Coming   int     `msgpack:"g,omitempty"`
	ColdMS   float64 `msgpack:"c,omitempty"`
	Error    float64 `msgpack:"e,omitempty"`
	Known    bool    `msgpack:"n,omitempty"`
}

// Remain asks when the reading of a place ends.
type Remain struct {
	Engine string `msgpack:"e"`
	Born   int64  `msgpack:"b,omitempty"`
	ID     uint64 `msgpack:"i"`
}

// Remains answers a Remain.
type Remains struct {
	Progress int     `msgpack:"p"`
	Forecast Entered `msgpack:"f"`
}

// Leave ends a place.
type Leave struct {
	Engine string `msgpack:"e"`
	Born   int64  `msgpack:"b,omitempty"`
	ID     uint64 `msgpack:"i"`
	Done   bool   `msgpack:"d"`
}

// Left answers a Leave.
type Left struct{}

// Permit asks for a permit to send a request to a runner that names a limit.
type Permit struct {
	Runner    string  `msgpack:"e"`
	Born      int64   `msgpack:"b,omitempty"`
	Rate      float64 `msgpack:"r"`
	MaxWaitMS float64 `msgpack:"w"`
	Rank      int     `msgpack:"k"`
}

// Permitted answers a Permit.
type Permitted struct {
	Granted bool    `msgpack:"g"`
	WaitMS  float64 `msgpack:"w"`
}

// Register lets the server answer peers from the host's tracker, and from its gate for what it
// owns of runners' limits.
func Register(s *peer.Server, book *occupancy.Tracker, gate *occupancy.Gate) {
	s.Handle(peerapi.KindPermit, peer.HandleMsg(func(_ context.Context, _ state.HostID, q Permit) (Permitted, error) {
		if !(q.Rate >= 0) || !(q.MaxWaitMS >= 0 && q.MaxWaitMS < mostWaitMS) || q.Rank < 0 {
			return Permitted{}, errPermit
		}
		got := gate.Grant(occupancy.PermitRequest{Runner: state.InstanceID{Name: q.Runner, Born: q.Born}, Rate: q.Rate, MaxWait: state.Millis(q.MaxWaitMS), Rank: q.Rank})
		return Permitted{got.Granted, state.InMillis(got.Wait)}, nil
	}))
	s.Handle(peerapi.KindEnter, peer.HandleMsg(func(_ context.Context, _ state.HostID, q Enter) (Entered, error) {
		a, err := q.ask()
		if err != nil {
			return Entered{}, err
		}
		return entered(book.Enter(a)), nil
	}))
	s.Handle(peerapi.KindRemain, peer.HandleMsg(func(_ context.Context, _ state.HostID, q Remain) (Remains, error) {
		f, progress := book.Remaining(state.InstanceID{Name: q.Engine, Born: q.Born}, q.ID)
		out := entered(occupancy.Response{ID: q.ID, Forecast: f})
		return Remains{Progress: int(progress), Forecast: out}, nil
	}))
	s.Handle(peerapi.KindLeave, peer.HandleMsg(func(_ context.Context, _ state.HostID, q Leave) (Left, error) {
		book.Leave(state.InstanceID{Name: q.Engine, Born: q.Born}, q.ID, q.Done)
		return Left{}, nil
	}))
}

// errPermit says that an ask for a permit can't be right.
var errPermit = errors.New("places: an ask for a permit has a rate, wait or rank out of range; run the same version on all hosts")

// errParts says that a prompt's parts and their sizes can't be right.
var errParts = errors.New("places: a prompt's parts have no sizes, or ones out of range; run the same version on all hosts")

const (
	// mostTokens is above every engine's memory, in tokens.
	mostTokens = 1 << 32
	// mostFetchMS is above every time in which an engine fetches: it doesn't begin what
	// would wait for more than two seconds.
	mostFetchMS = 60_000
	// mostWaitMS is above every wait for a permit: callers leave before.
	mostWaitMS = 3_600_000
)

func outOfRange(tokens int) bool { return tokens < 0 || tokens > mostTokens }

func enter(a occupancy.Request) Enter {
	q := Enter{Engine: a.Engine.Name, Born: a.Engine.Born, Most: a.MaxInFlight, KeepMS: a.TTL.Milliseconds()}
	if r := a.Prefill; r != nil {
		q.Reading = &Reading{
			Service: r.Service, Own: r.Prompt.OwnTokens, Fetched: r.Prompt.FetchableTokens, FetchMS: r.Prompt.FetchMS, Memory: r.MemoryTokens,
			MaxWaitMS: r.MaxWait.Milliseconds(), LimitMS: r.MaxFinish.Milliseconds(), Late: r.AllowLate, Warm: r.RequireCached,
		}
		for _, p := range r.Prompt.Parts {
			q.Reading.Parts = append(q.Reading.Parts, p.ID)
			q.Reading.Tokens = append(q.Reading.Tokens, p.Tokens)
		}
	}
	return q
}

func (q Enter) ask() (occupancy.Request, error) {
	a := occupancy.Request{Engine: state.InstanceID{Name: q.Engine, Born: q.Born}, MaxInFlight: q.Most, TTL: state.Millis(float64(q.KeepMS))}
	r := q.Reading
	if r == nil {
		return a, nil
	}
	sizes := append([]int{r.Own, r.Fetched, r.Memory}, r.Tokens...)
	if len(r.Parts) != len(r.Tokens) || slices.ContainsFunc(sizes, outOfRange) || !(r.FetchMS >= 0 && r.FetchMS < mostFetchMS) {
		return a, errParts
	}
	a.Prefill = &occupancy.Prefill{
		Service: r.Service, Prompt: backlog.Prompt{OwnTokens: r.Own, FetchableTokens: r.Fetched, FetchMS: r.FetchMS}, MemoryTokens: r.Memory,
		MaxWait: state.Millis(float64(r.MaxWaitMS)), MaxFinish: state.Millis(float64(r.LimitMS)), AllowLate: r.Late, RequireCached: r.Warm,
	}
	for i, id := range r.Parts {
		a.Prefill.Prompt.Parts = append(a.Prefill.Prompt.Parts, backlog.Part{ID: id, Tokens: r.Tokens[i]})
	}
	return a, nil
}

func entered(a occupancy.Response) Entered {
	f := a.Forecast
	return Entered{ID: a.ID, WaitMS: state.InMillis(f.Wait), FinishMS: state.InMillis(f.Finish), Rank: f.Rank, Kept: f.CachedTokens, Coming: f.CachedAtStart, ColdMS: state.InMillis(f.UncachedTime), Error: f.Error, Known: f.Reliable}
}

func (e Entered) answer() occupancy.Response {
	return occupancy.Response{ID: e.ID, Forecast: backlog.Forecast{
		Wait: state.Millis(e.WaitMS), Finish: state.Millis(e.FinishMS), Rank: e.Rank, CachedTokens: e.Kept, CachedAtStart: e.Coming, UncachedTime: state.Millis(e.ColdMS), Error: e.Error, Reliable: e.Known,
	}}
}

// Peers calls the trackers of other hosts.
type Peers struct{ Client *peer.Client }

var _ occupancy.Peers = Peers{}

// Enter implements occupancy.Peers.
func (p Peers) Enter(ctx context.Context, addr string, a occupancy.Request) (occupancy.Response, error) {
	got, err := peer.CallMsg[Enter, Entered](ctx, p.Client, addr, peerapi.KindEnter, enter(a))
	return got.answer(), err
}

// Remaining implements occupancy.Peers.
func (p Peers) Remaining(ctx context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error) {
	got, err := peer.CallMsg[Remain, Remains](ctx, p.Client, addr, peerapi.KindRemain, Remain{engine.Name, engine.Born, id})
	return got.Forecast.answer().Forecast, backlog.Progress(got.Progress), err
}

// Leave implements occupancy.Peers.
func (p Peers) Leave(ctx context.Context, addr string, engine state.InstanceID, id uint64, done bool) error {
	_, err := peer.CallMsg[Leave, Left](ctx, p.Client, addr, peerapi.KindLeave, Leave{engine.Name, engine.Born, id, done})
	return err
}

// Permit implements occupancy.Peers.
func (p Peers) Permit(ctx context.Context, addr string, a occupancy.PermitRequest) (occupancy.Permit, error) {
	q := Permit{a.Runner.Name, a.Runner.Born, a.Rate, state.InMillis(a.MaxWait), a.Rank}
	got, err := peer.CallMsg[Permit, Permitted](ctx, p.Client, addr, peerapi.KindPermit, q)
	return occupancy.Permit{Granted: got.Granted, Wait: state.Millis(got.WaitMS)}, err
}
