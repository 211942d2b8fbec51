package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// Departure is the planned end of a server.
type Departure struct {
	// TurnedAway is when callers go elsewhere if they can.
	TurnedAway time.Time
	// End is when everything is cut.
	End time.Time
}

// Leave closes callers' connections after their next answer. Requests are still
// served, but for those that have come whole only after callers have been turned away and may
// last beyond the end: they are refused as not run.
func (s *Server) Leave(d Departure) { s.leaving.Store(&d) }

// tooLate reports whether a request that is about to be passed on may last beyond the end.
func (s *Server) tooLate(r *forward.Request) bool {
	d := s.leaving.Load()
	return d != nil && wallclock.Now().After(d.TurnedAway) && r.Deadline.After(d.End)
}

// rejectTooLate answers a request that comes too late to be served to its end.
func (s *Server) rejectTooLate(ctx *fasthttp.RequestCtx, r *forward.Request) {
	s.reject(ctx, r, "leaving", fasthttp.StatusServiceUnavailable, "this host is about to stop and did not run the request; send it again")
}

// CloseUnused closes callers' connections between two requests.
func (s *Server) CloseUnused() { s.conns.CloseUnused() }

// Active counts the connections on which a request is read or answered.
func (s *Server) Active() int64 { return s.conns.Active() }

// Connections counts the callers' open connections.
func (s *Server) Connections() int { return int(s.http.GetOpenConnectionsCount()) }
