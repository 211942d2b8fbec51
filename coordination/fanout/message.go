package fanout

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/follow"
)

// Revisions are those of a host's copies, by kind.
type Revisions map[string]uint64

// Question is what a host asks a relay.
type Question struct {
	// From is the host that asks.
	From string
	// Since are the revisions that the host has, and Read how far it has read the
	// relay's notices.
	Since Revisions
	Read  Cursor
	// Wait is how long the relay waits if it has nothing for the host.
	Wait time.Duration
	// Peek asks for what the other has at this moment, and not to relay from then on.
	Peek bool
}

// News is what a relay answers.
type News struct {
	// Lost says that the relay doesn't follow the store at present.
	Lost bool
	// Regained is how long ago the store answered the relay again, 0 while it doesn't; Ever is
	// false if it always has.
	Regained time.Duration
	Ever     bool
	// Changes are by kind.
	Changes map[string]follow.Delta
	Notices []Notice
	// Read is the cursor after Notices.
	Read Cursor
}

// Peers reaches other hosts.
type Peers interface {
	// Follow asks the host at addr for what it has beyond the question.
	Follow(ctx context.Context, addr string, q Question) (News, error)
	// Post tells the host at addr a notice.
	Post(ctx context.Context, addr string, n Notice) error
}
