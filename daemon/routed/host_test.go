package routed

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/platform/platformtest"
	"github.com/thymerack/thymerack/state"
)

func testOptions(t *testing.T) Options {
	t.Helper()
	s, err := platform.DecodeSettings(platformtest.SettingsFile(platformtest.HostAddrs{
		Name: "h", IP: "127.0.0.9", Domain: "d", Store: "127.0.0.1:1", Seeds: []string{"127.0.0.9:1", "127.0.0.8:1"},
	}))
	if err != nil {
		t.Fatal(err)
	}
	return Options{
		Settings: s, Log: slog.New(slog.DiscardHandler), PrefillShare: 0.68, SplitTokens: 600, RequiredRunnerShare: 1,
		LogLinesDropped: func() uint64 { return 0 },
	}
}

func newHost(t *testing.T) *Host {
	t.Helper()
	h, err := New(testOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// configure puts the test deployment's first configuration in force.
func configure(t *testing.T, h *Host) {
	t.Helper()
	value, err := json.Marshal(platformtest.Config(1))
	if err != nil {
		t.Fatal(err)
	}
	h.config.Update(follow.Copy{Revision: 1, Objects: []store.Object{{Name: platform.ConfigName, Value: value}}})
}

func TestInvalidOptionsNameRemedy(t *testing.T) {
	for remedy, change := range map[string]func(*Options){
		"pass both":                    func(o *Options) { o.Log = nil },
		"share of prefill in the work": func(o *Options) { o.PrefillShare = 1 },
	} {
		is := is.New(t)
		o := testOptions(t)
		change(&o)
		_, err := New(o)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), remedy))
	}
}

func TestHostIsReadyWithConfigAndRunnerList(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	is.True(!h.isReady())
	configure(t, h)
	is.True(!h.isReady())
	is.True(h.instanceMirror.Adopt(follow.Copy{Revision: 2}, "peer"))
	is.True(h.isReady())
}

func TestSharedLimitsAreDividedAmongHosts(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	is.Equal(h.members.Hosts(), assumedHosts)                  // as if the fleet were large, until the list is read
	is.Equal(h.connLimit(platformtest.ServicePlain), minConns) // no configuration yet
	configure(t, h)
	var hosts []state.Peer
	for i := range 10 {
		hosts = append(hosts, state.Peer{Addr: fmt.Sprintf("127.0.0.%d:17660", i)})
	}
	h.members.listed.Store(&hosts)
	is.Equal(h.connLimit(platformtest.ServicePlain), 24) // of 300, with a fifth left free
	is.Equal(h.connLimit("unknown"), minConns)
	total := h.retrySlack() * float64(len(hosts))
	is.True(total < h.settings.Bounds.RetrySlack)
}

// A host counts as in touch with the store again 3 s after a cut. A watch that waits
// through a cut is sent its changes again 0.2, 0.6, 1.4, 3.0 and 6.2 s after they were
// lost, so that cuts longer than 3 s must be noticed by silence.
func TestStoreConnectionLossIsDetectedInTime(t *testing.T) {
	is := is.New(t)
	const secondLastRetransmission = 3 * time.Second
	silence := storeKeepAlive * (1 + storeKeepAliveCount)
	is.True(silence <= secondLastRetransmission)
	is.True(storeUserTimeout <= silence)
	is.Equal(storeKeepAlive%time.Second, time.Duration(0)) // the kernel rounds up
}

// A store that is silent for some seconds may forget waiting watches without a sign: they
// end by themselves before the bounds apply again, at any size of the bounds.
func TestDroppedWatchEndsBeforeBoundsApply(t *testing.T) {
	for name, b := range map[string]platform.Bounds{
		"small":   {Contact: 3 * time.Second, Drain: 2 * time.Second, ConfigInForce: 2 * time.Second},
		"grown":   {Contact: 4 * time.Second, Drain: 3 * time.Second, ConfigInForce: 3 * time.Second},
		"large":   {Contact: 5 * time.Second, Drain: 4 * time.Second, ConfigInForce: 4 * time.Second},
		"unequal": {Contact: 3 * time.Second, Drain: 4 * time.Second, ConfigInForce: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHost(t)
			h.settings.Bounds = b
			is.True(h.boundedWatchWait() >= minWatchWait)
			is.True(h.boundedWatchWait()+storeTimeout+instancesCoalesceDelay < b.Contact+min(b.Drain, b.ConfigInForce))
		})
	}
}

func TestFewHostsPollLeaseFrequently(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	is.Equal(h.leasePollInterval(), infrequentPollInterval) // the list of hosts isn't read yet
	alone := []state.Peer{{Addr: h.members.addr(h.settings.IP)}}
	h.members.listed.Store(&alone)
	is.Equal(h.leasePollInterval(), frequentPollInterval) // whether or not the settings name it as a seed
	many := slices.Clone(alone)
	for i := range frequentPollers {
		many = append(many, state.Peer{Addr: fmt.Sprint("stronger-", i), Class: 1})
	}
	h.members.listed.Store(&many)
	is.Equal(h.leasePollInterval(), infrequentPollInterval)
}

func TestPeersAreTheSeedsUntilTheListIsRead(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	is.Equal(h.members.Peers(), []string{"127.0.0.8:17660"}) // never itself
	h.Reload(platform.Settings{Seeds: []string{"127.0.0.7:1"}})
	is.Equal(h.members.Peers(), []string{"127.0.0.7:17660"})
	listed := []state.Peer{{Addr: "127.0.0.9:17660"}, {Addr: "127.0.0.5:17660"}}
	h.members.listed.Store(&listed)
	is.Equal(h.members.Peers(), []string{"127.0.0.5:17660"})
}

func TestCapacityClassGrowsWithResources(t *testing.T) {
	is := is.New(t)
	small := platform.Limits{Cores: 0.192, LinkBits: 10e6}
	big := platform.Limits{Cores: 0.8, LinkBits: 200e6}
	is.True(capacityClass(big) > capacityClass(small))
	is.Equal(capacityClass(small), capacityClass(platform.Limits{Cores: 0.2, LinkBits: 12e6})) // small differences don't count
	is.Equal(capacityClass(platform.Limits{}), 0)                                              // nothing is known
}
