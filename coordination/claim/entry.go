package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/thymerack/thymerack/state"
)

// Op is what an Entry asks for.
type Op uint8

// The operations on a record. Each is idempotent, and harmless when it arrives
// late or twice: it changes an existing record only from claimed, and only for
// the Begin named by Holder and Seq.
const (
	// OpClaim creates the record if the key has none.
	OpClaim Op = iota + 1
	// OpDone records the answer.
	OpDone
	// OpNotRun records that no byte of the call was sent.
	OpNotRun
	// OpUnknown records that the outcome isn't known, or that the holder is gone.
	OpUnknown
	// OpVoid withdraws a claim that may or may not have been written and that
	// was never dispatched. It writes not_run also when the key has no record,
	// which keeps a late copy of the claim from taking effect.
	OpVoid
)

// Entry is one change of one record, as it travels to the host that writes it.
type Entry struct {
	Op          Op        `msgpack:"o"`
	Key         uuid.UUID `msgpack:"k"`
	Customer    string    `msgpack:"t"`
	Fingerprint uint64    `msgpack:"f"`
	// Holder and Seq name one Begin; together they are the nonce by which a
	// write whose answer was lost is recognised.
	Holder    state.HostID          `msgpack:"h"`
	Seq       uint64                `msgpack:"s"`
	ClaimedAt time.Time             `msgpack:"c"`
	Answer    *state.RecordedAnswer `msgpack:"a"`
}

// Code tells what is known after an Entry.
type Code uint8

// The codes of a Result.
const (
	// CodeRecord: Record is what the platform holds for the key.
	CodeRecord Code = iota + 1
	// CodeAbsent: the platform holds no record of the key.
	CodeAbsent
	// CodeUnavailable: the entry was not written and won't be.
	CodeUnavailable
	// CodeUncertain: the entry may have been written or may yet be.
	CodeUncertain
)

// Result is what became of an Entry.
type Result struct {
	Code   Code   `msgpack:"c"`
	Record Record `msgpack:"r"`
	// Cause says why, for the last two codes.
	Cause string `msgpack:"e"`

	// err is the cause as an error, where it arose on this host.
	err error
}

// Record is a claim with the number of the Begin that made it.
type Record struct {
	Claim state.Claim `msgpack:"c"`
	Seq   uint64      `msgpack:"s"`
}

// madeBy reports whether the Begin that e belongs to made the record.
func (r Record) madeBy(e Entry) bool {
	return r.Claim.Holder == e.Holder && r.Seq == e.Seq
}

func unavailable(err error) Result {
	return Result{Code: CodeUnavailable, Cause: err.Error(), err: err}
}

func uncertain(err error) Result {
	return Result{Code: CodeUncertain, Cause: err.Error(), err: err}
}
