package origin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minConfirmInterval and maxConfirmInterval bound the time between two reads of a note that doesn't name a listed version yet.
	minConfirmInterval = 50 * time.Millisecond
	maxConfirmInterval = time.Second
	// confirmSpread is the time for each host over which the hosts' first reads of a note are spread: 1,000 reads a second, of the
	// 2,000 that the store takes.
	confirmSpread = time.Millisecond
	// doublingTime is the time in which the number of writers doubles.
	doublingTime = time.Second
	// maxNotedWait is how long after the search for a service's note began streams wait for it.
	maxNotedWait = 2 * time.Second
	// publishDelay is more than it takes to tell this host's choice of runners what is noted.
	publishDelay = 5 * time.Millisecond
)

// notedVersions are the listed versions that the store has noted, as far as this host knows. A version may begin a stream that can be
// taken up elsewhere only once it is noted: all hosts may lose their memory at once, and a version that was noted nowhere would
// leave no trace.
type notedVersions struct {
	mu    sync.Mutex
	epoch uint64
	// known are the versions in each service's note, and revisions the versions of these objects.
	known     map[string][]string
	revisions map[string]uint64
	// pending are the services with a listed version that isn't noted.
	pending map[string]*pendingNote
	// changed is closed when known changes, and begun wakes runConfirm when a search begins.
	changed, begun chan struct{}
}

// pendingNote is the search for a service's note.
type pendingNote struct {
	since time.Time
	// next is when the note is read again, and interval the time until the read after that.
	next     time.Time
	interval time.Duration
}

func newNotedVersions() notedVersions {
	return notedVersions{known: map[string][]string{}, revisions: map[string]uint64{}, pending: map[string]*pendingNote{}, changed: make(chan struct{}), begun: make(chan struct{}, 1)}
}

// writers returns the number of hosts that write the ledger.
func (n *notedVersions) writers(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := minWriters
	for _, p := range n.pending {
		out = max(out, minWriters<<min(now.Sub(p.since)/doublingTime, maxDoublings))
	}
	return out
}

// setNoted records the content of a service's note, which was read or written in an epoch of the store.
func (l *Ledger) setNoted(service string, revision, epoch uint64, versions []string) {
	n := &l.noted
	n.mu.Lock()
	defer n.mu.Unlock()
	l.dropFormerEpoch()
	if epoch != n.epoch || revision < n.revisions[service] {
		return // overtaken
	}
	n.revisions[service] = revision
	l.setKnown(service, versions)
}

// setKnown records the versions in a service's note; l.noted.mu is held.
func (l *Ledger) setKnown(service string, versions []string) {
	n := &l.noted
	if slices.Equal(n.known[service], versions) {
		return
	}
	n.known[service] = slices.Clone(versions)
	close(n.changed)
	n.changed = make(chan struct{})
	l.o.OnNoted(service, l.listedAndNoted(service))
	if len(l.unnoted(service)) == 0 {
		delete(n.pending, service)
	}
}

// dropFormerEpoch forgets notes that a restored store may have lost; l.noted.mu is held.
func (l *Ledger) dropFormerEpoch() {
	n := &l.noted
	if epoch := l.o.Epoch(); epoch != n.epoch {
		n.epoch = epoch
		clear(n.revisions)
		for service := range maps.Clone(n.known) {
			l.setKnown(service, nil)
		}
		l.seek()
	}
}

// listedAndNoted returns the listed versions of a service that are noted; l.noted.mu is held.
func (l *Ledger) listedAndNoted(service string) []string {
	listed := l.o.History.Versions(service, 0)
	return without(listed, without(listed, l.noted.known[service]))
}

// unnoted returns the listed versions of a service that aren't noted; l.noted.mu is held.
func (l *Ledger) unnoted(service string) []string {
	return without(l.o.History.Versions(service, 0), l.noted.known[service])
}

// Noted returns the listed versions of a service that the store has noted, as far as this host knows.
func (l *Ledger) Noted(service string) []string {
	l.noted.mu.Lock()
	defer l.noted.mu.Unlock()
	l.dropFormerEpoch()
	return l.listedAndNoted(service)
}

// retain takes a new list. Versions that aren't listed any more must be noted again when they return: their notes may have been
// taken out meanwhile.
func (l *Ledger) retain(list Listing) {
	n := &l.noted
	n.mu.Lock()
	defer n.mu.Unlock()
	l.dropFormerEpoch()
	for service, known := range maps.Clone(n.known) {
		l.setKnown(service, without(known, without(known, list[service])))
	}
	for service := range n.pending {
		if len(list[service]) == 0 {
			delete(n.pending, service)
		}
	}
	l.seek()
}

// seek begins the search for the notes of services with a listed version that isn't noted, and ends that of others; l.noted.mu is held.
func (l *Ledger) seek() {
	n, now := &l.noted, l.o.Clock.Now()
	for _, service := range l.o.History.Services() {
		switch {
		case len(l.unnoted(service)) == 0:
			delete(n.pending, service)
		case n.pending[service] == nil:
			n.pending[service] = &pendingNote{since: now, next: now.Add(l.firstRead(service)), interval: minConfirmInterval}
			signal(n.begun)
		}
	}
}

// firstRead returns when this host first reads a service's note, after a version was listed.
func (l *Ledger) firstRead(service string) time.Duration {
	spread := confirmSpread * time.Duration(max(1, l.o.Hosts()))
	return time.Duration(xxhash.Sum64String(l.o.Self+service) % uint64(spread))
}

// runConfirm searches for notes that name the listed versions until ctx ends.
func (l *Ledger) runConfirm(ctx context.Context) {
	for ctx.Err() == nil {
		next := l.confirm(ctx)
		if next == 0 {
			next = ledgerInterval // a restored store may have lost notes
		}
		l.sleep(ctx, next, l.noted.begun)
	}
}

// confirm reads the notes that don't name a listed version yet and are due, and returns the time until the next one is; 0 if all
// are noted.
func (l *Ledger) confirm(ctx context.Context) time.Duration {
	n, now := &l.noted, l.o.Clock.Now()
	var due []string
	n.mu.Lock()
	l.dropFormerEpoch()
	for service, p := range n.pending {
		if !now.Before(p.next) {
			due = append(due, service)
			p.next, p.interval = now.Add(p.interval), min(2*p.interval, maxConfirmInterval)
		}
	}
	n.mu.Unlock()
	for _, service := range due {
		if _, err := l.Read(ctx, service); err != nil {
			l.addNoted(service, l.askPeers(ctx, service))
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	next := time.Duration(0)
	for _, p := range n.pending {
		if left := max(p.next.Sub(l.o.Clock.Now()), time.Millisecond); next == 0 || left < next {
			next = left
		}
	}
	return next
}

// addNoted records versions that another host knows as noted.
func (l *Ledger) addNoted(service string, versions []string) {
	l.noted.mu.Lock()
	defer l.noted.mu.Unlock()
	if further := without(versions, l.noted.known[service]); len(further) > 0 {
		l.setKnown(service, slices.Concat(l.noted.known[service], further))
	}
}

// AwaitNoted waits until the store has noted a listed version of a service, for as long as streams wait for that. It reports false
// if they wait no longer.
func (l *Ledger) AwaitNoted(ctx context.Context, service string) bool {
	n := &l.noted
	n.mu.Lock()
	changed, p, isNoted := n.changed, n.pending[service], len(l.listedAndNoted(service)) > 0
	n.mu.Unlock()
	left := publishDelay
	switch {
	case isNoted:
	case p == nil:
		left = maxNotedWait // the search is about to begin: the choice of runners has the list a moment earlier
	default:
		left = maxNotedWait - l.o.Clock.Now().Sub(p.since)
	}
	if left <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return isNoted
	}
}

// askNoted asks other hosts which versions of a service are noted.
func (r *Registry) askNoted(ctx context.Context, service string) []string {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	l := &lookup{r: r, q: Query{Service: service}}
	replicas := r.o.Replicas(service)
	l.ask(ctx, replicas)
	var noted []string
	for range replicas {
		if a := <-l.answers; a.err == nil {
			noted = append(noted, without(a.Noted, noted)...)
		}
	}
	return noted
}
