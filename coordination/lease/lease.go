// Package lease keeps one named lease at the platform, so that usually only one
// host does a piece of work.
//
// A lease only chooses who tries. It makes no action safe: a holder that was
// paused goes on believing for a while, and two hosts may believe at the same
// time. Whatever the holder does must be made safe by a conditional update of
// the object that it changes. Calls to systems that check nothing are as safe as
// the time between Permit and the arrival of the call is short.
//
// A store that is restored from an older copy may have lost the last records of a lease. One that was
// written in an earlier epoch of the store says nothing of who holds it now: whoever still does by
// its own clock writes it again, and others wait as for a holder that is silent.
//
// No clocks of two hosts are compared. A waiter takes a lease over only after it
// has itself watched the object unchanged for the TTL; a holder gives up when its
// own clock says that the last renewal is a TTL old.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// DefaultTTL is used when Options.TTL is zero.
const DefaultTTL = 9 * time.Second

// callsPerTTL is how often a holder renews, and a waiter looks, in one TTL.
const callsPerTTL = 3

// ErrLost says that the lease isn't held any more.
var ErrLost = errors.New("the lease is held by another host or has lapsed; stop the work and acquire it again")

// Options are the parts and settings of a Lessor.
type Options struct {
	Store store.Store
	Clock state.Clock
	// Rand spreads the calls of several hosts; the Lessor alone uses it.
	Rand *rand.Rand
	// Name is the name of the lease object, for example planner.roster-llm.
	Name string
	// Holder is this host.
	Holder state.HostID
	// Machine names the machine that the host runs on, which runs one host at a time:
	// a lease that an earlier run there held is free, since that run has ended. "" if
	// it isn't known.
	Machine string
	// TTL is how long a lease that isn't renewed stays with its holder. Three
	// platform calls are made in each TTL, whatever the load. Default DefaultTTL.
	TTL time.Duration
	// CallGap is how far apart the calls of two holders must be, above their CallTime; with 0
	// nothing keeps them apart. It must leave time to renew, so be well below the TTL.
	CallGap time.Duration
	// MaxCallTime is the longest that a call under the lease takes from Permit on, until it has
	// arrived or never will.
	MaxCallTime time.Duration
	// PollInterval is how often a waiter looks, asked anew at each third of the TTL, so
	// that few hosts of many look often and others step in for them; nil stands for a
	// third of the TTL.
	PollInterval func() time.Duration
	// MayBeLost reports whether an object of the lease that doesn't exist may have been lost by
	// the store; nil stands for never.
	MayBeLost func() bool
	// Log gets acquisitions and losses; nil means none.
	Log *slog.Logger
}

// OptionError says which option is wrong.
type OptionError struct{ Option, Remedy string }

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("lease: option %s is missing or wrong; %s", e.Option, e.Remedy)
}

func (o *Options) validate() error {
	switch {
	case o.Store == nil:
		return &OptionError{"Store", "pass the platform's store"}
	case o.Clock == nil:
		return &OptionError{"Clock", "pass a clock"}
	case o.Rand == nil:
		return &OptionError{"Rand", "pass a seeded random source"}
	case o.Name == "":
		return &OptionError{"Name", "name the lease"}
	case o.Holder.Zero():
		return &OptionError{"Holder", "pass this host's id"}
	case o.TTL < 0:
		return &OptionError{"TTL", "use a positive duration"}
	case o.CallGap < 0 || o.MaxCallTime < 0 || (o.CallGap > 0 && o.CallGap+o.TTL/callsPerTTL >= o.TTL):
		return &OptionError{"Apart", "use at most half of the TTL, or a longer TTL"}
	}
	return nil
}

// record is the value of a lease object. Its version is what counts; the fields
// tell a host its own lease and operators who holds it.
type record struct {
	// Holder is zero after a release.
	Holder state.HostID `json:"holder"`
	// Nonce marks the last write, so that its writer recognises it.
	Nonce string `json:"nonce"`
	// Machine is that of the last holder; it stands after a release.
	Machine string `json:"machine,omitempty"`
	// Epoch is that of the version which the record was written over.
	Epoch uint64 `json:"epoch,omitempty"`
	// HoldOffMS is how long the term still had to keep silence at the write: a holder before it
	// may have called until then.
	HoldOffMS int64 `json:"owed_ms,omitempty"`
}

// holdOff is OwedMS as a duration.
func (r record) holdOff() time.Duration { return time.Duration(r.HoldOffMS) * time.Millisecond }

// predatesRestore reports whether the record, read at that version, is older than the store's last
// restoration, so that later records may be lost.
func (r record) predatesRestore(version uint64) bool { return r.Epoch < store.EpochOf(version) }

// Lease acquires and keeps one lease. It is used by one goroutine at a time, but
// for Held, Fence and First, which the work under the lease may ask.
type Lease struct {
	opts Options
	// seenVersion and seenAt are the last version found and when it was first found.
	seenVersion uint64
	seenAt      time.Time
	writes      uint64

	mu   sync.Mutex // guards term and permittedAt
	term term
	// permittedAt is when this run last permitted a call.
	permittedAt time.Time
}

// term is what is known of the time for which the lease is held.
type term struct {
	// version is the version of this host's own last write; 0 when not version.
	version uint64
	// fence is the version at which the present term began.
	fence uint64
	// first says that nobody held the lease before the present term, and reacquired that a
	// run on this machine did.
	first, reacquired bool
	// renewedAt is when the last successful write was started.
	renewedAt time.Time
	// holdOffUntil is when the first call of the term may be made.
	holdOffUntil time.Time
}

// currentTerm returns the currentTerm term.
func (l *Lease) currentTerm() term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// updateTerm changes the present term.
func (l *Lease) updateTerm(f func(t *term)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.term)
}

// New validates the options and returns a Lessor that holds nothing yet.
func New(o Options) (*Lease, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	if o.TTL == 0 {
		o.TTL = DefaultTTL
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Lease{opts: o}, nil
}

// Held reports whether this host believes to hold the lease, by its own clock.
func (l *Lease) Held() bool {
	t := l.currentTerm()
	return t.version != store.Absent && l.opts.Clock.Now().Sub(t.renewedAt) < l.opts.TTL
}

// TryAcquire looks at the lease once and takes it if it is free, released, this host's
// own, or was seen unchanged for the TTL. It makes at most three platform calls.
func (l *Lease) TryAcquire(ctx context.Context) (bool, error) {
	now := l.opts.Clock.Now()
	obj, err := l.opts.Store.Get(ctx, store.KindLease, l.opts.Name)
	if errors.Is(err, store.ErrNotFound) {
		return l.takeAbsent(ctx)
	}
	if err != nil {
		return false, err
	}
	var r record
	readable := json.Unmarshal(obj.Value, &r) == nil
	own := readable && l.writtenHere(r)
	if readable && r.predatesRestore(obj.Version) {
		if !l.expired(obj, now) {
			return false, nil
		}
		return l.take(ctx, obj.Version, false, l.opts.MaxCallTime)
	}
	switch {
	case readable && r.Holder == l.opts.Holder:
		return l.take(ctx, obj.Version, true, max(r.holdOff(), l.inFlightFor(now)))
	case own:
		return l.take(ctx, obj.Version, true, max(r.holdOff(), l.opts.MaxCallTime))
	case l.expired(obj, now):
		return l.take(ctx, obj.Version, false, l.opts.MaxCallTime)
	case readable && r.Holder.Zero():
		return l.take(ctx, obj.Version, false, max(r.holdOff(), l.opts.CallGap+l.opts.MaxCallTime))
	}
	return false, nil
}

// takeAbsent creates the lease's object. A holder whose record the store has lost may act until it
// hasn't been able to renew for the TTL.
func (l *Lease) takeAbsent(ctx context.Context) (bool, error) {
	if !l.mayBeLost() {
		return l.take(ctx, store.Absent, false, 0)
	}
	l.opts.Log.Warn("lease not at the store; it may have been lost", "lease", l.opts.Name, "silence", l.opts.TTL+l.opts.MaxCallTime)
	return l.take(ctx, store.Absent, false, l.opts.TTL+l.opts.MaxCallTime)
}

func (l *Lease) mayBeLost() bool { return l.opts.MayBeLost != nil && l.opts.MayBeLost() }

// inFlightFor is how long the last call of this run may still be on its way.
func (l *Lease) inFlightFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.permittedAt.Add(l.opts.MaxCallTime).Sub(now))
}

// writtenHere reports whether this run or an earlier one on this machine wrote the record last.
func (l *Lease) writtenHere(r record) bool {
	return r.Holder == l.opts.Holder || (l.opts.Machine != "" && r.Machine == l.opts.Machine)
}

// expired reports whether the lease's object has stood unchanged for a TTL.
func (l *Lease) expired(obj store.Object, now time.Time) bool {
	if obj.Version != l.seenVersion {
		l.seenVersion, l.seenAt = obj.Version, now
		return false
	}
	return now.Sub(l.seenAt) >= l.opts.TTL
}

// take writes the lease over version and keeps silence for so long. Losing the race to
// another host is no error.
func (l *Lease) take(ctx context.Context, version uint64, reacquired bool, holdOff time.Duration) (bool, error) {
	err := l.write(ctx, version, l.opts.Holder, holdOff)
	if err == nil {
		holdOffUntil, first := l.opts.Clock.Now().Add(holdOff), version == store.Absent && !l.mayBeLost()
		l.updateTerm(func(t *term) {
			t.fence, t.first, t.reacquired, t.holdOffUntil = t.version, first, reacquired, holdOffUntil
		})
	}
	if store.IsConflict(err) {
		return false, nil
	}
	return err == nil, err
}

// ErrNotPermitted says that no call may be made at this moment.
var ErrNotPermitted = errors.New("no call may be made under the lease now; try again later, while it is held")

// Permit returns the number of the present term if a call may leave at this moment. It is to
// be asked after the last wait before the bytes of the call leave.
//
// Calls of two terms are at least Apart apart, and those of the earlier one have arrived or
// never will when those of the later one begin: a holder makes none once its last renewal is
// TTL - Apart old. Others take the lease over once they have seen it unchanged for the TTL,
// and keep silence for CallTime then, as the next run on the same machine does, which may find
// a call of the last one still under way, and the same run while one of its own may be; a lease
// that was released is taken at once, so that silence is longer by Apart. The number is the
// version of the object at the write that began the term, which no other write has.
func (l *Lease) Permit() (fence uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, now := l.term, l.opts.Clock.Now()
	if t.version == store.Absent || now.Before(t.holdOffUntil) || now.Sub(t.renewedAt) >= l.opts.TTL-l.opts.CallGap {
		return 0, ErrNotPermitted
	}
	l.permittedAt = now
	return t.fence, nil
}

// PermitInTerm returns what allows a call to leave while the term of that number goes on.
func (l *Lease) PermitInTerm(fence uint64) (permit func() error) {
	return func() error {
		present, err := l.Permit()
		if err == nil && present != fence {
			err = ErrNotPermitted
		}
		return err
	}
}

// HoldingOff reports whether the present term's first call may not be made yet.
func (l *Lease) HoldingOff() bool { return l.holdOffLeft() > 0 }

// holdOffLeft is how long it is until then.
func (l *Lease) holdOffLeft() time.Duration {
	return max(0, l.currentTerm().holdOffUntil.Sub(l.opts.Clock.Now()))
}

// Fence is the version at which the present term began: a number that grows from
// holder to holder.
func (l *Lease) Fence() uint64 { return l.currentTerm().fence }

// Epoch is that of the store at this host's last write of the lease, 0 if it isn't held. What the
// holder wrote to the store in an earlier epoch may be lost.
func (l *Lease) Epoch() uint64 { return store.EpochOf(l.currentTerm().version) }

// FirstTerm reports whether nobody held the lease before the present term.
func (l *Lease) FirstTerm() bool { return l.currentTerm().first }

// Reacquired reports whether the last holder before the present term was a run on this machine,
// so that no other has held the lease since.
func (l *Lease) Reacquired() bool { return l.currentTerm().reacquired }

// Renew extends a held lease. It returns ErrLost if the object has changed, and
// the store's error if the platform gave no answer: the lease is then held until
// the TTL passes on this host's clock.
func (l *Lease) Renew(ctx context.Context) error {
	held := l.currentTerm().version
	if held == store.Absent {
		return ErrLost
	}
	err := l.write(ctx, held, l.opts.Holder, l.holdOffLeft())
	if !store.IsConflict(err) {
		return err
	}
	return l.renewAfterConflict(ctx)
}

// renewAfterConflict renews over an earlier write of this host whose answer was lost, or over what a restored
// store has instead of its last write.
func (l *Lease) renewAfterConflict(ctx context.Context) error {
	obj, err := l.opts.Store.Get(ctx, store.KindLease, l.opts.Name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var r record
	readable := err == nil && json.Unmarshal(obj.Value, &r) == nil
	own := readable && r.Holder == l.opts.Holder && !r.predatesRestore(obj.Version)
	if own || l.survivesRestore(obj, r, readable) {
		err = l.write(ctx, obj.Version, l.opts.Holder, l.holdOffLeft())
		if !store.IsConflict(err) {
			return err
		}
	}
	l.markNotHeld()
	return ErrLost
}

// survivesRestore reports whether the term goes on though the store has an earlier record, or none: the
// store was restored, and nobody else can have taken the lease while this host's last renewal isn't
// a TTL old. A term that is still silent doesn't: it may have begun beside one that was lost.
func (l *Lease) survivesRestore(obj store.Object, r record, readable bool) bool {
	if !l.Held() || l.HoldingOff() {
		return false
	}
	survives := readable && r.predatesRestore(obj.Version) || obj.Version == store.Absent && l.mayBeLost()
	if survives {
		l.opts.Log.Warn("lease written again at a restored store", "lease", l.opts.Name, "version", store.FormatVersion(obj.Version), "record_of", r.Holder.String())
	}
	return survives
}

// Release gives a held lease up, so that a waiter needn't wait for the TTL.
// Releasing a lease that isn't held is no error.
func (l *Lease) Release(ctx context.Context) error {
	held := l.currentTerm().version
	if held == store.Absent {
		return nil
	}
	err := l.write(ctx, held, state.HostID{}, l.holdOffLeft())
	if err == nil || store.IsConflict(err) {
		l.markNotHeld()
		return nil
	}
	return err
}

// markNotHeld forgets that the lease is held.
func (l *Lease) markNotHeld() { l.updateTerm(func(t *term) { t.version = store.Absent }) }

// ceilMilliseconds rounds up, so that no silence is forgotten.
func ceilMilliseconds(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// write stores a record over version, of a term that still has to keep silence for owed. An answer
// that was lost is read back and recognised by its nonce.
func (l *Lease) write(ctx context.Context, version uint64, holder state.HostID, holdOff time.Duration) error {
	started := l.opts.Clock.Now()
	l.writes++
	r := record{Holder: holder, Machine: l.opts.Machine, Epoch: store.EpochOf(version), HoldOffMS: ceilMilliseconds(holdOff), Nonce: fmt.Sprintf("%s/%d", l.opts.Holder, l.writes)}
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("lease %s: %w", l.opts.Name, err)
	}
	v, err := l.opts.Store.Put(ctx, store.KindLease, l.opts.Name, version, value)
	if store.IsUnknownOutcome(err) {
		v, err = l.readBack(ctx, r.Nonce, version, err)
	}
	if err != nil {
		return err
	}
	l.updateTerm(func(t *term) { t.version, t.renewedAt = v, started })
	return nil
}

func (l *Lease) readBack(ctx context.Context, nonce string, version uint64, cause error) (uint64, error) {
	obj, err := l.opts.Store.Get(ctx, store.KindLease, l.opts.Name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, cause
	}
	var r record
	if err == nil && json.Unmarshal(obj.Value, &r) == nil && r.Nonce == nonce && (version == store.Absent || !r.predatesRestore(obj.Version)) {
		return obj.Version, nil
	}
	if obj.Version == version {
		return 0, cause
	}
	return 0, &store.ConflictError{Kind: store.KindLease, Name: l.opts.Name, Expected: version, Actual: obj.Version}
}
