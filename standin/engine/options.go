package engine

import (
	"errors"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Options are the settings of an engine and the constants of its time model.
type Options struct {
	Name string
	// Target is what the engine is when it starts.
	Target state.Target
	// ChecksFence refuses orders with a fence below the highest accepted one.
	ChecksFence bool

	// PrefillTokensPerSecond is shared by all prompts being computed.
	PrefillTokensPerSecond float64
	// PrefillChunkTokens is the most prompt tokens computed in one step.
	PrefillChunkTokens int
	// DecodeBase and DecodePerSequence make up the duration of a decode step.
	DecodeBase        time.Duration
	DecodePerSequence time.Duration
	// MaxBatch is the most sequences decoded in one step.
	MaxBatch int
	// RoleSlowdown divides the speed of the work that isn't the role's own.
	RoleSlowdown float64

	// CacheTokens is the memory of the prefix cache, in tokens.
	CacheTokens int
	// CacheEventLag is the age at which a cache event is told.
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events never told (0 to 1).
	CacheEventLoss float64
	// Seed fixes which cache events are lost.
	Seed uint64

	// KVBytesPerToken is the size of the KV cache.
	KVBytesPerToken int64
	// KVBytesPerSecond is the speed of its transfer between engines.
	KVBytesPerSecond float64
	// KVHandles is the number of exports kept; the oldest is dropped first.
	KVHandles int

	// RoleChange, ModelLoad and AdapterLoad are how long an order takes that
	// changes these.
	RoleChange  time.Duration
	ModelLoad   time.Duration
	AdapterLoad time.Duration

	// SampleEvery is the period of load samples, ReportLag their least age when
	// they are served.
	SampleEvery time.Duration
	ReportLag   time.Duration

	// Exit ends the process; the crash faults call it.
	Exit func(code int)
}

// Defaults returns the settings of an ordinary engine.
func Defaults() Options {
	return Options{
		Target:                 state.Target{Role: state.RoleMixed},
		PrefillTokensPerSecond: 8000,
		PrefillChunkTokens:     512,
		DecodeBase:             12 * time.Millisecond,
		DecodePerSequence:      400 * time.Microsecond,
		MaxBatch:               32,
		RoleSlowdown:           4,
		CacheTokens:            200_000,
		CacheEventLag:          time.Second,
		CacheEventLoss:         0.02,
		KVBytesPerToken:        128 << 10,
		KVBytesPerSecond:       10e9,
		KVHandles:              256,
		RoleChange:             3 * time.Second,
		ModelLoad:              6 * time.Second,
		AdapterLoad:            500 * time.Millisecond,
		SampleEvery:            200 * time.Millisecond,
		ReportLag:              time.Second,
		Exit:                   func(int) {},
	}
}

func (o Options) validate() error {
	switch {
	case o.Name == "":
		return errors.New("the engine has no name; give it one")
	case !o.Target.Role.Valid():
		return errors.New("the engine's role is unknown; use mixed, prefill or decode")
	case o.Target.Model == "":
		return errors.New("the engine has no model; name one")
	case o.PrefillTokensPerSecond <= 0 || o.PrefillChunkTokens < 1:
		return errors.New("the prefill speed or chunk isn't positive; give both in tokens")
	case o.MaxBatch < 1 || o.RoleSlowdown < 1:
		return errors.New("the batch or the slowdown of a role is below 1; raise it")
	case o.KVBytesPerSecond <= 0 || o.KVHandles < 1:
		return errors.New("the KV transfer speed or the number of handles isn't positive; raise it")
	case o.SampleEvery <= 0:
		return errors.New("the period of load samples isn't positive; raise it")
	case o.Exit == nil:
		return errors.New("the engine can't end its process; give an Exit function")
	}
	return nil
}
