package peer

import (
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/protocol/peerapi"
)

// OptionsError says which option is missing or wrong.
type OptionsError struct {
	Option  string
	Problem string
}

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("peer: option %s %s; set it before the host starts", e.Option, e.Problem)
}

// NotPeerError says that the other side doesn't speak this protocol.
type NotPeerError struct{ Addr string }

// Error implements error.
func (e *NotPeerError) Error() string {
	return fmt.Sprintf("%s is no peer listener; check the peer addresses in the settings", e.Addr)
}

// VersionError says that the other side speaks another version.
type VersionError struct {
	Addr         string
	Ours, Theirs uint16
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s speaks peer protocol version %d, this host %d; bring both hosts to the same release", e.Addr, e.Theirs, e.Ours)
}

// KeyError says that the two sides don't share the key.
type KeyError struct{ Addr string }

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s has another peer key; give all hosts the same key in the settings", e.Addr)
}

// FrameTooLargeError says that a body is larger than the limit of a frame.
type FrameTooLargeError struct {
	// Bytes is the size of the body; Limit is the largest allowed.
	Bytes, Limit int
}

// Error implements error.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("a body of %d bytes is over the limit of %d; ask for less or raise the limit on both hosts", e.Bytes, e.Limit)
}

// FrameError says that the bytes received are no frame.
type FrameError struct{ Problem string }

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("not a frame: %s; the connection is closed, call again", e.Problem)
}

// RemoteError is a problem that the other side reports.
type RemoteError struct {
	Code    peerapi.Code
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer answered %s: %s", e.Code, e.Message)
}

// UnreachableError says that a call got no answer.
type UnreachableError struct {
	Addr string
	// MaybeSent is false only when it is certain that no byte of the request
	// left this host.
	MaybeSent bool
	Cause     error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	if e.MaybeSent {
		return fmt.Sprintf("peer %s gave no answer, the request may have reached it (%v); ask another peer or repeat it if it is idempotent", e.Addr, e.Cause)
	}
	return fmt.Sprintf("peer %s was not reached (%v); ask another peer", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// ErrClosed says that the client or server was closed.
var ErrClosed = errors.New("peer: closed; make a new client")

var (
	errSilent = errors.New("nothing was heard within the silence timeout")
	errIdle   = errors.New("the idle connection was closed")
)
