package platform

import (
	"fmt"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// The defaults of Options.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultWatchWait      = 20 * time.Second
	DefaultCallsPerSecond = 100
	DefaultBurst          = 50
	DefaultReservedShare  = 0.4
	DefaultLimitWait      = 100 * time.Millisecond
	DefaultReadAttempts   = 3
	DefaultRetryWait      = 20 * time.Millisecond
	DefaultBreakAfter     = 5
	DefaultBreakFor       = time.Second
	DefaultMaxConns       = 64
	DefaultMaxValueBytes  = 1 << 20
	DefaultMaxListBytes   = 64 << 20
)

const (
	maxIdle        = 5 * time.Second
	maxHeaderBytes = 8 << 10
	// userTimeout finds a platform that is gone under a waiting watch.
	userTimeout = 12 * time.Second
	// valueOverhead covers base64 and the JSON around one value.
	valueOverhead = 4 << 10
)

// Options configures a Client. Zero values take the defaults above.
type Options struct {
	// Addr is the platform's ip:port.
	Addr string
	// Caller names this host to the platform.
	Caller string
	// Timeout bounds one attempt: its connecting, its sending and its answer
	// each. A watch has WatchWait besides.
	Timeout time.Duration
	// WatchWait is how long the platform may hold a watch without changes.
	WatchWait time.Duration
	// CallsPerSecond and Burst are this host's own rate limit, of all calls.
	CallsPerSecond float64
	Burst          int
	// ReservedShare is the part of the rate, 0 to 1, that only watches and
	// urgent kinds may use.
	ReservedShare float64
	// UrgentKinds are the object kinds whose calls may use the reserved part;
	// nil means claims, orders, leases and members.
	UrgentKinds []string
	// LimitWait is how long a call may wait for the rate limit.
	LimitWait time.Duration
	// ReadAttempts is how often Get and List are tried; 1 means once.
	ReadAttempts int
	// RetryWait is the mean of the first pause between two attempts.
	RetryWait time.Duration
	// BreakAfter consecutive failures open the breaker for BreakFor.
	BreakAfter int
	BreakFor   time.Duration
	// MaxConns bounds the connections, waiting watches included.
	MaxConns int
	// MaxValueBytes bounds one value and MaxListBytes the answer to a list or a
	// watch.
	MaxValueBytes int
	MaxListBytes  int
	// Dial replaces the TCP dialler; nil means TCP.
	Dial httpclient.DialFunc
}

// OptionError says which option is wrong.
type OptionError struct {
	Option string
	Remedy string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("platform client: option %s: %s", e.Option, e.Remedy)
}

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.WatchWait, DefaultWatchWait)
	setDefault(&o.CallsPerSecond, DefaultCallsPerSecond)
	setDefault(&o.Burst, DefaultBurst)
	setDefault(&o.ReservedShare, DefaultReservedShare)
	setDefault(&o.LimitWait, DefaultLimitWait)
	setDefault(&o.ReadAttempts, DefaultReadAttempts)
	setDefault(&o.RetryWait, DefaultRetryWait)
	setDefault(&o.BreakAfter, DefaultBreakAfter)
	setDefault(&o.BreakFor, DefaultBreakFor)
	setDefault(&o.MaxConns, DefaultMaxConns)
	setDefault(&o.MaxValueBytes, DefaultMaxValueBytes)
	setDefault(&o.MaxListBytes, DefaultMaxListBytes)
	if o.UrgentKinds == nil {
		o.UrgentKinds = []string{store.KindClaim, store.KindOrder, store.KindLease, store.KindMember}
	}
	return o
}

func setDefault[T comparable](option *T, value T) {
	var zero T
	if *option == zero {
		*option = value
	}
}

func (o Options) validate() error {
	if o.Addr == "" {
		return &OptionError{"Addr", "give the platform's ip:port"}
	}
	if o.Caller == "" {
		return &OptionError{"Caller", "give this host's name"}
	}
	if o.ReservedShare < 0 || o.ReservedShare >= 1 {
		return &OptionError{"ReservedShare", "use a share of at least 0 and below 1"}
	}
	limits := []struct {
		name string
		ok   bool
	}{
		{"Timeout", o.Timeout > 0},
		{"WatchWait", o.WatchWait > 0},
		{"CallsPerSecond", o.CallsPerSecond > 0},
		{"Burst", o.Burst > 1},
		{"LimitWait", o.LimitWait > 0},
		{"ReadAttempts", o.ReadAttempts > 0},
		{"RetryWait", o.RetryWait > 0},
		{"BreakAfter", o.BreakAfter > 0},
		{"BreakFor", o.BreakFor > 0},
		{"MaxConns", o.MaxConns > 0},
		{"MaxValueBytes", o.MaxValueBytes > 0},
		{"MaxListBytes", o.MaxListBytes > 0},
	}
	for _, l := range limits {
		if !l.ok {
			return &OptionError{l.name, "set a positive value (Burst: at least 2)"}
		}
	}
	return nil
}

func (o Options) urgent(kind string) bool { return slices.Contains(o.UrgentKinds, kind) }
