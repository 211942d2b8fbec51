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

// Defaults of the durations in PlannerOptions.
const (
	DefaultPollInterval        = 500 * time.Millisecond
	DefaultSettledPollInterval = 5 * time.Second
	DefaultDrainTimeout        = 30 * time.Second
	DefaultGoneAfter           = state.MaxDeadline
	DefaultMaxDeliveryDelay    = 30 * time.Second
	DefaultResendInterval      = 5 * time.Second
	DefaultStepTimeout         = 10 * time.Second
)

// PlannerOptions are the dependencies and settings of a Planner. A duration of zero
// stands for its default; the dependencies are required, except Log.
type PlannerOptions struct {
	Store store.Store
	Clock state.Clock
	// Rand generates the nonces of writes. It must not be shared with other users.
	Rand *rand.Rand
	// Host is this host; Service is the service whose engines the Planner changes.
	Host      state.HostID
	Service   string
	Orders    Lister
	Acks      Acks
	Members   Members
	Upstreams Upstreams
	Engines   upstream.Orders
	Recorder  Recorder
	// Log receives failed steps; nil disables logging.
	Log *slog.Logger

	// PollInterval is the time between two steps of a change under way. It grows up
	// to SettledPollInterval for a change that takes long, since each step costs two
	// platform calls.
	PollInterval time.Duration
	// SettledPollInterval is the time between two checks of an engine without a
	// change under way. The checks call the engine and not the platform.
	SettledPollInterval time.Duration
	// DrainTimeout is how long a planner waits until it may issue a draining order,
	// before it calls the change off.
	DrainTimeout time.Duration
	// GoneAfter is how long a host must be missing from the platform's list to count
	// as gone. It must be at least the longest deadline of a request, and longer than
	// any pause of a process after which the host still sends something.
	GoneAfter time.Duration
	// MaxDeliveryDelay is how long an order whose outcome is unknown may take to
	// arrive: the transport's TCP_USER_TIMEOUT plus the longest pause of an engine
	// after which it answers again.
	MaxDeliveryDelay time.Duration
	// ResendInterval is the time after which an order is sent again if the engine
	// doesn't show its effect.
	ResendInterval time.Duration
	// StepTimeout bounds one step for one engine.
	StepTimeout time.Duration
}

// validate returns an *OptionError if a dependency is missing or a duration invalid.
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
		{o.Orders == nil, "Orders", "pass the host's watcher"},
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

// setDurations replaces zero durations by their defaults and checks the others.
func (o *PlannerOptions) setDurations() error {
	durations := []struct {
		name     string
		value    *time.Duration
		standard time.Duration
	}{
		{"PollInterval", &o.PollInterval, DefaultPollInterval},
		{"SettledPollInterval", &o.SettledPollInterval, DefaultSettledPollInterval},
		{"DrainTimeout", &o.DrainTimeout, DefaultDrainTimeout},
		{"GoneAfter", &o.GoneAfter, DefaultGoneAfter},
		{"MaxDeliveryDelay", &o.MaxDeliveryDelay, DefaultMaxDeliveryDelay},
		{"ResendInterval", &o.ResendInterval, DefaultResendInterval},
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
		return &OptionError{"GoneAfter", "use at least MaxDeliveryDelay: no order of a host that is gone may still arrive"}
	}
	return nil
}

// Planner moves the order objects of one service from draining to settled. Any
// number of hosts may run one at the same time; the lease only avoids duplicate
// work. The result of Releases must still be sent to the other hosts after Run has
// returned, since a successor may wait for it.
type Planner struct {
	opts  PlannerOptions
	store *orderStore
	sends *sendTracker
	// mutation is set only by tests.
	mutation plannerMutation
}

// plannerMutation disables safety mechanisms of a Planner. Only tests set its fields,
// to show that they detect the missing mechanism.
type plannerMutation struct {
	sendWithoutWrite    bool // sends an order although its write failed
	ignoreAcks          bool // writes issued without acknowledgements
	ignoreReleases      bool // writes settled while another host may still send an order
	ignoreDeliveryDelay bool // writes settled while an order of this host may still arrive
	ignoreShownFence    bool // writes settled before the engine has the fence
	trustLostAnswer     bool // treats a write with unknown outcome as successful
	releaseInStep       bool // returns a release in the middle of a step
	sendAfterFailure    bool // sends an order again although a failed write may still replace it
}

// NewPlanner validates the options and returns an *OptionError if one is missing or
// invalid.
func NewPlanner(o PlannerOptions) (*Planner, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	b := &orderStore{store: o.Store, clock: o.Clock, host: o.Host, rand: o.Rand}
	return &Planner{opts: o, store: b, sends: newSendTracker()}, nil
}

// Releases returns the releases of this host for orders that it may have sent and
// that other hosts have taken over. They are sent together with the acknowledgements.
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
