// Package store declares the interface to the platform's object service that coordination uses:
// versioned objects with conditional writes and watches.
package store

import (
	"context"
	"errors"
	"fmt"
)

// The kinds of objects that coordination stores at the platform.
const (
	KindConfig  = "config"
	KindMember  = "member"
	KindLease   = "lease"
	KindOrder   = "order"
	KindClaim   = "claim"
	KindExplain = "explain"
)

// Absent stands for the version of an object that doesn't exist.
const Absent uint64 = 0

// Object is one versioned value. Each write gets a higher version than all earlier writes of any
// object.
type Object struct {
	Kind    string
	Name    string
	Version uint64
	Value   []byte
}

// Event is one change returned by a watch. The object of a deletion has a nil Value.
type Event struct {
	Object  Object
	Deleted bool
}

// Batch is the result of a watch: the changes after the given revision.
type Batch struct {
	// Revision is the store's revision once the events are applied.
	Revision uint64
	Events   []Event
	// Gap is true if the store no longer has all changes; the kind must be listed again.
	Gap bool
}

// Store is the platform's object service. Each method makes exactly one call to the platform,
// also a waiting Watch. Methods return ErrNotFound, *ConflictError, *UnavailableError or the
// context's error, and no others.
type Store interface {
	// Get reads one object, or returns ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the present version is ifVersion (Absent: create) and returns the new
	// version. A *ConflictError holds the present version. After an *UnavailableError with
	// UnknownOutcome the write may have taken effect.
	Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error)
	// Delete deletes the object if its version is ifVersion, or returns ErrNotFound.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) error
	// List reads all objects of a kind and the revision at which they are valid.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch waits for changes of a kind after a revision, until ctx ends or the platform's own
	// limit on the wait passes; an empty batch is no error.
	Watch(ctx context.Context, kind string, after uint64) (Batch, error)
}

// ErrNotFound is returned if the object doesn't exist.
var ErrNotFound = errors.New("the object does not exist at the platform; create it first")

// ConflictError is returned if the condition of a write doesn't hold.
type ConflictError struct {
	Kind, Name string
	// Expected is the version that the write was conditional on; Actual is the present one.
	Expected, Actual uint64
	// Restored says that the store was restored after Expected was read. The object's present version
	// and whether the write took effect are unknown: the condition is on a version of another history.
	Restored bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Restored {
		return fmt.Sprintf("%s %q was read at version %s, before the store was restored; read it again and repeat the change if it is still due", e.Kind, e.Name, FormatVersion(e.Expected))
	}
	return fmt.Sprintf("%s %q is at version %s, not %s; read it again and repeat the change on that version", e.Kind, e.Name, FormatVersion(e.Actual), FormatVersion(e.Expected))
}

// UnavailableError is returned if the platform gave no usable answer.
type UnavailableError struct {
	// UnknownOutcome is true if a write may have taken effect nevertheless.
	UnknownOutcome bool
	// Cause is the error of the transport.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.UnknownOutcome {
		return fmt.Sprintf("the platform's answer was lost and the write may have taken effect (%v); read the object back", e.Cause)
	}
	return fmt.Sprintf("the platform can't be reached (%v); try again later", e.Cause)
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// IsConflict reports whether err is a *ConflictError.
func IsConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}

// IsUnavailable reports whether err is an *UnavailableError.
func IsUnavailable(err error) bool {
	var u *UnavailableError
	return errors.As(err, &u)
}

// IsUnknownOutcome reports whether a write may have taken effect despite err.
func IsUnknownOutcome(err error) bool {
	var u *UnavailableError
	return errors.As(err, &u) && u.UnknownOutcome
}
