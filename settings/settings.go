// Package settings reads a process's own settings: an INI file, then the
// environment, then flags, each going before the one named earlier. Every key
// is checked at start.
package settings

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Settings are the settings of one daemon. A key's unit is the end of its name
// (_ms, _s, _bytes, _per_s).
type Settings struct {
	Host     Host     `ini:"host"`
	Platform Platform `ini:"platform"`
	Callers  Callers  `ini:"callers"`
	Peers    Peers    `ini:"peers"`
	Operator Operator `ini:"operators"`
	Streams  Streams  `ini:"streams"`
	Probes   Probes   `ini:"probes"`
	Claims   Claims   `ini:"claims"`
	Orders   Orders   `ini:"orders"`
	Log      Log      `ini:"log"`
}

// Host says who this process is.
type Host struct {
	// Name is unique over the fleet.
	Name string `ini:"name"`
	// FailureDomain is the failure domain.
	FailureDomain string `ini:"failure_domain"`
}

// Platform is the way to the platform's object API.
type Platform struct {
	// Addr is its ip:port.
	Addr string `ini:"addr"`
	// Timeout bounds one call, WatchWait one long poll.
	Timeout   time.Duration `ini:"timeout_ms"`
	WatchWait time.Duration `ini:"watch_wait_ms"`
	// CallsPerSecond and Burst limit this host's own calls.
	CallsPerSecond float64 `ini:"calls_per_s"`
	Burst          int     `ini:"burst"`
}

// Callers is the callers' listener and its limits.
type Callers struct {
	Listen       string        `ini:"listen"`
	BodyBytes    int           `ini:"body_bytes"`
	HeaderBytes  int           `ini:"header_bytes"`
	ReadTimeout  time.Duration `ini:"read_timeout_ms"`
	WriteTimeout time.Duration `ini:"write_timeout_ms"`
	IdleTimeout  time.Duration `ini:"idle_timeout_ms"`
	Connections  int           `ini:"connections"`
	MaxTokens    int           `ini:"max_tokens"`
	// UnreadyGrace is how long a host that shuts down goes on taking work, so
	// that the balancer can turn away.
	UnreadyGrace time.Duration `ini:"unready_grace_ms"`
}

// Peers is the listener for other hosts.
type Peers struct {
	Listen string `ini:"listen"`
	// Advertise is the ip:port that other hosts use; empty means Listen.
	Advertise string `ini:"advertise"`
	// KeyFile holds the key that hosts show each other; empty only on loopback.
	KeyFile string `ini:"key_file"`
	// Seeds are peers' ip:port, separated by commas, to ask while the platform is
	// down and nobody else is known.
	Seeds string `ini:"seeds"`
	// Interval is the mean pause between two exchanges of digests.
	Interval time.Duration `ini:"interval_ms"`
	// IsolatedAfter is how long a host that hears nobody goes on taking work.
	IsolatedAfter time.Duration `ini:"isolated_after_ms"`
	FrameBytes    int           `ini:"frame_bytes"`
}

// AdvertisedAddr returns the ip:port that other hosts use.
func (p Peers) AdvertisedAddr() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// SeedList returns the addresses in Seeds.
func (p Peers) SeedList() []string {
	return strings.FieldsFunc(p.Seeds, func(r rune) bool { return r == ',' || r == ' ' })
}

// Operator is the access for operators.
type Operator struct {
	// TokenFile holds one token a line; empty only on loopback.
	TokenFile string `ini:"token_file"`
}

// Streams says how answers are kept and watched.
type Streams struct {
	ProbeInterval      time.Duration `ini:"probe_interval_ms"`
	StallTimeout       time.Duration `ini:"stall_timeout_ms"`
	AbandonAfter       time.Duration `ini:"abandon_after_ms"`
	KeepEnded          time.Duration `ini:"keep_ended_ms"`
	MaxAttempts        int           `ini:"max_attempts"`
	PrefillApartTokens int           `ini:"prefill_apart_tokens"`
}

// Probes bounds what a host spends on asking runners how they are.
type Probes struct {
	// PerSecond is the base rate of all probes, PerRequest what each request adds.
	PerSecond  float64 `ini:"base_per_s"`
	PerRequest float64 `ini:"per_request"`
	// MinInterval is the shortest time between two probes of one runner.
	MinInterval time.Duration `ini:"min_interval_ms"`
	Timeout     time.Duration `ini:"timeout_ms"`
}

// Claims says how calls that may not be repeated are recorded.
type Claims struct {
	Shards        int           `ini:"shards"`
	BucketWidth   time.Duration `ini:"bucket_width_s"`
	Window        time.Duration `ini:"window_s"`
	FutureSkew    time.Duration `ini:"future_skew_s"`
	Retention     time.Duration `ini:"retention_s"`
	GroupWait     time.Duration `ini:"group_wait_ms"`
	AnswerBytes   int           `ini:"answer_bytes"`
	RecordTimeout time.Duration `ini:"record_timeout_ms"`
}

// Orders says how role changes are carried out.
type Orders struct {
	LeaseTTL     time.Duration `ini:"lease_ttl_ms"`
	DrainTimeout time.Duration `ini:"drain_timeout_ms"`
	GoneAfter    time.Duration `ini:"gone_after_ms"`
	SendTimeout  time.Duration `ini:"send_timeout_ms"`
	// Rebalance turns the automatic change of roles on.
	Rebalance bool `ini:"rebalance"`
}

// Log says what is logged and how.
type Log struct {
	// Level is debug, info, warn or error; it can be changed at run time.
	Level string `ini:"level"`
	// Format is text or json.
	Format string `ini:"format"`
}

// Default returns the settings of a host whose file sets nothing.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second, WatchWait: 10 * time.Second, CallsPerSecond: 50, Burst: 100},
		Callers: Callers{
			Listen: "127.0.0.1:8080", BodyBytes: 4 << 20, HeaderBytes: 16 << 10, ReadTimeout: 10 * time.Second,
			WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, Connections: 16384, MaxTokens: 4096,
			UnreadyGrace: 3 * time.Second,
		},
		Peers: Peers{
			Listen: "127.0.0.1:8081", Interval: 250 * time.Millisecond,
			IsolatedAfter: 5 * time.Second, FrameBytes: 2 << 20,
		},
		Streams: Streams{
			ProbeInterval: time.Second, StallTimeout: 5 * time.Second, AbandonAfter: 2 * time.Second,
			KeepEnded: 30 * time.Second, MaxAttempts: 4, PrefillApartTokens: 512,
		},
		Probes: Probes{PerSecond: 8, PerRequest: 3, MinInterval: 250 * time.Millisecond, Timeout: 500 * time.Millisecond},
		Claims: Claims{
			Shards: 2, BucketWidth: 2 * time.Second, Window: time.Hour, FutureSkew: 30 * time.Second,
			Retention: 3 * time.Hour, GroupWait: 20 * time.Millisecond, AnswerBytes: 4096, RecordTimeout: 5 * time.Second,
		},
		Orders: Orders{
			LeaseTTL: 5 * time.Second, DrainTimeout: 60 * time.Second, GoneAfter: 10 * time.Minute, SendTimeout: 2 * time.Second, Rebalance: true,
		},
		Log: Log{Level: "info", Format: "text"},
	}
}

// KeyError says which key of the settings is wrong and how to mend it.
type KeyError struct {
	// Key is section.key.
	Key     string
	Problem string
	Remedy  string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("settings: %s %s; %s", e.Key, e.Problem, e.Remedy)
}

// Validate checks the settings as a whole and returns the first *KeyError.
func (s *Settings) Validate() error {
	if s.Host.Name == "" {
		return &KeyError{"host.name", "is empty", "name this host; the name must be unique over the fleet"}
	}
	for _, r := range s.Host.Name {
		if r == '~' || r == '/' || r <= ' ' {
			return &KeyError{"host.name", fmt.Sprintf("holds the character %q", r), "use letters, digits, dots and dashes"}
		}
	}
	if s.Host.FailureDomain == "" {
		return &KeyError{"host.failure_domain", "is empty", "name the failure domain that this host runs in"}
	}
	if err := s.validateAddrs(); err != nil {
		return err
	}
	if err := s.validatePositive(); err != nil {
		return err
	}
	if s.Claims.Retention <= s.Claims.Window+s.Claims.FutureSkew+s.Claims.BucketWidth {
		return &KeyError{"claims.retention_s", "is not longer than window_s, future_skew_s and bucket_width_s together", "keep claims for several times the window"}
	}
	switch s.Log.Format {
	case "text", "json":
	default:
		return &KeyError{"log.format", fmt.Sprintf("is %q", s.Log.Format), "use text or json"}
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		return &KeyError{"log.level", fmt.Sprintf("is %q", s.Log.Level), "use debug, info, warn or error"}
	}
	return nil
}

func (s *Settings) validateAddrs() error {
	addrs := []struct{ key, value string }{
		{"platform.addr", s.Platform.Addr},
		{"callers.listen", s.Callers.Listen},
		{"peers.listen", s.Peers.Listen},
		{"peers.advertise", s.Peers.AdvertisedAddr()},
	}
	for _, a := range addrs {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			return &KeyError{a.key, fmt.Sprintf("is %q, not an ip:port", a.value), "write it as 10.0.0.1:8080"}
		}
	}
	for _, seed := range s.Peers.SeedList() {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return &KeyError{"peers.seeds", fmt.Sprintf("holds %q, not an ip:port", seed), "write addresses as 10.0.0.1:8081, separated by commas"}
		}
	}
	if s.Callers.Listen == s.Peers.Listen {
		return &KeyError{"peers.listen", "is the same address as callers.listen", "give the two listeners different ports"}
	}
	if s.Peers.KeyFile == "" && !Loopback(s.Peers.Listen) {
		return &KeyError{"peers.key_file", "is empty but peers.listen is not on loopback", "name a file that holds the hosts' shared key"}
	}
	if s.Operator.TokenFile == "" && !Loopback(s.Callers.Listen) {
		return &KeyError{"operators.token_file", "is empty but callers.listen is not on loopback", "name a file with an operator's token on each line"}
	}
	return nil
}

// Loopback reports whether an ip:port is on the loopback interface.
func Loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host).IsLoopback()
}
