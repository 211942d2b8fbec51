package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// ObjectName is the name of the configuration object, whose kind is store.KindConfig.
const ObjectName = "shared"

// Peers fetches configurations from other hosts.
type Peers interface {
	// Config fetches the configuration in force at a host if its version is
	// higher than r.Above. Otherwise it returns the zero value.
	Config(ctx context.Context, to state.Member, r Request) (VersionedValue, error)
}

// Request is a peer's request for the configuration in force if its version is
// higher than Above.
type Request struct {
	Above uint64 `msgpack:"a"`
}

// VersionedValue holds a stored value (a configuration with or without its
// envelope) and its version. Version 0 means that there is none.
type VersionedValue struct {
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"b"`
}

// Options configures a Manager.
type Options struct {
	Self  state.HostID
	Store store.Store
	Peers Peers
	Clock state.Clock
	// Seed seeds the random source of nonces and retry pauses, together with Self.
	// Hosts must not share a seed, or their nonces may not be unique.
	Seed uint64
	// Check refuses configurations beyond state.Config.Validate, for example
	// because a policy doesn't compile; nil accepts all.
	Check func(*state.Config) error
	// Apply puts a valid configuration in force, such as Keeper.SetConfig. It is
	// called with increasing versions and by one goroutine at a time. Its result
	// is ignored.
	Apply func(*state.Config) bool
	// HeardPlatform is called after each answer of the platform to a list or watch,
	// with the time at which the call was sent; nil is allowed.
	HeardPlatform func(sent time.Time)
	// FetchTimeout bounds a fetch from a peer; zero means one second.
	FetchTimeout time.Duration
	// Log receives a message for each version put in force or refused; nil discards
	// them.
	Log *slog.Logger
}

// OptionsError reports a required option that isn't set.
type OptionsError struct{ Option string }

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("rollout: option %s is missing; set it before the host starts", e.Option)
}

const defaultFetchTimeout = time.Second

// setDefaults sets the defaults of optional options. It returns *OptionsError if a
// required one is missing.
func (o *Options) setDefaults() error {
	switch {
	case o.Self.Zero():
		return &OptionsError{Option: "Self"}
	case o.Store == nil:
		return &OptionsError{Option: "Store"}
	case o.Peers == nil:
		return &OptionsError{Option: "Peers"}
	case o.Clock == nil:
		return &OptionsError{Option: "Clock"}
	case o.Apply == nil:
		return &OptionsError{Option: "Apply"}
	}
	if o.Check == nil {
		o.Check = func(*state.Config) error { return nil }
	}
	if o.HeardPlatform == nil {
		o.HeardPlatform = func(time.Time) {}
	}
	if o.FetchTimeout <= 0 {
		o.FetchTimeout = defaultFetchTimeout
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return nil
}

// RefusedVersion describes a version that was refused as invalid.
type RefusedVersion struct {
	At      time.Time
	Version uint64
	// From is the ID of the host that sent it; empty for the platform.
	From string
	Err  error
}

// Manager keeps the configuration of one host up to date and edits the shared one.
type Manager struct {
	opts Options
	// hintSignal has a buffer of one and wakes fetchHints after a call of Hint.
	hintSignal chan struct{}
	// ready is closed once a configuration is in force.
	ready chan struct{}

	// applyMu is held while a version is checked and applied, so that versions
	// are applied one at a time and in increasing order.
	applyMu sync.Mutex

	mu      sync.Mutex
	random  *rand.Rand
	inForce VersionedValue
	// highestRefused holds the highest invalid version by source (host ID, empty for
	// the platform). A version that is corrupt from one source may be valid from
	// another.
	highestRefused map[string]uint64
	lastRefused    *RefusedVersion
	hint           hint
	fault          fault
}

// hint is the highest version reported to Hint and the host that has it in force.
type hint struct {
	from    state.Member
	version uint64
}

// fault is a deliberate fault that tests inject to show that they detect it.
type fault uint8

const (
	// faultApplyAny applies any version that differs from the one in force, also a
	// lower one.
	faultApplyAny fault = iota + 1
	// faultAssumeCommitted reports an edit as accepted if its answer was lost.
	faultAssumeCommitted
)

// New returns a manager with no configuration in force, or *OptionsError if a
// required option is missing.
func New(o Options) (*Manager, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	return &Manager{
		opts: o, hintSignal: make(chan struct{}, 1), ready: make(chan struct{}),
		highestRefused: map[string]uint64{},
		random:         rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(o.Self.String()))),
	}, nil
}

// Run applies new versions from the platform and from peers until ctx ends, and
// returns the error of ctx.
func (m *Manager) Run(ctx context.Context) error {
	var routines conc.WaitGroup
	routines.Go(func() { m.watch(ctx) })
	routines.Go(func() { m.fetchHints(ctx) })
	routines.Wait()
	return ctx.Err()
}

// Ready returns a channel that is closed once a configuration is in force.
func (m *Manager) Ready() <-chan struct{} { return m.ready }

// Version returns the version in force; 0 for none.
func (m *Manager) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inForce.Version
}

// InForceValue returns the stored value in force and its version.
func (m *Manager) InForceValue() VersionedValue {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inForce
}

// Serve answers a peer's request. It returns the zero value if the version in force
// isn't higher than r.Above.
func (m *Manager) Serve(r Request) VersionedValue {
	v := m.InForceValue()
	if v.Version <= r.Above {
		return VersionedValue{}
	}
	return v
}

// LastRefused returns the version that was refused last; nil if none was refused
// since the version in force was applied.
func (m *Manager) LastRefused() *RefusedVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRefused
}

// Validate decodes a configuration (without envelope) and checks it as Edit does.
func (m *Manager) Validate(config []byte) (*state.Config, error) {
	c, err := parseConfig(config)
	if err != nil {
		return nil, err
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if err := m.opts.Check(c); err != nil {
		return nil, err
	}
	return c, nil
}

// applyIfHigher puts a version in force if it is valid and higher than the one in
// force. from is the ID of the host that sent it; empty for the platform.
func (m *Manager) applyIfHigher(v VersionedValue, from string) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if !m.isCandidate(v.Version, from) {
		return
	}
	e, err := parseEnvelope(v.Value)
	var c *state.Config
	if err == nil {
		c, err = m.Validate(e.Config)
	}
	if err != nil {
		m.recordRefusal(v.Version, from, err)
		return
	}
	c.Version = v.Version
	m.opts.Apply(c)
	m.mu.Lock()
	first := m.inForce.Version == 0
	m.inForce = v
	m.lastRefused = nil
	clear(m.highestRefused)
	m.mu.Unlock()
	m.opts.Log.Info("configuration in force", "version", v.Version, "from", from)
	if first {
		close(m.ready)
	}
}

// isCandidate reports whether a version is higher than the one in force and than the
// highest refused from the same source.
func (m *Manager) isCandidate(version uint64, from string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == faultApplyAny {
		return version != 0 && version != m.inForce.Version
	}
	return version > m.inForce.Version && version > m.highestRefused[from]
}

// recordRefusal records an invalid version, so that it isn't checked again when the
// same source sends it, and logs it.
func (m *Manager) recordRefusal(version uint64, from string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestRefused[from] = max(m.highestRefused[from], version)
	m.lastRefused = &RefusedVersion{At: m.opts.Clock.Now(), Version: version, From: from, Err: err}
	m.opts.Log.Warn("configuration refused", "version", version, "from", from, "error", err)
}

// withTimeout returns a context that is canceled after d by the manager's clock.
func (m *Manager) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		_ = m.opts.Clock.Sleep(ctx, d)
		cancel()
	}()
	return ctx, cancel
}

// jitter returns a random duration from d/2 up to 3d/2, so that hosts don't retry at
// the same time.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d)))
}
