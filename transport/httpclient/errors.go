package httpclient

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrBusy says that all connections are in use.
var ErrBusy = errors.New("all connections to the server are in use; raise the limit or send less at once")

// ErrStray says that a connection carried nothing but other requests' responses.
var ErrStray = errors.New("only responses to other requests came; use another connection")

// errTooManyInterim says that a response consists of interim ones.
var errTooManyInterim = errors.New("the server sent too many interim responses before its response; check the server")

// MalformedError says that a server sent bytes that are no HTTP/1.1 response.
type MalformedError struct {
	// Fault names what is wrong with the head of the response.
	Fault string
	// Line is the beginning of the line at fault.
	Line []byte
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the server sent no HTTP/1.1 response: %s in %q; check the server", e.Fault, e.Line)
}

// HeadTooLongError says that the head of a response doesn't fit into the limit.
type HeadTooLongError struct{ MaxBytes int }

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("the head of the response is over %d bytes; raise Options.MaxHeaderBytes if the server needs more", e.MaxBytes)
}

// DialTimeoutError says that a connection could not be made in time. It is no
// context's error: the caller still has time for another server.
type DialTimeoutError struct {
	Addr  string
	After time.Duration
}

// Error implements error.
func (e *DialTimeoutError) Error() string {
	return fmt.Sprintf("no connection to %s within %s; check that the server is up and reachable", e.Addr, e.After)
}

// Timeout reports true.
func (e *DialTimeoutError) Timeout() bool { return true }

// StalledError says that a connection was closed because the server took nothing of a request for some time. It is no
// context's error: the caller may still have time for another server.
type StalledError struct {
	Addr  string
	After time.Duration
}

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("%s took nothing of the request for %s; check that the server reads its requests", e.Addr, e.After)
}

// Timeout reports true.
func (e *StalledError) Timeout() bool { return true }

// Error says that an attempt gave no usable response.
type Error struct {
	Addr string
	// Sent is false only when it is certain that no byte of the request left
	// this host.
	Sent bool
	// Cause is the context's error when its end cut the attempt.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("%s: nothing was sent (%v); it is safe to try again", e.Addr, e.Cause)
	}
	return fmt.Sprintf("%s: no whole response (%v); the request may have been carried out", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// failure builds the error of an attempt. The end of ctx explains every other
// error, because it cuts the connection.
func failure(ctx context.Context, addr string, sent bool, err error) *Error {
	if cause := ctx.Err(); cause != nil {
		err = cause
	}
	return &Error{Addr: addr, Sent: sent, Cause: err}
}

// Cut reports whether the end of the attempt's context ended it.
func (e *Error) Cut() bool {
	return errors.Is(e.Cause, context.Canceled) || errors.Is(e.Cause, context.DeadlineExceeded)
}

// TimedOut reports whether a timeout ended the attempt, this host's own or the
// deadline of the context.
func (e *Error) TimedOut() bool {
	var t interface{ Timeout() bool }
	return errors.As(e.Cause, &t) && t.Timeout()
}
