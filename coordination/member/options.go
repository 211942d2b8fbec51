package member

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// Defaults of the options.
const (
	DefaultGossipInterval  = 250 * time.Millisecond
	DefaultBeatInterval    = time.Second
	DefaultExchangeTimeout = time.Second
	DefaultLiveAfter       = 5 * time.Second
	DefaultIsolatedAfter   = 5 * time.Second
	DefaultSponsorFor      = 3 * time.Second
	DefaultLapseAfter      = time.Minute
	DefaultMaxListGap      = 15 * time.Second
)

// goneMargin is what GoneBound has above the longest deadline: enough for a host
// that lost its sponsor or is isolated to have stopped taking new work by then.
const goneMargin = DefaultLapseAfter + 30*time.Second

// Peers reaches other hosts. The address is to.PeerAddr; to.ID is zero for an
// address from the settings. No call is repeated.
type Peers interface {
	// Exchange sends a digest and returns the other side's.
	Exchange(ctx context.Context, to state.Member, d Digest) (Digest, error)
	// Orders fetches orders from a host that knows more.
	Orders(ctx context.Context, to state.Member, r OrdersRequest) (OrdersReply, error)
	// Sponsor asks a host to answer for this one.
	Sponsor(ctx context.Context, to state.Member, r SponsorRequest) (SponsorView, error)
}

// Options configure a Manager. Zero durations take the defaults.
type Options struct {
	// Self is the object that the host registers.
	Self   state.Member
	Store  store.Store
	Peers  Peers
	Keeper *snapshot.Keeper
	Clock  state.Clock
	// Seed starts the random source of the choice of peers and of nonces.
	Seed uint64
	// Seeds are peer addresses to ask besides those learnt from others.
	Seeds []string
	// Relist reads all orders at the platform, gives them to the keeper and to
	// TakeOrders. It runs after a registration that follows a sponsorship or a
	// long isolation.
	Relist func(ctx context.Context) error
	// OnConfigVersion is told when a peer has a higher configuration version than
	// the one in force here. It must not block.
	OnConfigVersion func(from state.Member, version uint64)
	// GossipInterval is the mean time between exchanges that this host starts.
	GossipInterval time.Duration
	// BeatInterval is how often the host's own entry is renewed.
	BeatInterval time.Duration
	// ExchangeTimeout bounds one call to a peer.
	ExchangeTimeout time.Duration
	// LiveAfter is how old an entry may be for its host to count as answering.
	LiveAfter time.Duration
	// IsolatedAfter is how long neither the platform nor a peer may go unheard
	// before the host refuses new work.
	IsolatedAfter time.Duration
	// SponsorFor is how long a sponsor's confirmation allows new work.
	SponsorFor time.Duration
	// LapseAfter is how long a host may be isolated before it must register anew.
	LapseAfter time.Duration
	// LongestDeadline is the longest time that a request may take.
	LongestDeadline time.Duration
	// GoneBound is how long a host must be gone before its acknowledgement isn't
	// waited for. It must be the same on all hosts.
	GoneBound time.Duration
	// MaxListGap is the longest time between two readings of the platform's list
	// that counts towards GoneFor.
	MaxListGap time.Duration
	// Log takes notes of changes of standing; nil discards them.
	Log *slog.Logger
}

// OptionsError says which option is missing or wrong.
type OptionsError struct {
	Option  string
	Problem string
}

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("member: option %s %s; set it before the host starts", e.Option, e.Problem)
}

func (o *Options) fill() error {
	switch {
	case o.Self.ID.Name == "" || o.Self.ID.Incarnation == "":
		return &OptionsError{Option: "Self.ID", Problem: "lacks a name or an incarnation"}
	case o.Store == nil:
		return &OptionsError{Option: "Store", Problem: "is missing"}
	case o.Peers == nil:
		return &OptionsError{Option: "Peers", Problem: "is missing"}
	case o.Keeper == nil:
		return &OptionsError{Option: "Keeper", Problem: "is missing"}
	case o.Clock == nil:
		return &OptionsError{Option: "Clock", Problem: "is missing"}
	case o.Relist == nil:
		return &OptionsError{Option: "Relist", Problem: "is missing"}
	}
	if o.OnConfigVersion == nil {
		o.OnConfigVersion = func(state.Member, uint64) {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	o.fillDurations()
	if o.LongestDeadline+o.SponsorFor+o.LapseAfter+o.IsolatedAfter > o.GoneBound {
		return &OptionsError{Option: "SponsorFor, LapseAfter or IsolatedAfter", Problem: "is too long for GoneBound"}
	}
	return nil
}

func (o *Options) fillDurations() {
	setDefault(&o.GossipInterval, DefaultGossipInterval)
	setDefault(&o.BeatInterval, DefaultBeatInterval)
	setDefault(&o.ExchangeTimeout, DefaultExchangeTimeout)
	setDefault(&o.LiveAfter, DefaultLiveAfter)
	setDefault(&o.IsolatedAfter, DefaultIsolatedAfter)
	setDefault(&o.SponsorFor, DefaultSponsorFor)
	setDefault(&o.LapseAfter, DefaultLapseAfter)
	setDefault(&o.LongestDeadline, state.MaxDeadline)
	setDefault(&o.GoneBound, o.LongestDeadline+goneMargin)
	setDefault(&o.MaxListGap, DefaultMaxListGap)
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
