package quarantine

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// tick is how often the keeper looks after the store's entries, and the pause before a
	// write that failed is tried again: hosts that were out of the store's reach have some
	// seconds to tell it what they know.
	tick = time.Second
	// standInAfter is when a host writes what another should have: that one may be gone.
	standInAfter = 3 * time.Second
	// gather is the pause in which crashes are collected for one notice: a failure domain
	// that is lost is told in one by each host, not in one for each runner.
	gather = 20 * time.Millisecond
	// answeredFor is how long an entry that is written in ignorance of an answer may be on
	// its way: a write and the copy of it.
	answeredFor = 10 * time.Second
	// mostTold bounds the requests that a host tells of one crash, those first that had just
	// begun; a full engine has some hundred from all hosts together.
	mostTold = 128
)

// Notice is what hosts tell each other.
type Notice struct {
	Crashes []Crash
	// Held are requests that are held, for hosts that missed a crash.
	Held []Holding
	// Answered are requests that were suspected or held and have been answered.
	Answered []Digest
}

func (n Notice) empty() bool { return len(n.Crashes)+len(n.Held)+len(n.Answered) == 0 }

// Holding is a request that is held.
type Holding struct {
	Digest   Digest
	Evidence []Evidence
}

// Options configure a Keeper. All fields are required.
type Options struct {
	// Host is this host's name in what it tells.
	Host  string
	Table *Table
	Store store.Store
	// FollowsStore reports whether this host is one of those that follow the store.
	FollowsStore func() bool
	// Publish tells all hosts, this one too, by Take. It doesn't wait.
	Publish func(Notice)
	Clock   state.Clock
	Log     *slog.Logger
}

// Keeper counts crashes with the other hosts and keeps at the store what is held. It is safe
// for concurrent use.
type Keeper struct {
	o    Options
	wake chan struct{}

	mu      sync.Mutex
	pending Notice
	// cleared are suspected requests that were answered. They are told with the next notice
	// or tick: most of those that ran at a crash are.
	cleared []Digest
	// entries are those of the store, and unreadable the versions of those that were logged.
	entries    map[Digest]stored
	unreadable map[string]uint64
	// answered are requests that were answered here, and when: their entries are to go.
	answered map[Digest]time.Time
}

// New validates the options.
func New(o Options) (*Keeper, error) {
	if o.Host == "" || o.Table == nil || o.Store == nil || o.FollowsStore == nil || o.Publish == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("quarantine: a field of Options is missing; set all of them")
	}
	return &Keeper{o: o, wake: make(chan struct{}, 1), entries: map[Digest]stored{}, unreadable: map[string]uint64{}, answered: map[Digest]time.Time{}}, nil
}

// Held returns why a request is held, or nil.
func (k *Keeper) Held(d Digest) *Hold { return k.o.Table.Held(d) }

// Size is the number of requests that are held.
func (k *Keeper) Size() int { return len(k.o.Table.Holds()) }

// Answered notes that a copy of the request was answered whole.
func (k *Keeper) Answered(d Digest) {
	suspected, held := k.o.Table.Answered(d)
	if !suspected {
		return
	}
	k.mu.Lock()
	_, stored := k.entries[d]
	held = held || stored
	k.cleared = append(k.cleared, d)
	if held {
		k.answered[d] = k.o.Clock.Now()
	}
	k.mu.Unlock()
	if held {
		k.o.Log.Info("held request answered", "digest", d.String())
		k.rouse()
	}
}

// Note tells all hosts of a crash under this host's requests.
func (k *Keeper) Note(run state.InstanceID, at time.Time, suspects []Suspect) {
	suspects = slices.Clone(suspects)
	for i := range suspects {
		suspects[i].Proven = k.o.Table.Proven(suspects[i].Digest)
	}
	slices.SortStableFunc(suspects, func(a, b Suspect) int { return cmp.Compare(oneIf(a.Settled), oneIf(b.Settled)) })
	c := Crash{Run: run, Host: k.o.Host, At: at, Suspects: suspects[:min(len(suspects), mostTold)]}
	k.mu.Lock()
	k.pending.Crashes = append(k.pending.Crashes, c)
	k.mu.Unlock()
	k.rouse()
}

// oneIf is 1 for true and 0 for false.
func oneIf(is bool) int {
	if is {
		return 1
	}
	return 0
}

func (k *Keeper) rouse() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Take takes what a host tells, this one too. It doesn't wait.
func (k *Keeper) Take(n Notice) {
	for _, c := range n.Crashes {
		for _, d := range k.o.Table.Note(c, c.Host == k.o.Host) {
			k.found(d)
		}
	}
	for _, h := range n.Held {
		if k.o.Table.Hold(h.Digest, h.Evidence) {
			k.logHeld(h.Digest, "another host")
		}
	}
	for _, d := range n.Answered {
		k.o.Table.Forget(d)
	}
}

// found tells the others what this host has found, if one of the crashes was its own: a
// host that saw none leaves it to those that did.
func (k *Keeper) found(d Digest) {
	k.logHeld(d, "crashes")
	hold := k.o.Table.Held(d)
	if hold == nil || !hold.Own {
		return
	}
	k.mu.Lock()
	k.pending.Held = append(k.pending.Held, Holding{d, hold.Evidence})
	k.mu.Unlock()
	k.rouse()
}

// logHeld writes the line from which a refusal is explained.
func (k *Keeper) logHeld(d Digest, by string) {
	if hold := k.o.Table.Held(d); hold != nil {
		k.o.Log.Warn("request held: runners crash under it", "digest", d.String(), "by", by, "crashes", len(hold.Evidence), "evidence", describe(hold.Evidence))
	}
}

func describe(evidence []Evidence) []string {
	out := make([]string, 0, len(evidence))
	for _, e := range evidence {
		out = append(out, e.run().String()+" under "+e.RequestID+" of "+e.Host+" at "+e.At.UTC().Format(time.RFC3339Nano))
	}
	return out
}

// Run tells the other hosts and looks after the store's entries until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		tick := k.await(ctx)
		if k.o.Clock.Sleep(ctx, gather) != nil {
			return
		}
		k.tell(tick)
		k.write(ctx)
		k.sweep(ctx)
	}
}

// await waits for something to tell, or for the next tick, and reports whether that came.
func (k *Keeper) await(ctx context.Context) bool {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.o.Clock.Sleep(bounded, tick) // its end is all that counts
	}()
	select {
	case <-k.wake:
		return false
	case <-done:
		return true
	}
}

// tell tells all hosts what is new; all says that what can wait goes too.
func (k *Keeper) tell(all bool) {
	k.mu.Lock()
	n := k.pending
	k.pending = Notice{}
	if all || !n.empty() || len(k.answered) > 0 {
		n.Answered, k.cleared = k.cleared, nil
	}
	k.mu.Unlock()
	if n.empty() {
		return
	}
	if len(n.Answered) > 0 {
		k.o.Log.Info("suspected requests answered", "requests", len(n.Answered))
	}
	k.o.Publish(n)
}

// Changed takes a new copy of the store's entries. One that is gone was released by an
// operator, or because its request was answered.
func (k *Keeper) Changed(c follow.Copy) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock.Now()
	present := make(map[Digest]stored, len(c.Objects))
	for _, o := range c.Objects {
		d, e, err := decodeEntry(o)
		if err != nil {
			k.noteUnreadable(o, err)
			continue
		}
		s := stored{e, o.Version, now}
		if before, known := k.entries[d]; known && before.version == o.Version {
			s = before
		} else {
			k.adopt(d, e)
		}
		present[d] = s
	}
	for d, s := range k.entries {
		if _, there := present[d]; there {
			continue
		}
		if s.version > c.Revision { // written since this copy
			present[d] = s
			continue
		}
		k.o.Table.Forget(d)
		k.o.Log.Info("request no longer held", "digest", d.String(), "revision", c.Revision)
	}
	k.entries = present
}

// adopt takes a new version of an entry; k.mu is held.
func (k *Keeper) adopt(d Digest, e entry) {
	if _, answered := k.answered[d]; answered {
		return // it was written in ignorance of that
	}
	if e.Released {
		k.o.Table.Release(d)
		k.o.Log.Info("request released for a trial", "digest", d.String(), "times", e.Times)
		return
	}
	if k.o.Table.Hold(d, e.Evidence) {
		k.logHeld(d, "the store")
	}
}

func (k *Keeper) noteUnreadable(o store.Object, err error) {
	if k.unreadable[o.Name] != o.Version {
		k.unreadable[o.Name] = o.Version
		k.o.Log.Warn("entry of a held request not readable", "name", o.Name, "version", o.Version, "cause", err.Error())
	}
}

// write brings to the store what is held and isn't there. The hosts that saw a crash
// themselves do it at once, others that follow the store when it is still missing later.
func (k *Keeper) write(ctx context.Context) {
	now := k.o.Clock.Now()
	for d, hold := range k.o.Table.Holds() {
		k.mu.Lock()
		s, there := k.entries[d]
		full := len(k.entries) >= mostHeld
		k.mu.Unlock()
		late := now.Sub(hold.At) > standInAfter && k.o.FollowsStore()
		if (there && !s.Released) || full || !(hold.Own || late) {
			continue
		}
		k.put(ctx, d, entry{Evidence: hold.Evidence, Times: s.Times + 1}, s.version)
	}
}

// put writes an entry at its known version. A conflict says that another host was faster.
func (k *Keeper) put(ctx context.Context, d Digest, e entry, version uint64) {
	value, err := json.Marshal(e)
	if err != nil {
		k.o.Log.Error("held request not written", "digest", d.String(), "cause", err.Error())
		return
	}
	now, err := k.o.Store.Put(ctx, Kind, d.String(), version, value)
	switch {
	case err == nil:
		k.mu.Lock()
		if k.entries[d].version < now {
			k.entries[d] = stored{e, now, k.o.Clock.Now()}
			k.adopt(d, e)
		}
		k.mu.Unlock()
		k.o.Log.Info("held request written", "digest", d.String(), "released", e.Released, "times", e.Times, "version", now)
	case store.IsConflict(err):
		// the copy of the store will show what the other wrote
	case ctx.Err() == nil:
		k.o.Log.Warn("held request not written", "digest", d.String(), "cause", err.Error())
	}
}

// sweep releases entries whose time is over and removes those that are needed no more. The
// hosts that follow the store do it; the first one's write is the one that counts.
func (k *Keeper) sweep(ctx context.Context) {
	release, remove := k.due()
	for d, s := range release {
		s.Released = true
		k.put(ctx, d, s.entry, s.version)
	}
	for d, s := range remove {
		err := k.o.Store.Delete(ctx, Kind, d.String(), s.version)
		switch {
		case err == nil, store.IsConflict(err), errors.Is(err, store.ErrNotFound):
			k.mu.Lock()
			delete(k.answered, d)
			k.mu.Unlock()
		case ctx.Err() == nil:
			k.o.Log.Warn("entry of a released request not removed", "digest", d.String(), "cause", err.Error())
		}
	}
}

// due are the entries to be released and to be removed.
func (k *Keeper) due() (release, remove map[Digest]stored) {
	follows := k.o.FollowsStore()
	now := k.o.Clock.Now()
	release, remove = map[Digest]stored{}, map[Digest]stored{}
	k.mu.Lock()
	defer k.mu.Unlock()
	for d, at := range k.answered {
		if _, there := k.entries[d]; !there && now.Sub(at) > answeredFor {
			delete(k.answered, d)
		}
	}
	for d, s := range k.entries {
		age := now.Sub(s.seenAt)
		_, answered := k.answered[d]
		switch {
		case answered, follows && s.Released && age > forgetAfter:
			remove[d] = s
		case follows && !s.Released && age > s.holdFor():
			release[d] = s
		}
	}
	return release, remove
}
