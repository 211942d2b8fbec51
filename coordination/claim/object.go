package claim

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
)

const (
	objectFormat = 1
	// maxObjectBytes stays below the platform's megabyte, because sizes are
	// estimated from above without encoding.
	maxObjectBytes = 900_000
	// rowBytes and holderBytes are upper bounds of the encoded sizes without
	// the strings in them.
	rowBytes    = 96
	holderBytes = 16
)

// object is one claim object in memory. Once shared through the cache it is
// never changed; clone it first.
//
// Invariants: a key is in at most one object of its bucket's chain. New rows go
// only into the first object that isn't sealed, and a sealed object never takes
// a row again; so whoever has read every object before it, and finds neither the
// key nor an unsealed one there, knows that the key can't appear there later.
// The sum of estimated sizes, with room for the answer of every claimed row,
// stays below maxObjectBytes, so that an outcome always fits.
type object struct {
	version uint64
	sealed  bool
	holders []state.HostID
	rows    []row
	index   map[uuid.UUID]int
	bytes   int
}

// row is a record as stored; the answer's fields are zero unless it is done.
type row struct {
	Key         uuid.UUID
	State       uint8
	Holder      uint32
	Seq         uint64
	Customer    string
	Fingerprint uint64
	ClaimedAtMs int64
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// wireObject is the stored form of an object.
type wireObject struct {
	Format  uint8
	Sealed  bool
	Holders []wireHolder
	Rows    []row
}

type wireHolder struct {
	Name        string
	Incarnation string
}

// The stored numbers of the states.
var rowStates = []state.ClaimState{"", state.ClaimClaimed, state.ClaimDone, state.ClaimNotRun, state.ClaimUnknown}

const (
	rowClaimed uint8 = iota + 1
	rowDone
	rowNotRun
	rowUnknown
)

func newObject() *object { return &object{version: store.Absent, index: map[uuid.UUID]int{}} }

func (o *object) clone() *object {
	n := *o
	n.holders = slices.Clone(o.holders)
	n.rows = slices.Clone(o.rows)
	n.index = maps.Clone(o.index)
	return &n
}

func (o *object) encode() ([]byte, error) {
	w := wireObject{Format: objectFormat, Sealed: o.sealed, Rows: o.rows}
	for _, h := range o.holders {
		w.Holders = append(w.Holders, wireHolder{Name: h.Name, Incarnation: h.Incarnation})
	}
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(&w); err != nil {
		return nil, fmt.Errorf("a claim object can't be encoded; report it: %w", err)
	}
	return buf.Bytes(), nil
}

func decodeObject(version uint64, value []byte, reserve int) (*object, error) {
	var w wireObject
	if err := packed.Decode(value, &w); err != nil {
		return nil, fmt.Errorf("%w: %v", errUnreadable, err)
	}
	if w.Format != objectFormat {
		return nil, fmt.Errorf("%w: format %d", errUnreadable, w.Format)
	}
	o := newObject()
	o.version = version
	o.sealed = w.Sealed
	for _, h := range w.Holders {
		o.addHolder(state.HostID{Name: h.Name, Incarnation: h.Incarnation})
	}
	for _, r := range w.Rows {
		if int(r.Holder) >= len(o.holders) || r.State == 0 || int(r.State) >= len(rowStates) {
			return nil, fmt.Errorf("%w: row of %s", errUnreadable, r.Key)
		}
		o.index[r.Key] = len(o.rows)
		o.rows = append(o.rows, r)
		o.bytes += r.size(reserve)
	}
	return o, nil
}

// size is an upper bound of the row's encoded size, with room for an answer
// while it is claimed.
func (r *row) size(reserve int) int {
	n := rowBytes + len(r.Customer)
	if r.State == rowClaimed {
		return n + reserve
	}
	return n + len(r.ContentType) + len(r.Body)
}

func (o *object) addHolder(h state.HostID) uint32 {
	if i := slices.Index(o.holders, h); i >= 0 {
		return uint32(i)
	}
	o.holders = append(o.holders, h)
	o.bytes += holderBytes + len(h.Name) + len(h.Incarnation)
	return uint32(len(o.holders) - 1)
}

// record returns the record of a key.
func (o *object) record(k uuid.UUID) (Record, bool) {
	i, ok := o.index[k]
	if !ok {
		return Record{}, false
	}
	r := &o.rows[i]
	rec := Record{Seq: r.Seq, Claim: state.Claim{
		Key: k.String(), Customer: r.Customer, State: rowStates[r.State], Holder: o.holders[r.Holder],
		Fingerprint: r.Fingerprint, ClaimedAt: time.UnixMilli(r.ClaimedAtMs).UTC(),
	}}
	if r.State == rowDone {
		rec.Claim.Answer = &state.RecordedAnswer{
			Status: r.Status, ContentType: r.ContentType, Body: r.Body, Truncated: r.Truncated,
		}
	}
	return rec, true
}

// applied is what an entry did to an object.
type applied struct {
	result  Result
	changed bool
	// next is true when the key's record, if any, is further down the chain.
	next bool
}

// limits are the sizes that an object keeps to.
type limits struct {
	// reserve is the room kept for the answer of a claimed row.
	reserve int
	// objectBytes is the size at which an object is sealed.
	objectBytes int
	skip        skip
}

// apply carries one entry out on o.
func (o *object) apply(e Entry, l limits) applied {
	if i, ok := o.index[e.Key]; ok {
		changed := o.finish(i, e, l.reserve)
		rec, _ := o.record(e.Key)
		return applied{result: Result{Code: CodeRecord, Record: rec}, changed: changed}
	}
	if o.sealed {
		return applied{next: true}
	}
	switch e.Op {
	case OpClaim:
		return o.insert(e, rowClaimed, l)
	case OpVoid:
		return o.insert(e, rowNotRun, l)
	default:
		return applied{result: Result{Code: CodeAbsent}}
	}
}

// finish moves the row from claimed to the entry's state, if the entry belongs
// to the Begin that made the row, and reports whether it did.
func (o *object) finish(i int, e Entry, reserve int) bool {
	r := &o.rows[i]
	if r.State != rowClaimed || o.holders[r.Holder] != e.Holder || r.Seq != e.Seq {
		return false
	}
	before := r.size(reserve)
	switch e.Op {
	case OpDone:
		r.State = rowDone
		if e.Answer != nil {
			r.Status, r.ContentType, r.Body, r.Truncated = e.Answer.Status, e.Answer.ContentType, e.Answer.Body, e.Answer.Truncated
		}
	case OpNotRun, OpVoid:
		r.State = rowNotRun
	case OpUnknown:
		r.State = rowUnknown
	default:
		return false
	}
	o.bytes += r.size(reserve) - before
	return true
}

// insert adds a row, or seals the object when the row doesn't fit.
func (o *object) insert(e Entry, st uint8, l limits) applied {
	r := row{
		Key: e.Key, State: st, Seq: e.Seq, Customer: e.Customer,
		Fingerprint: e.Fingerprint, ClaimedAtMs: e.ClaimedAt.UnixMilli(),
	}
	need := r.size(l.reserve) + holderBytes + len(e.Holder.Name) + len(e.Holder.Incarnation)
	if o.bytes+need > l.objectBytes {
		if l.skip.seal {
			return applied{next: true}
		}
		o.sealed = true
		return applied{changed: true, next: true}
	}
	r.Holder = o.addHolder(e.Holder)
	o.index[e.Key] = len(o.rows)
	o.rows = append(o.rows, r)
	o.bytes += r.size(l.reserve)
	rec, _ := o.record(e.Key)
	return applied{result: Result{Code: CodeRecord, Record: rec}, changed: true}
}
