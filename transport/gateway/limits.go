package gateway

import (
	"cmp"
	"time"

	"github.com/thymerack/thymerack/transport/callerconn"
)

// The limits of callers where the configuration names none.
const (
	defaultIdleLimit   = 15 * time.Second
	defaultHeaderLimit = 10 * time.Second
)

// limits returns the callers' limits of the newest configuration.
func (s *Server) limits() callerconn.Limits {
	l := callerconn.Limits{Idle: defaultIdleLimit, Header: defaultHeaderLimit}
	if table := s.o.Table(); table != nil {
		l.Idle = cmp.Or(max(table.Config.IdleTimeout, 0), l.Idle)
		l.Header = cmp.Or(max(table.Config.HeaderTimeout, 0), l.Header)
	}
	return l
}
