package order

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// The settings that a zero option takes.
const (
	DefaultPollInterval        = 500 * time.Millisecond
	DefaultSettledPollInterval = 5 * time.Second
	DefaultDrainTimeout        = 30 * time.Second
	DefaultGoneAfter           = state.MaxDeadline
	DefaultMaxDeliveryDelay    = 30 * time.Second
	DefaultResendInterval      = 5 * time.Second
	DefaultStepTimeout         = 10 * time.Second
)

// PlannerOptions are the parts and settings of a Planner.
type PlannerOptions struct {
	Store store.Store
	Clock state.Clock
	// Rand marks the writes; the Planner alone uses it.
	Rand *rand.Rand
	// Host is this host; Service is the service whose engines are driven.
	Host      state.HostID
	Service   string
	Orders    Lister
	Acks      Acks
	Members   Members
	Upstreams Upstreams
	Engines   upstream.Orders
	Recorder  Recorder
	// Log gets failed steps; nil means none.
	Log *slog.Logger

	// PollInterval is the time between two looks at a change under way; a change that
	// takes long is looked at less often, down to ShowEvery. Each look costs two
	// platform calls.
	PollInterval time.Duration
	// SettledPollInterval is the time between two looks at an engine that has settled. They
	// ask the engine and not the platform.
	SettledPollInterval time.Duration
	// DrainTimeout is how long a planner waits for the acknowledgements before it
	// calls the change off.
	DrainTimeout time.Duration
	// GoneAfter is how long a host must be off the platform's list to count as
	// gone: at least the longest deadline of a request, and longer than any pause
	// after which a host still sends something.
	GoneAfter time.Duration
	// MaxDeliveryDelay is how long an order whose outcome is unknown may take to arrive: the
	// transport's TCP_USER_TIMEOUT and the longest pause of an engine that shows
	// its state again.
	MaxDeliveryDelay time.Duration
	// ResendInterval is the time after which an order that has shown no effect is
	// given again.
	ResendInterval time.Duration
	// StepTimeout bounds one step at one engine.
	StepTimeout time.Duration
}

func (o *PlannerOptions) validate() error {
	parts := []struct {
		missing        bool
		option, remedy string
	}{
		{o.Store == nil, "Store", "pass the platform's store"},
		{o.Clock == nil, "Clock", "pass a clock"},
		{o.Rand == nil, "Rand", "pass a seeded random source"},
		{o.Host.Zero(), "Host", "pass this host's id"},
		{o.Service == "", "Service", "name the service to plan for"},
		{o.Orders == nil, "Book", "pass the host's watcher"},
		{o.Acks == nil, "Acks", "pass the table of acknowledgements"},
		{o.Members == nil, "Members", "pass the membership"},
		{o.Upstreams == nil, "Upstreams", "pass the host's view of upstreams"},
		{o.Engines == nil, "Engines", "pass the transport to engines"},
		{o.Recorder == nil, "Recorder", "pass a recorder of decisions"},
	}
	for _, p := range parts {
		if p.missing {
			return &OptionError{p.option, p.remedy}
		}
	}
	return o.setDurations()
}

func (o *PlannerOptions) setDurations() error {
	durations := []struct {
		name     string
		value    *time.Duration
		standard time.Duration
	}{
		{"PollEvery", &o.PollInterval, DefaultPollInterval},
		{"ShowEvery", &o.SettledPollInterval, DefaultSettledPollInterval},
		{"DrainTimeout", &o.DrainTimeout, DefaultDrainTimeout},
		{"GoneAfter", &o.GoneAfter, DefaultGoneAfter},
		{"Linger", &o.MaxDeliveryDelay, DefaultMaxDeliveryDelay},
		{"ResendEvery", &o.ResendInterval, DefaultResendInterval},
		{"StepTimeout", &o.StepTimeout, DefaultStepTimeout},
	}
	for _, d := range durations {
		if *d.value < 0 {
			return &OptionError{d.name, "use a positive duration, or 0 for the default"}
		}
		if *d.value == 0 {
			*d.value = d.standard
		}
	}
	if o.GoneAfter < o.MaxDeliveryDelay {
		return &OptionError{"GoneAfter", "use at least Linger: a host that is gone must have no order on its way"}
	}
	return nil
}

// Planner drives the order objects of one service. Any number of hosts may run
// one at the same time; the lease only keeps them from doing the work twice.
// Releases must go on being told after Run has returned.
type Planner struct {
	opts    PlannerOptions
	objects *orderStore
	sends   *sendTracker
	// mutation is set by tests only, to show that they find a missing mechanism.
	mutation plannerMutation
}

// plannerMutation takes mechanisms away.
type plannerMutation struct {
	sendWithoutWrite    bool // an order is sent although its write failed
	ignoreAcks          bool // issued is written without acknowledgements
	ignoreReleases      bool // settled is written while another holder may still send
	ignoreDeliveryDelay bool // settled is written while an own order may still arrive
	ignoreShownFence    bool // settled is written before the engine has the fence
	trustLostAnswer     bool // a write with unknown outcome counts as done
	releaseInStep       bool // a release is told in the middle of a step
	sendAfterFailure    bool // an order is repeated although a write over it may still arrive
}

// NewPlanner validates the options.
func NewPlanner(o PlannerOptions) (*Planner, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	b := &orderStore{store: o.Store, clock: o.Clock, host: o.Host, rand: o.Rand}
	return &Planner{opts: o, objects: b, sends: newSendTracker()}, nil
}

// Releases returns what this host can promise about the orders that other hosts
// have taken over from it. They travel with the acknowledgements.
func (p *Planner) Releases() []Release {
	now := p.opts.Clock.Now()
	var out []Release
	for _, o := range p.opts.Orders.Orders() {
		if o.Service != p.opts.Service || o.State != state.OrderIssued || o.Holder == p.opts.Host {
			continue
		}
		if !slices.Contains(o.IssuedBy, p.opts.Host) {
			continue
		}
		if p.sends.release(o.Engine, o.Fence, now) || p.mutation.releaseInStep {
			out = append(out, Release{Host: p.opts.Host, Engine: o.Engine, Fence: o.Fence})
		}
	}
	return out
}
