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

// ObjectName is the name of the configuration object of kind store.KindConfig.
const ObjectName = "shared"

// Peers reaches other hosts.
type Peers interface {
	// Config fetches the configuration in force at a host if its version is
	// higher than above; else the answer is zero.
	Config(ctx context.Context, to state.Member, r Request) (VersionedValue, error)
}

// Request asks for a configuration above a version.
type Request struct {
	Above uint64 `msgpack:"a"`
}

// VersionedValue is a stored value and its version.
type VersionedValue struct {
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"b"`
}

// Options configure a Manager.
type Options struct {
	Self  state.HostID
	Store store.Store
	Peers Peers
	Clock state.Clock
	// Seed starts the random source of nonces and pauses. Two hosts must not
	// share it: with Self it makes nonces unique.
	Seed uint64
	// Check refuses configurations beyond state.Config.Validate, for example
	// because a policy doesn't compile; nil accepts all.
	Check func(*state.Config) error
	// Apply puts a valid configuration in force, such as Keeper.SetConfig. It is
	// called with growing versions and by one goroutine at a time.
	Apply func(*state.Config) bool
	// HeardPlatform is told when the platform answered, with the time at which
	// the call was sent; nil ignores it.
	HeardPlatform func(sent time.Time)
	// FetchTimeout bounds a fetch from a peer; zero means one second.
	FetchTimeout time.Duration
	// Log takes notes of versions put in force and of problems; nil discards them.
	Log *slog.Logger
}

// OptionsError says which option is missing.
type OptionsError struct{ Option string }

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("rollout: option %s is missing; set it before the host starts", e.Option)
}

const defaultFetchTimeout = time.Second

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

// RefusedVersion is a version that was refused.
type RefusedVersion struct {
	At      time.Time
	Version uint64
	// From is the host that it came from; empty for the platform.
	From string
	Err  error
}

// Manager keeps the configuration of one host.
type Manager struct {
	opts       Options
	hintSignal chan struct{}
	ready      chan struct{}

	// applyMu is held while a version is checked and applied, so that versions
	// are applied one after the other in growing order.
	applyMu sync.Mutex

	mu      sync.Mutex
	random  *rand.Rand
	inForce VersionedValue
	// highestRefused holds the highest version found invalid, by its source. What one
	// source garbled may come whole from another.
	highestRefused map[string]uint64
	lastRefused    *RefusedVersion
	hint           hint
	fault          fault
}

// hint is the host that is known to have the highest version.
type hint struct {
	from    state.Member
	version uint64
}

// fault names deliberate mistakes that the tests switch on, to show that they
// would be found.
type fault uint8

const (
	// faultApplyAny applies any version that differs.
	faultApplyAny fault = iota + 1
	// faultAssumeCommitted reports an edit as accepted whose answer was lost.
	faultAssumeCommitted
)

// New checks the options and returns a manager with no configuration in force.
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

// Run follows the platform's object and fetches from peers, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var routines conc.WaitGroup
	routines.Go(func() { m.watch(ctx) })
	routines.Go(func() { m.fetchHints(ctx) })
	routines.Wait()
	return ctx.Err()
}

// Ready is closed once a configuration is in force.
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

// Serve answers a peer that asks for the configuration above a version.
func (m *Manager) Serve(r Request) VersionedValue {
	v := m.InForceValue()
	if v.Version <= r.Above {
		return VersionedValue{}
	}
	return v
}

// LastRefused returns the last version that was refused; nil if there was none
// since a valid one came into force.
func (m *Manager) LastRefused() *RefusedVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRefused
}

// Validate checks a configuration as an edit would, and returns it.
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

// applyIfHigher puts a version in force if it is valid and higher than the present one.
// from is empty for the platform.
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

// isCandidate reports whether a version of a source is worth looking at.
func (m *Manager) isCandidate(version uint64, from string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == faultApplyAny {
		return version != 0 && version != m.inForce.Version
	}
	return version > m.inForce.Version && version > m.highestRefused[from]
}

func (m *Manager) recordRefusal(version uint64, from string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestRefused[from] = max(m.highestRefused[from], version)
	m.lastRefused = &RefusedVersion{At: m.opts.Clock.Now(), Version: version, From: from, Err: err}
	m.opts.Log.Warn("configuration refused", "version", version, "from", from, "error", err)
}

// withTimeout bounds a call by the manager's clock.
func (m *Manager) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		_ = m.opts.Clock.Sleep(ctx, d)
		cancel()
	}()
	return ctx, cancel
}

func (m *Manager) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d)))
}
