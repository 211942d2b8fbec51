package fanout

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/follow"
)

// Revisions are the store revisions of a host's copies, by kind.
type Revisions map[string]uint64

// Request is a fetch: it asks a relay for the changes and notices that a host lacks.
type Request struct {
	// From is the address of the host that fetches.
	From string
	// Since are the revisions that the host has, and Cursor is its position in the relay's
	// notices.
	Since  Revisions
	Cursor Cursor
	// Wait is how long the relay holds the request while it has nothing new for the host.
	Wait time.Duration
	// Peek asks for the current changes only: the response comes at once, and the other host
	// doesn't start to follow the store for this one.
	Peek bool
}

// Response is a relay's answer to a Request.
type Response struct {
	// Unavailable reports that the host can't relay at present: it is leaving, doesn't follow
	// the store or gets no answer from it. Changes and Notices are valid all the same.
	Unavailable bool
	// RecoveredAgo is how long ago the store became available to the relay again after its
	// last outage or restoration, 0 during an outage. HadOutage is false if the relay has seen
	// no outage; RecoveredAgo has no meaning then.
	RecoveredAgo time.Duration
	HadOutage    bool
	// Changes are the changes after the request's revisions, by kind.
	Changes map[string]follow.Delta
	Notices []Notice
	// Cursor is the position after Notices, for the next request.
	Cursor Cursor
}

// Peers calls other hosts. An error means that a call failed; a host that responds that it can't
// relay returns a Response and no error.
type Peers interface {
	// Fetch requests changes and notices from the host at addr.
	Fetch(ctx context.Context, addr string, req Request) (Response, error)
	// SendNotice delivers a notice to the host at addr.
	SendNotice(ctx context.Context, addr string, n Notice) error
}
