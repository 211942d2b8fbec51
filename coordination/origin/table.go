package origin

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Retention is how long streams are remembered. It exceeds the time for which callers take streams
// up, which their deadlines and the time-outs of routes bound (15 s at the known sites).
const Retention = time.Minute

// Record tells which version began a stream.
type Record struct {
	// ID is the ID of the caller's attempt that brought the first event.
	ID, Service, Version string
	// Attempt counts the host's attempts at runners for that ID. A later one replaces an earlier one, which
	// brought no event; hosts of earlier releases write those as well.
	Attempt int
}

// Table holds records for Retention. It is safe for concurrent use.
type Table struct {
	clock state.Clock
	since time.Time

	mu      sync.Mutex
	records map[string]*kept
	// oldest and newest are the ends of a list in the order of kept.until.
	oldest, newest *kept
}

// kept is a record in the table's list.
type kept struct {
	Record
	until time.Time
	next  *kept
}

// NewTable returns an empty table.
func NewTable(clock state.Clock) *Table {
	return &Table{clock: clock, since: clock.Now(), records: map[string]*kept{}}
}

// Put adds a record, unless there is one of a later attempt.
func (t *Table) Put(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.removeExpired(now)
	if known := t.records[r.ID]; known != nil && known.Attempt > r.Attempt {
		return
	}
	k := &kept{Record: r, until: now.Add(Retention)}
	t.records[r.ID] = k
	if t.newest == nil {
		t.oldest = k
	} else {
		t.newest.next = k
	}
	t.newest = k
}

// removeExpired removes the records whose time is over; t.mu is held.
func (t *Table) removeExpired(now time.Time) {
	for t.oldest != nil && !now.Before(t.oldest.until) {
		if t.records[t.oldest.ID] == t.oldest {
			delete(t.records, t.oldest.ID)
		}
		t.oldest = t.oldest.next
	}
	if t.oldest == nil {
		t.newest = nil
	}
}

// Get returns the record of a stream, and whether there is one.
func (t *Table) Get(id string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(t.clock.Now())
	k := t.records[id]
	if k == nil {
		return Record{}, false
	}
	return k.Record, true
}

// OfService returns the records of a service.
func (t *Table) OfService(service string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(t.clock.Now())
	var out []Record
	for k := t.oldest; k != nil; k = k.next {
		if k.Service == service && t.records[k.ID] == k {
			out = append(out, k.Record)
		}
	}
	return out
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Age returns for how long the table has been kept.
func (t *Table) Age() time.Duration { return t.clock.Now().Sub(t.since) }
