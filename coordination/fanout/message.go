package fanout

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/follow"
)

// Revisions are those of a host's copies, by kind.
type Revisions map[string]uint64

// Request is what a host asks a relay.
type Request struct {
	// From is the host that asks.
	From string
	// Since are the revisions that the host has, and Read how far it has read the
	// relay's notices.
	Since  Revisions
	Cursor Cursor
	// Wait is how long the relay waits if it has nothing for the host.
	Wait time.Duration
	// Peek asks for what the other has at this moment, and not to relay from then on.
	Peek bool
}

// Response is what a relay answers.
type Response struct {
	// Unavailable says that the relay doesn't follow the store at present.
	Unavailable bool
	// RecoveredAgo is how long ago the store answered the relay again, 0 while it doesn't; Ever is
	// false if it always has.
	RecoveredAgo time.Duration
	HadOutage    bool
	// Changes are by kind.
	Changes map[string]follow.Delta
	Notices []Notice
	// Cursor is the cursor after Notices.
	Cursor Cursor
}

// Peers reaches other hosts.
type Peers interface {
	// Fetch asks the host at addr for what it has beyond the question.
	Fetch(ctx context.Context, addr string, req Request) (Response, error)
	// SendNotice tells the host at addr a notice.
	SendNotice(ctx context.Context, addr string, n Notice) error
}
