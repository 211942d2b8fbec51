// Package store declares what coordination needs of the platform's object
// service: versioned objects with conditional updates and watches.
package store

import (
	"context"
	"errors"
	"fmt"
)

// The object kinds that coordination keeps at the platform.
const (
	KindConfig  = "config"
	KindMember  = "member"
	KindLease   = "lease"
	KindOrder   = "order"
	KindClaim   = "claim"
	KindExplain = "explain"
)

// Absent is the version of an object that doesn't exist.
const Absent uint64 = 0

// Object is one versioned value. Versions grow with every write of any object.
type Object struct {
	Kind    string
	Name    string
	Version uint64
	Value   []byte
}

// Event is one change seen by a watch. A deletion has a nil Value.
type Event struct {
	Object  Object
	Deleted bool
}

// Batch is what a watch returns: the changes after the asked revision.
type Batch struct {
	Revision uint64
	Events   []Event
	// Gap is true when changes were missed; list the kind again.
	Gap bool
}

// Store is the platform's object service as coordination sees it. Each call is
// one call at the platform, a waiting Watch included. Errors are of the kinds
// below and never anything else but a context's error.
type Store interface {
	// Get reads one object; a missing one gives ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the present version is ifVersion (Absent: create) and
	// returns the new version. A *ConflictError tells the present version. After
	// ErrUnavailable of kind UnknownOutcome the write may have taken effect.
	Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error)
	// Delete removes the object if its version is ifVersion.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) error
	// List reads all objects of a kind and the revision that they are valid at.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch waits for changes of a kind after revision, until ctx ends or the
	// platform's own wait limit passes; an empty batch is no error.
	Watch(ctx context.Context, kind string, after uint64) (Batch, error)
}

// ErrNotFound says that the object doesn't exist.
var ErrNotFound = errors.New("the object does not exist at the platform; create it first")

// ConflictError says that a conditional write met another version.
type ConflictError struct {
	Kind, Name string
	// Expected is the version that the writer named; Actual is the one found.
	Expected, Actual uint64
	// Restored says that the store was restored since Expected was read. What it has at present
	// isn't known, nor whether the write took effect: its condition was of another history.
	Restored bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Restored {
		return fmt.Sprintf("%s %q was read at version %s, before the store was restored; read it again and repeat the change if it is still due", e.Kind, e.Name, FormatVersion(e.Expected))
	}
	return fmt.Sprintf("%s %q is at version %s, not %s; read it again and repeat the change on that version", e.Kind, e.Name, FormatVersion(e.Actual), FormatVersion(e.Expected))
}

// UnavailableError says that the platform gave no usable answer.
type UnavailableError struct {
	// UnknownOutcome is true when a write may have taken effect all the same.
	UnknownOutcome bool
	// Cause is the transport's error.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.UnknownOutcome {
		return fmt.Sprintf("the platform's answer was lost and the write may have taken effect (%v); read the object back", e.Cause)
	}
	return fmt.Sprintf("the platform can't be reached (%v); try again later", e.Cause)
}

// Unwrap returns the cause.
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
