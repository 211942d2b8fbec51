// Package elsewhere finds answers that other hosts hold, so that a caller whose
// connection broke can come back to any host and get the rest.
//
// An id made by a host names it. For an id that a caller has chosen, two hosts
// chosen by rendezvous hashing keep who holds it: a directory in memory, lost
// with its hosts, of which one message a request is asked.
package elsewhere

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/front"
	"github.com/thymerack/thymerack/transport/peer"
	"github.com/thymerack/thymerack/transport/wallclock"
)

const (
	// directoryHosts is how many hosts know who holds an answer.
	directoryHosts = 2
	// readWait is how long the holder waits for new tokens in one call.
	readWait = 500 * time.Millisecond
	// callTimeout bounds one call between hosts.
	callTimeout = 3 * time.Second
	// maxChunkTokens bounds the tokens of one answer between hosts.
	maxChunkTokens = 4096
)

// Locate tells or asks who holds an answer. Holder is zero in a question.
type Locate struct {
	ID     string       `msgpack:"i"`
	Holder state.HostID `msgpack:"h"`
}

// Located answers a Locate; Holder is zero when nobody is known.
type Located struct {
	Holder state.HostID `msgpack:"h"`
}

// Read asks for the tokens of an answer from an index on.
type Read struct {
	ID       string `msgpack:"i"`
	Customer string `msgpack:"t"`
	From     int    `msgpack:"f"`
}

// Rest answers a Read.
type Rest struct {
	Found   bool     `msgpack:"f"`
	Model   string   `msgpack:"m"`
	Chat    bool     `msgpack:"c"`
	Tokens  []string `msgpack:"t"`
	Ended   bool     `msgpack:"e"`
	Finish  string   `msgpack:"r"`
	Problem string   `msgpack:"p"`
	Reason  string   `msgpack:"w"`
}

// Fleet tells who the live hosts are.
type Fleet interface {
	Hosts() []state.HostID
	Member(id state.HostID) (state.Member, bool)
}

// Options configures a Finder. All fields are required.
type Options struct {
	Self    state.HostID
	Fleet   Fleet
	Client  *peer.Client
	Answers *answer.Registry
	Log     *slog.Logger
	// Keep is how long a directory entry stays, at least as long as an answer.
	Keep time.Duration
	// MaxEntries bounds the directory.
	MaxEntries int
}

// Finder implements front.Elsewhere and answers other hosts' questions.
type Finder struct {
	o Options

	mu      sync.Mutex
	holders map[string]entry
	// queue holds the ids in the order of their arrival, for expiry.
	queue []queued
}

type entry struct {
	holder state.HostID
	until  time.Time
}

type queued struct {
	id    string
	until time.Time
}

// New validates the options.
func New(o Options) (*Finder, error) {
	if o.Fleet == nil || o.Client == nil || o.Answers == nil || o.Log == nil || o.Self.Zero() {
		return nil, errors.New("elsewhere: Self, Fleet, Client, Answers and Log are required; set them")
	}
	if o.Keep <= 0 || o.MaxEntries < 1 {
		return nil, errors.New("elsewhere: Keep and MaxEntries must be positive")
	}
	return &Finder{o: o, holders: map[string]entry{}}, nil
}

// Mount adds the handlers to the peers' server.
func (f *Finder) Mount(s *peer.Server) {
	s.Handle(peerapi.KindLocate, peer.HandleMsg(f.locate))
	s.Handle(peerapi.KindAnswer, peer.HandleMsg(f.read))
}

// Announce implements front.Elsewhere. It doesn't wait for the directory.
func (f *Finder) Announce(id string) {
	for _, to := range f.directory(id) {
		go f.tell(to, id)
	}
}

func (f *Finder) tell(to state.HostID, id string) {
	if to == f.o.Self {
		f.put(id, f.o.Self)
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	if _, err := call[Locate, Located](ctx, f, to, peerapi.KindLocate, Locate{ID: id, Holder: f.o.Self}); err != nil {
		f.o.Log.Debug("directory not told", "request_id", id, "to", to.Name, "error", err)
	}
}

// directory returns the hosts that know who holds an id, by rendezvous hashing.
func (f *Finder) directory(id string) []state.HostID {
	hosts := f.o.Fleet.Hosts()
	names := make([]string, len(hosts))
	byName := make(map[string]state.HostID, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
		byName[h.Name] = h
	}
	var out []state.HostID
	for len(out) < directoryHosts && len(names) > 0 {
		table := rendezvous.New(names, xxhash.Sum64String)
		chosen := table.Lookup(id)
		out = append(out, byName[chosen])
		names = without(names, chosen)
	}
	return out
}

func without(names []string, name string) []string {
	out := make([]string, 0, len(names))
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// Fetch implements front.Elsewhere.
func (f *Finder) Fetch(ctx context.Context, id, customer string, from int) (front.RemoteChunk, error) {
	for _, holder := range f.holdersOf(ctx, id) {
		if holder == f.o.Self {
			continue
		}
		rest, err := call[Read, Rest](ctx, f, holder, peerapi.KindAnswer, Read{ID: id, Customer: customer, From: from})
		if err != nil {
			f.o.Log.Debug("holder did not answer", "request_id", id, "holder", holder.Name, "error", err)
			continue
		}
		if rest.Found {
			return chunkOf(rest), nil
		}
	}
	return front.RemoteChunk{}, &front.UnknownAnswerError{ID: id}
}

func chunkOf(r Rest) front.RemoteChunk {
	return front.RemoteChunk{
		Model: r.Model, Chat: r.Chat, Tokens: r.Tokens, Ended: r.Ended, Finish: r.Finish,
		Problem: r.Problem, Reason: dispatch.Reason(r.Reason),
	}
}

// holdersOf returns the hosts that may hold an id, the likeliest first.
func (f *Finder) holdersOf(ctx context.Context, id string) []state.HostID {
	if name := front.HostOfID(id); name != "" {
		for _, h := range f.o.Fleet.Hosts() {
			if h.Name == name {
				return []state.HostID{h}
			}
		}
	}
	var out []state.HostID
	for _, host := range f.directory(id) {
		holder := f.ask(ctx, host, id)
		if !holder.Zero() {
			out = append(out, holder)
		}
	}
	return out
}

func (f *Finder) ask(ctx context.Context, host state.HostID, id string) state.HostID {
	if host == f.o.Self {
		return f.get(id)
	}
	found, err := call[Locate, Located](ctx, f, host, peerapi.KindLocate, Locate{ID: id})
	if err != nil {
		f.o.Log.Debug("directory did not answer", "request_id", id, "host", host.Name, "error", err)
	}
	return found.Holder
}

// call reaches a host by its id.
func call[Req, Rep any](ctx context.Context, f *Finder, to state.HostID, kind peerapi.Kind, req Req) (Rep, error) {
	var none Rep
	m, ok := f.o.Fleet.Member(to)
	if !ok {
		return none, &UnknownHostError{Host: to}
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return peer.CallMsg[Req, Rep](ctx, f.o.Client, m.PeerAddr, kind, req)
}

// UnknownHostError says that a host's address isn't known.
type UnknownHostError struct{ Host state.HostID }

// Error implements error.
func (e *UnknownHostError) Error() string {
	return "the address of host " + e.Host.String() + " is not known; it may have left the fleet"
}

// locate answers another host: it notes or names a holder.
func (f *Finder) locate(_ context.Context, _ state.HostID, l Locate) (Located, error) {
	if !l.Holder.Zero() {
		f.put(l.ID, l.Holder)
		return Located{Holder: l.Holder}, nil
	}
	return Located{Holder: f.get(l.ID)}, nil
}

func (f *Finder) put(id string, holder state.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := wallclock.Now()
	f.expire(now)
	until := now.Add(f.o.Keep)
	f.holders[id] = entry{holder, until}
	f.queue = append(f.queue, queued{id, until})
}

func (f *Finder) get(id string) state.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holders[id].holder
}

// expire drops entries that are too old or too many; f.mu is held.
func (f *Finder) expire(now time.Time) {
	for len(f.queue) > 0 && (now.After(f.queue[0].until) || len(f.queue) >= f.o.MaxEntries) {
		if e := f.holders[f.queue[0].id]; !e.until.After(f.queue[0].until) {
			delete(f.holders, f.queue[0].id)
		}
		f.queue = f.queue[1:]
	}
}

// read gives another host's caller the rest of an answer held here. The reader
// counts as attached, so that the answer isn't abandoned meanwhile.
func (f *Finder) read(ctx context.Context, _ state.HostID, r Read) (Rest, error) {
	a := f.o.Answers.Find(r.ID, r.Customer)
	if a == nil {
		return Rest{}, nil
	}
	f.o.Answers.Attach(a)
	defer func() {
		if abandon := f.o.Answers.Detach(a); abandon != nil {
			go abandon(context.Background())
		}
	}()
	ctx, stop := context.WithTimeout(ctx, readWait)
	defer stop()
	chunk, err := a.Read(ctx, r.From)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return Rest{}, err
	}
	return restOf(a, chunk), nil
}

func restOf(a *answer.Answer, chunk answer.Chunk) Rest {
	out := Rest{Found: true, Model: a.Model, Chat: a.Chat, Tokens: chunk.Tokens}
	if len(out.Tokens) > maxChunkTokens {
		out.Tokens = out.Tokens[:maxChunkTokens]
		return out
	}
	if chunk.End == nil {
		return out
	}
	out.Ended = true
	out.Finish = chunk.End.Finish
	if err := chunk.End.Err; err != nil {
		out.Problem = err.Error()
		out.Reason = string(dispatch.ReasonUpstream)
		var refusal *dispatch.Refusal
		if errors.As(err, &refusal) {
			out.Reason = string(refusal.Reason)
		}
	}
	return out
}
