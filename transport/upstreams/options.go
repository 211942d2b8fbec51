package upstreams

import (
	"fmt"
	"time"

	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// The defaults of Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultWriteTimeout    = 5 * time.Second
	DefaultAcceptTimeout   = 2 * time.Minute
	DefaultSilenceTimeout  = 2 * time.Minute
	DefaultCallTimeout     = 10 * time.Minute
	DefaultCheckTimeout    = time.Second
	DefaultOrderTimeout    = 5 * time.Second
	DefaultUserTimeout     = 12 * time.Second
	DefaultMaxConns        = 2048
	DefaultMaxIdle         = 3 * time.Second
	DefaultMaxAnswerBytes  = 16 << 20
	DefaultMaxEventBytes   = 256 << 10
	DefaultMaxControlBytes = 1 << 20
)

const (
	// maxHeaderBytes bounds the header of a response; every connection in use has a
	// buffer of that size.
	maxHeaderBytes = 8 << 10
	// maxControlConns bounds the checks, load reports and cancels at one upstream
	// at a time, and as many orders.
	maxControlConns = 16
)

// Options configures a Client. Zero values take the defaults above.
type Options struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// WriteTimeout bounds the sending of a request.
	WriteTimeout time.Duration
	// AcceptTimeout bounds the wait for an engine to accept an attempt. Some
	// engines send nothing before the first token, so it has to cover their queue.
	AcceptTimeout time.Duration
	// SilenceTimeout bounds the time between two reads of a stream.
	SilenceTimeout time.Duration
	// CallTimeout bounds a prefill and a call of a plain service. The context's
	// deadline usually comes first.
	CallTimeout time.Duration
	// CheckTimeout bounds a health check and the reading of a load report.
	CheckTimeout time.Duration
	// OrderTimeout bounds an order's answer and, as TCP_USER_TIMEOUT, how long
	// the kernel tries to deliver an order.
	OrderTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT of all other connections: how long sent
	// data or a keepalive probe may stay unanswered.
	UserTimeout time.Duration
	// MaxConns bounds the connections to one upstream, in each of two pools:
	// kept connections, and those of calls that may not be repeated.
	MaxConns int
	// MaxIdle is how long an unused connection is kept.
	MaxIdle time.Duration
	// MaxAnswerBytes bounds a plain service's answer.
	MaxAnswerBytes int
	// MaxEventBytes bounds one line and one event of a stream.
	MaxEventBytes int
	// MaxControlBytes bounds every other answer.
	MaxControlBytes int
	// Backoff is told when an upstream refuses work and says for how long it wants none; nil
	// if nobody asks.
	Backoff func(u state.Upstream, rest time.Duration)
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
	return fmt.Sprintf("upstream client: option %s: %s", e.Option, e.Remedy)
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.AcceptTimeout, DefaultAcceptTimeout)
	setDefault(&o.SilenceTimeout, DefaultSilenceTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.CheckTimeout, DefaultCheckTimeout)
	setDefault(&o.OrderTimeout, DefaultOrderTimeout)
	setDefault(&o.UserTimeout, DefaultUserTimeout)
	setDefault(&o.MaxConns, DefaultMaxConns)
	setDefault(&o.MaxIdle, DefaultMaxIdle)
	setDefault(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&o.MaxEventBytes, DefaultMaxEventBytes)
	setDefault(&o.MaxControlBytes, DefaultMaxControlBytes)
	return o
}

func setDefault[T comparable](option *T, value T) {
	var zero T
	if *option == zero {
		*option = value
	}
}

func (o Options) validate() error {
	limits := []struct {
		name  string
		value int64
	}{
		{"DialTimeout", int64(o.DialTimeout)},
		{"WriteTimeout", int64(o.WriteTimeout)},
		{"AcceptTimeout", int64(o.AcceptTimeout)},
		{"SilenceTimeout", int64(o.SilenceTimeout)},
		{"CallTimeout", int64(o.CallTimeout)},
		{"CheckTimeout", int64(o.CheckTimeout)},
		{"OrderTimeout", int64(o.OrderTimeout)},
		{"UserTimeout", int64(o.UserTimeout)},
		{"MaxConns", int64(o.MaxConns)},
		{"MaxIdle", int64(o.MaxIdle)},
		{"MaxAnswerBytes", int64(o.MaxAnswerBytes)},
		{"MaxEventBytes", int64(o.MaxEventBytes)},
		{"MaxControlBytes", int64(o.MaxControlBytes)},
	}
	for _, l := range limits {
		if l.value <= 0 {
			return &OptionError{l.name, "set a positive limit"}
		}
	}
	return nil
}
