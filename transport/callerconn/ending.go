package callerconn

import (
	"errors"
	"log/slog"
	"net"
	"os"
)

// Cause is why a caller's connection ended otherwise than by its caller's wish between two requests, or after
// an answer that said so. It is part of the log and the name of a metric's label.
type Cause string

// The causes. In all but the first three a request had begun.
const (
	// CauseIdle is the idle limit; CauseLeaving is that the host leaves, between two requests.
	CauseIdle    Cause = "idle"
	CauseLeaving Cause = "leaving"
	// CauseTooMany is that the host had as many connections as it may.
	CauseTooMany Cause = "too_many"
	// CauseReadTimeout is the limit of a request's header or body, CauseWriteTimeout that of a part of an answer.
	CauseReadTimeout  Cause = "read_timeout"
	CauseWriteTimeout Cause = "write_timeout"
	// CauseSlowReader is the bound on the bytes held for callers that don't read.
	CauseSlowReader Cause = "slow_reader"
	// CauseMalformed is a request that can't be read.
	CauseMalformed Cause = "malformed"
	// CauseCallerLeft is that the caller closed or reset the connection while a request was read or answered.
	CauseCallerLeft Cause = "caller_left"
	// CauseInterrupted is an answer that broke off before its end.
	CauseInterrupted Cause = "interrupted"
	// CauseShutdown is the end of the server, with a request under way.
	CauseShutdown Cause = "shutdown"
)

// Ending is the end of a caller's connection.
type Ending struct {
	Cause Cause
	// RequestID is the request that was read or answered; "" if there was none, or it isn't known.
	RequestID string
	Caller    string
	// Err is what was met; nil if there is nothing more to say.
	Err error
}

// LogValue implements slog.LogValuer.
func (e Ending) LogValue() slog.Value {
	attrs := []slog.Attr{slog.String("cause", string(e.Cause)), slog.String("request_id", e.RequestID), slog.String("caller", e.Caller)}
	if e.Err != nil {
		attrs = append(attrs, slog.String("error", e.Err.Error()))
	}
	return slog.GroupValue(attrs...)
}

// SetRequest notes the request that is read from or answered on a caller's connection.
func SetRequest(nc net.Conn, id string) {
	if c, ok := nc.(*Conn); ok {
		c.request.Store(&id)
	}
}

// NoteEnd notes why a caller's connection is about to end; the first cause that is noted counts.
func NoteEnd(nc net.Conn, cause Cause, err error) {
	if c, ok := nc.(*Conn); ok {
		c.noteEnd(cause, err)
	}
}

func (c *Conn) noteEnd(cause Cause, err error) {
	c.ending.CompareAndSwap(nil, &Ending{Cause: cause, Caller: c.RemoteAddr().String(), Err: err})
}

// noteIOError notes the error of a read or write; timeout is the cause if it took too long.
func (c *Conn) noteIOError(err error, timeout Cause) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.noteEnd(timeout, err)
		return
	}
	c.noteEnd(CauseCallerLeft, err)
}

// report tells of the connection's end, once.
func (a *Activity) report(c *Conn) {
	noted := c.ending.Load()
	if noted == nil || a.Ended == nil || c.reported.Swap(true) {
		return
	}
	e := *noted
	if id := c.request.Load(); id != nil {
		e.RequestID = *id
	}
	a.Ended(e)
}
