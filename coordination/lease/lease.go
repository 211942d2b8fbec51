// Package lease acquires and renews one named lease in the store, so that usually only one host
// does a piece of work.
//
// A lease only elects the host that does the work. It doesn't make an action safe: a holder that was
// paused may still believe that it holds the lease after another host has taken it over, so two hosts
// may believe so at the same time. Every action of a holder must therefore be made safe by a
// conditional update of the object that it changes. A call to a system that checks no condition is
// only as safe as the time between Permit and the arrival of the call is short.
//
// A store that is restored from an older copy may have lost the last records of a lease. A record
// written in an earlier epoch of the store doesn't tell who holds the lease now: a host that still
// holds it by its own clock writes the record again, and other hosts wait for the TTL, as they do for
// a holder that doesn't renew.
//
// The clocks of two hosts are never compared. A waiter takes a lease over only after it has itself
// observed the object unchanged for the TTL; a holder gives the lease up when its own clock says
// that the last renewal is a TTL old.
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

// DefaultTTL applies if Options.TTL is zero.
const DefaultTTL = 9 * time.Second

// callsPerTTL is how often a holder renews, and a waiter polls, in one TTL.
const callsPerTTL = 3

// ErrLost is returned if the lease isn't held any more.
var ErrLost = errors.New("the lease is held by another host or has lapsed; stop the work and acquire it again")

// Options configure a Lease. Store, Clock, Rand, Name and Holder are required.
type Options struct {
	Store store.Store
	Clock state.Clock
	// Rand jitters the calls of the hosts. It must not be shared: only the Lease may use it.
	Rand *rand.Rand
	// Name is the name of the lease object, for example planner.roster-llm.
	Name string
	// Holder identifies this run of this host.
	Holder state.HostID
	// Machine names the machine of this host, "" if it isn't known. A machine runs one host at a
	// time, so a lease that an earlier run on it held is free: that run has ended.
	Machine string
	// TTL is how long a lease that isn't renewed stays with its holder. A holder calls the store
	// three times in each TTL, whatever the load. Default DefaultTTL.
	TTL time.Duration
	// CallGap is the minimum time between calls of two holders, in addition to MaxCallTime; 0
	// enforces none. It must leave time to renew, so it must be well below the TTL.
	CallGap time.Duration
	// MaxCallTime is the longest time from Permit until a call under the lease has arrived or can
	// no longer arrive.
	MaxCallTime time.Duration
	// PollInterval returns how often a waiter polls the lease. It is evaluated again at each third
	// of the TTL, so that of many hosts only a few poll often and others can replace them. If nil,
	// a waiter polls at each third of the TTL.
	PollInterval func() time.Duration
	// MayBeLost reports whether a lease object that doesn't exist may have been lost by the store;
	// nil means never.
	MayBeLost func() bool
	// Log receives acquisitions and losses; nil discards them.
	Log *slog.Logger
}

// OptionError reports an option that is missing or invalid, and the remedy.
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
		return &OptionError{"CallGap", "use at most half of the TTL, or a longer TTL"}
	}
	return nil
}

// record is the value of a lease object. Conditional updates rely on the object's version only; the
// fields let a host recognise its own lease and show operators the holder.
type record struct {
	// Holder is the run that holds the lease; it is zero after a release.
	Holder state.HostID `json:"holder"`
	// Nonce identifies the write, so that its writer recognises it.
	Nonce string `json:"nonce"`
	// Machine is that of the last holder; it is kept after a release.
	Machine string `json:"machine,omitempty"`
	// Epoch is the store's epoch of the version that the record was written over. It is 0 for a new
	// object: if the store was ever restored, such a record counts as older until it is renewed.
	Epoch uint64 `json:"epoch,omitempty"`
	// HoldOffMS is the part of the term's hold-off that was left at the write, in milliseconds: a
	// previous holder may have made calls until then.
	HoldOffMS int64 `json:"owed_ms,omitempty"`
}

// holdOff is HoldOffMS as a duration.
func (r record) holdOff() time.Duration { return time.Duration(r.HoldOffMS) * time.Millisecond }

// predatesRestore reports whether the record, read at version, was written before the store's last
// restoration, so that later records may be lost.
func (r record) predatesRestore(version uint64) bool { return r.Epoch < store.EpochOf(version) }

// Lease acquires and renews one lease for this host. It must be used by one goroutine at a time, except
// for Held, Permit, PermitInTerm, HoldingOff, Fence, Epoch, FirstTerm and Reacquired, which are safe
// for concurrent use.
type Lease struct {
	opts Options
	// seenVersion is the version of the object at the last poll; seenAt is when a poll first found it.
	seenVersion uint64
	seenAt      time.Time
	// writes counts the writes of this run; it makes their nonces unique.
	writes uint64

	mu   sync.Mutex // guards term and permittedAt
	term term
	// permittedAt is when this run last permitted a call.
	permittedAt time.Time
}

// term is the time from one acquisition of the lease to its loss or release, as this host knows it.
type term struct {
	// version is the version of this host's last write; store.Absent if the lease isn't held.
	version uint64
	// fence is the version of the object at the write that began the term.
	fence uint64
	// first is set if nobody held the lease before the term; reacquired is set if a run on this
	// machine was the last holder before it.
	first, reacquired bool
	// renewedAt is when the last successful write was started.
	renewedAt time.Time
	// holdOffUntil is the end of the hold-off, before which the term permits no calls.
	holdOffUntil time.Time
}

// currentTerm returns a copy of the current term.
func (l *Lease) currentTerm() term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// updateTerm applies f to the current term.
func (l *Lease) updateTerm(f func(t *term)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.term)
}

// New validates the options and returns a Lease that isn't held yet.
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

// Held reports whether this host holds the lease by its own clock.
func (l *Lease) Held() bool {
	t := l.currentTerm()
	return t.version != store.Absent && l.opts.Clock.Now().Sub(t.renewedAt) < l.opts.TTL
}

// TryAcquire reads the lease once and takes it if it is free, released, last held by this machine, or
// was observed unchanged for the TTL. A record from before a restoration of the store is only taken
// over for the last reason. It makes at most three calls to the store.
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

// takeAbsent creates the lease object. If the store may have lost the object, a holder whose record
// was lost may act until it hasn't been able to renew for the TTL, so the hold-off covers that time.
func (l *Lease) takeAbsent(ctx context.Context) (bool, error) {
	if !l.mayBeLost() {
		return l.take(ctx, store.Absent, false, 0)
	}
	l.opts.Log.Warn("lease object not found; the store may have lost it", "lease", l.opts.Name, "silence", l.opts.TTL+l.opts.MaxCallTime)
	return l.take(ctx, store.Absent, false, l.opts.TTL+l.opts.MaxCallTime)
}

func (l *Lease) mayBeLost() bool { return l.opts.MayBeLost != nil && l.opts.MayBeLost() }

// inFlightFor returns how long the last call that this run permitted may still be in flight.
func (l *Lease) inFlightFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.permittedAt.Add(l.opts.MaxCallTime).Sub(now))
}

// writtenHere reports whether this run or an earlier one on this machine wrote the record.
func (l *Lease) writtenHere(r record) bool {
	return r.Holder == l.opts.Holder || (l.opts.Machine != "" && r.Machine == l.opts.Machine)
}

// expired reports whether this host has observed the lease object unchanged for a TTL. The observation
// starts when a poll first finds the object's version.
func (l *Lease) expired(obj store.Object, now time.Time) bool {
	if obj.Version != l.seenVersion {
		l.seenVersion, l.seenAt = obj.Version, now
		return false
	}
	return now.Sub(l.seenAt) >= l.opts.TTL
}

// take writes the lease over version and begins a term with the given hold-off. Losing the race to
// another host isn't an error.
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

// ErrNotPermitted is returned if no call may be made at this moment.
var ErrNotPermitted = errors.New("no call may be made under the lease now; try again later, while it is held")

// Permit returns the fence of the current term if a call may be sent at this moment, else
// ErrNotPermitted. It must be called after the last wait before the bytes of the call are sent.
//
// Calls of two terms are at least CallGap apart, and the calls of the earlier term have arrived, or
// can no longer arrive, before those of the later one begin:
//
//   - A holder sends no call once its last renewal is TTL - CallGap old.
//   - A host that takes the lease over has observed it unchanged for the TTL, and then holds off for
//     MaxCallTime.
//   - The next run on the same machine holds off for MaxCallTime, since a call of the previous run may
//     be in flight. The same run holds off while a call of its own may be.
//   - A released lease can be taken at once, so the hold-off is longer by CallGap.
//   - A term after a release, or on the same machine, also waits for the end of the previous hold-off.
//
// The fence is the version of the object at the write that began the term; no other write has the
// same version.
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

// PermitInTerm returns a function that permits a call as Permit does, but only while the term with
// that fence is the current one. It returns ErrNotPermitted otherwise.
func (l *Lease) PermitInTerm(fence uint64) (permit func() error) {
	return func() error {
		current, err := l.Permit()
		if err == nil && current != fence {
			err = ErrNotPermitted
		}
		return err
	}
}

// HoldingOff reports whether the current term is still in its hold-off, so that no call is permitted.
func (l *Lease) HoldingOff() bool { return l.holdOffLeft() > 0 }

// holdOffLeft returns the rest of the current term's hold-off, 0 once it is over.
func (l *Lease) holdOffLeft() time.Duration {
	return max(0, l.currentTerm().holdOffUntil.Sub(l.opts.Clock.Now()))
}

// Fence returns the version of the object at the write that began the current term. It grows from
// holder to holder.
func (l *Lease) Fence() uint64 { return l.currentTerm().fence }

// Epoch returns the store's epoch at this host's last write of the lease, 0 if the lease isn't held.
// What the holder wrote to the store in an earlier epoch may be lost.
func (l *Lease) Epoch() uint64 { return store.EpochOf(l.currentTerm().version) }

// FirstTerm reports whether nobody held the lease before the current term.
func (l *Lease) FirstTerm() bool { return l.currentTerm().first }

// Reacquired reports whether the last holder before the current term was a run on this machine, so
// that no other machine has held the lease in between.
func (l *Lease) Reacquired() bool { return l.currentTerm().reacquired }

// Renew extends a held lease. It returns ErrLost if another write has replaced this host's, and the
// store's error if the store gave no answer: the lease then stays held until the TTL passes on this
// host's clock.
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

// renewAfterConflict renews the lease if the conflicting object is an earlier write of this host whose
// answer was lost, or an earlier record that a restored store has instead of its last write.
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

// survivesRestore reports whether the term continues although the store has an earlier record or none:
// the store was restored, and no other host can have taken the lease while this host's last renewal is
// younger than the TTL. A term in its hold-off doesn't continue: a term that the store has lost may
// have begun at the same time.
func (l *Lease) survivesRestore(obj store.Object, r record, readable bool) bool {
	if !l.Held() || l.HoldingOff() {
		return false
	}
	survives := readable && r.predatesRestore(obj.Version) || obj.Version == store.Absent && l.mayBeLost()
	if survives {
		l.opts.Log.Warn("lease rewritten after a restoration of the store", "lease", l.opts.Name, "version", store.FormatVersion(obj.Version), "record_of", r.Holder.String())
	}
	return survives
}

// Release gives up a held lease, so that a waiter needn't wait for the TTL. Releasing a lease that
// isn't held isn't an error.
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

// markNotHeld records that the lease isn't held any more.
func (l *Lease) markNotHeld() { l.updateTerm(func(t *term) { t.version = store.Absent }) }

// ceilMilliseconds rounds up, so that a stored hold-off is never shorter than the real one.
func ceilMilliseconds(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// write stores a record over version with what is left of the term's hold-off. If the answer is lost,
// the object is read back and the write recognised by its nonce.
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

// readBack reads the object after a write whose outcome is unknown. It returns the new version if the
// write took effect, cause if the object is unchanged or can't be read, and a conflict otherwise. A
// write that a restoration may have followed counts as a conflict, since later records may be lost;
// for a new object this can't be told, as its record has epoch 0.
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
