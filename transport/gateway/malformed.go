package gateway

import (
	"errors"
	"log/slog"
	"os"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/transport/callerconn"
)

// malformed answers a request that can't be read, or wasn't read in time, and closes the connection.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	status, reason, text := fasthttp.StatusBadRequest, "malformed", "the request can't be read; send it as HTTP/1.1 describes"
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, reason, text = fasthttp.StatusRequestTimeout, "too_slow", "the request took too long to come and did not run; send it again"
	}
	id := s.o.Codec.RequestID(&ctx.Request.Header)
	if known, ok := s.bodies.LoadAndDelete(&ctx.Request.Header); ok {
		id = known.(string)
	}
	callerconn.SetRequest(ctx.Conn(), id)
	callerconn.NoteEnd(ctx.Conn(), callerconn.CauseMalformed, err)
	s.o.Observer.Rejected(reason)
	s.problem(ctx, status, text)
	ctx.SetConnectionClose()
}

// headerReceived notes whose body is read next, and bounds how long that takes.
func (s *Server) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() == 0 {
		return fasthttp.RequestConfig{}
	}
	s.bodies.Store(h, s.o.Codec.RequestID(h))
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
}

// connectionEnded counts the end of a caller's connection, and logs it if a request had begun.
func (s *Server) connectionEnded(e callerconn.Ending) {
	s.o.Observer.ConnectionEnded(e.Cause)
	level := slog.LevelWarn
	switch e.Cause {
	case callerconn.CauseIdle, callerconn.CauseLeaving, callerconn.CauseTooMany:
		return
	case callerconn.CauseCallerLeft:
		level = slog.LevelInfo
	}
	s.o.Log.Log(s.base, level, "caller's connection ended", "ending", e)
}
