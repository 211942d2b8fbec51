package origin

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// Kind is the kind of the ledger's objects. Each is named after a service.
const Kind = "runner-versions"

// ledgerInterval is how often the ledger is compared with the history while no version comes or goes: a version is
// taken out within that time after Retention.
const ledgerInterval = 10 * time.Second

// ledgerRetryInterval is how soon a failed write is tried again, and how often a host that doesn't write checks whether it must.
// Until a note is written, a restart of all hosts loses its versions.
const ledgerRetryInterval = time.Second

// ledgerConflictLimit is how often a write that lost against another host's is repeated at once.
const ledgerConflictLimit = 3

// minWriters is how many hosts write the ledger, so that it is written while some of them don't reach the store. The
// first that does makes the others' writes needless. While a listed version isn't noted, their number doubles each second
// maxDoublings times, since the store may serve others.
const (
	minWriters   = 4
	maxDoublings = 4
)

// note is an object of the ledger.
type note struct {
	Versions []string `json:"versions"`
}

// LedgerOptions configures a Ledger. All fields are required.
type LedgerOptions struct {
	// Self is this host's peer address.
	Self    string
	Store   store.Store
	History *History
	// Writes reports whether this host is one of the given number of hosts that write. A host whose list of runners isn't up to date must
	// not: it would take versions that others have added out of notes.
	Writes func(writers int) bool
	// Epoch returns how often the store was restored: notes that were read or written before may be lost.
	Epoch func() uint64
	// Hosts returns the number of hosts, over which reads of a note are spread.
	Hosts func() int
	// OnNoted is told the listed versions of a service that the store has noted, whenever these change. It must not block.
	OnNoted func(service string, versions []string)
	Clock   state.Clock
	Log     *slog.Logger
}

// Ledger notes at the store which versions of each service were listed within Retention. A host that has just started can't know
// a version that has gone before, so that one version is noted as well: without a note, any may have been there. It is safe for
// concurrent use.
type Ledger struct {
	o    LedgerOptions
	wake chan struct{}
	// reads are the reads of notes under way, by service.
	reads sharedReads
	// compared are the last comparisons by service. Only Run uses them.
	compared map[string]comparison
	noted    notedVersions
	// askPeers returns the versions of a service that other hosts know as noted; see Registry.
	askPeers func(ctx context.Context, service string) []string
}

// comparison is the result of comparing a service's note with the history.
type comparison struct {
	// history are the versions that the history had, and noted those that the note had afterwards.
	history, noted []string
	at             time.Time
	epoch          uint64
}

// NewLedger returns an error if an option is missing.
func NewLedger(o LedgerOptions) (*Ledger, error) {
	if o.Self == "" || o.Store == nil || o.History == nil || o.Writes == nil || o.Epoch == nil || o.Hosts == nil || o.OnNoted == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("origin: a field of LedgerOptions is missing; set all of them")
	}
	return &Ledger{o: o, wake: make(chan struct{}, 1), compared: map[string]comparison{}, noted: newNotedVersions()}, nil
}

// Wake makes Run compare the ledger with the history at once.
func (l *Ledger) Wake() { signal(l.wake) }

// Recheck makes Run forget notes of a former epoch of the store and search for them again.
func (l *Ledger) Recheck() {
	signal(l.wake)
	signal(l.noted.begun)
}

// signal wakes the reader of a channel of capacity 1.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run writes the ledger while this host is one of those that do, and has listed versions noted, until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { l.runConfirm(ctx) }) // a write may take long
	for ctx.Err() == nil {
		interval := ledgerRetryInterval
		if l.o.Writes(l.noted.writers(l.o.Clock.Now())) && l.update(ctx) {
			interval = ledgerInterval
		}
		l.sleep(ctx, interval, l.wake)
	}
}

// sleep returns after the interval, when ctx ends, or when it is woken.
func (l *Ledger) sleep(ctx context.Context, interval time.Duration, wake <-chan struct{}) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = l.o.Clock.Sleep(wait, interval) // its end is the end of wait
	}()
	select {
	case <-wake:
	case <-wait.Done():
	}
}

// update writes the notes that differ from the history. It reports whether all of them are written.
func (l *Ledger) update(ctx context.Context) bool {
	complete := true
	for _, service := range l.o.History.Services() {
		versions := l.o.History.Versions(service, Retention)
		last, compared := l.compared[service]
		// A note is compared again in time: a store that was restored from an older copy may have lost it.
		if compared && slices.Equal(last.history, versions) && l.o.Clock.Now().Sub(last.at) < Retention && last.epoch == l.o.Epoch() {
			continue
		}
		if err := l.write(ctx, service, last.noted); err != nil {
			l.o.Log.Warn("versions of a service not written to the store; tried again", "service", service, "versions", versions, "after", ledgerRetryInterval, "cause", err.Error())
			complete = false
		}
	}
	return complete
}

// write brings the note of a service up to date, also if another host writes it at the same time. last are the versions that it had
// when this host last compared it.
func (l *Ledger) write(ctx context.Context, service string, last []string) error {
	for conflicts := 0; ; conflicts++ {
		c, err := l.tryWrite(ctx, service, last)
		if err == nil {
			l.compared[service] = c
		}
		if !store.IsConflict(err) || conflicts == ledgerConflictLimit {
			return err
		}
	}
}

// tryWrite sets the note of a service to the history. What other hosts have added to it becomes a part of the history first: this host
// may have started later, or its list may be behind. What they have taken out isn't put back unless it is listed, so that a version
// that is gone leaves the note for good.
func (l *Ledger) tryWrite(ctx context.Context, service string, last []string) (comparison, error) {
	epoch := l.o.Epoch()
	object, err := l.o.Store.Get(ctx, Kind, service)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return comparison{}, err
	}
	noted, _ := decodeNote(object.Value)
	l.o.History.Add(service, without(noted, last))
	history, listed := l.o.History.Versions(service, Retention), l.o.History.Versions(service, 0)
	takenOut := without(without(last, noted), listed)
	c := comparison{history: history, noted: without(history, takenOut), at: l.o.Clock.Now(), epoch: epoch}
	if err == nil && slices.Equal(noted, c.noted) {
		l.setNoted(service, object.Version, epoch, noted)
		return c, nil
	}
	value, err := json.Marshal(note{c.noted})
	if err != nil {
		return comparison{}, err
	}
	written, err := l.o.Store.Put(ctx, Kind, service, object.Version, value)
	if err != nil {
		return comparison{}, err
	}
	l.setNoted(service, written, epoch, c.noted)
	l.o.Log.Info("versions of a service written to the store", "service", service, "versions", c.noted)
	return c, nil
}

// without returns the versions that aren't among the excluded ones.
func without(versions, excluded []string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return slices.Contains(excluded, v) })
}

// decodeNote returns the versions in a note; an object of another writer has none.
func decodeNote(value []byte) ([]string, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var n note
	err := json.Unmarshal(value, &n)
	return n.Versions, err
}

// Read returns the versions that are noted for a service, or store.ErrNotFound if nobody has noted them yet. Reads of
// a service at the same time share calls: callers take their streams up all at once when hosts were killed.
func (l *Ledger) Read(ctx context.Context, service string) ([]string, error) {
	return l.reads.do(ctx, service, func() ([]string, error) { return l.readNote(service) })
}

// readNote reads a service's note from the store.
func (l *Ledger) readNote(service string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	epoch := l.o.Epoch()
	object, err := l.o.Store.Get(ctx, Kind, service)
	if err != nil {
		return nil, err
	}
	versions, err := decodeNote(object.Value)
	if err == nil {
		l.setNoted(service, object.Version, epoch, versions)
	}
	return versions, err
}
