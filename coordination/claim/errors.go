package claim

import (
	"errors"
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// KeyProblem tells why a key is refused.
type KeyProblem string

// The problems of a key.
const (
	KeyMissing    KeyProblem = "missing"
	KeyMalformed  KeyProblem = "malformed"
	KeyNotV7      KeyProblem = "not a UUIDv7"
	KeyExpired    KeyProblem = "expired"
	KeyFromFuture KeyProblem = "from the future"
	KeyReused     KeyProblem = "used for another request"
	KeyCustomer   KeyProblem = "from a customer whose name is too long"
)

var keyRemedies = map[KeyProblem]string{
	KeyMissing:    "send a UUIDv7 in Idempotency-Key",
	KeyMalformed:  "send a UUIDv7 in its 36-character form",
	KeyNotV7:      "send a UUIDv7, whose first 48 bits are the time in milliseconds",
	KeyExpired:    "it may have run long ago: find out before you send a new call with a new key",
	KeyFromFuture: "set the caller's clock",
	KeyReused:     "make a new key for each call",
	KeyCustomer:   "shorten the customer's name in the configuration",
}

// KeyError refuses a key. This call was not dispatched; it says nothing of
// earlier calls with the key.
type KeyError struct {
	Key     string
	Problem KeyProblem
	Remedy  string
}

func keyError(p KeyProblem, key string) *KeyError {
	return &KeyError{Key: key, Problem: p, Remedy: keyRemedies[p]}
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("the idempotency key %q is %s; %s", e.Key, e.Problem, e.Remedy)
}

// NotRunError says that the call did not run and won't: no claim was made, and
// the caller has stated that it sent the key in no earlier request.
type NotRunError struct {
	// RetryAfter is when a new call has a chance.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("the call was not run (%v); send it again after %v", e.Cause, e.RetryAfter)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnsureError says that this call was not dispatched and won't be, but that it
// can't be read at the moment whether an earlier call with the same key ran.
type UnsureError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnsureError) Error() string {
	return fmt.Sprintf("it can't be told now whether a call with this key has run (%v); ask again with the same key after %v", e.Cause, e.RetryAfter)
}

// Unwrap returns the cause.
func (e *UnsureError) Unwrap() error { return e.Cause }

// PendingError says that an outcome isn't recorded yet; this host goes on
// trying. Until then repeated keys see a claimed record, and unknown should this
// host be gone first. A caller may be told "not run" only without this error.
type PendingError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("the outcome of %s isn't recorded yet (%v); it is retried in the background, tell the caller no more than is known", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *PendingError) Unwrap() error { return e.Cause }

// LostError says that the record already has another final state, or was
// deleted, so the outcome won't be recorded.
type LostError struct {
	Key string
	// Present is the record's state; empty when the record is gone.
	Present state.ClaimState
}

// Error implements error.
func (e *LostError) Error() string {
	if e.Present == "" {
		return fmt.Sprintf("the claim of %s was deleted after its retention; treat the outcome as unknown", e.Key)
	}
	return fmt.Sprintf("the claim of %s was already recorded as %s; tell callers that state", e.Key, e.Present)
}

// NotClaimedError says that no claim exists for a key.
type NotClaimedError struct{ Key string }

// Error implements error.
func (e *NotClaimedError) Error() string {
	return fmt.Sprintf("no claim exists for %s; check the key, or the call never reached a host", e.Key)
}

// OptionsError refuses a setting.
type OptionsError struct{ Option, Problem, Remedy string }

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("claim options: %s %s; %s", e.Option, e.Problem, e.Remedy)
}

// LayoutError says that this host's settings differ from those that the claims
// at the platform were made with. Claims made under both would not be unique.
type LayoutError struct{ Here, Platform Layout }

// Error implements error.
func (e *LayoutError) Error() string {
	return fmt.Sprintf("claim settings %+v differ from the platform's %+v; give every host the same, or stop all hosts for the retention time and delete the object %s/%s", e.Here, e.Platform, store.KindClaim, layoutName)
}

var (
	errFinished   = errors.New("the claim already has an outcome; record one outcome only")
	errTooMany    = errors.New("too many claims of this host have no recorded outcome; wait for the platform")
	errContended  = errors.New("other hosts kept changing the object; try again")
	errChainFull  = errors.New("the objects of this moment are full; try again with a new key")
	errStopped    = errors.New("the host is stopping; send the call to another")
	errWithdrawn  = errors.New("the caller's deadline passed before the claim was written; ask for more time")
	errOutage     = errors.New("the platform failed a moment ago; try again later")
	errStalled    = errors.New("the platform hasn't answered for a while; try again later")
	errUnreadable = errors.New("the platform holds a claim object that this version can't read; update the host")
)
