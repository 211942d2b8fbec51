package routed

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/platform/platformtest"
)

// newTestMembers returns a list of hosts without a store.
func newTestMembers(tb testing.TB) *members {
	tb.Helper()
	s, err := platform.DecodeSettings(platformtest.SettingsFile(platformtest.HostAddrs{Name: "h", IP: "127.0.0.9", Domain: "d", Store: "127.0.0.1:1"}))
	if err != nil {
		tb.Fatal(err)
	}
	return newMembers(nil, s, slog.New(slog.DiscardHandler))
}

const goodEntry = `{"addr":"127.0.0.5:17660","class":3,"failure_domain":"d"}`

// Invalid entries in the list of hosts must not affect the valid ones.
func FuzzHostEntries(f *testing.F) {
	f.Add([]byte(`{"addr":7}`))
	f.Add([]byte(`null`))
	f.Add([]byte("\xff\xfe"))
	f.Add([]byte(`{"addr":"","class":1e99}`))
	f.Fuzz(func(t *testing.T, other []byte) {
		m := newTestMembers(t)
		m.applyCopy(follow.Copy{Revision: 3, Objects: []store.Object{
			{Name: "other", Version: 2, Value: other}, {Name: "good", Version: 1, Value: []byte(goodEntry)},
		}})
		found := false
		for _, h := range m.All() {
			if h.Addr == "" {
				t.Errorf("a host without an address was accepted from %q", other)
			}
			found = found || (h.Addr == "127.0.0.5:17660" && h.Class == 3 && h.FailureDomain == "d")
		}
		if !found {
			t.Errorf("the valid entry is missing next to %q", other)
		}
	})
}

// A host whose entry is missing registers again, unless the list is older than its entry.
func TestHostReregistersMissingEntry(t *testing.T) {
	is := is.New(t)
	m := newTestMembers(t)
	m.registered.Store(true)
	m.minRevision.Store(9)
	m.applyCopy(follow.Copy{Revision: 8, Objects: []store.Object{{Name: "good", Version: 1, Value: []byte(goodEntry)}}})
	is.True(m.registered.Load())
	m.applyCopy(follow.Copy{Revision: 10, Objects: []store.Object{{Name: "good", Version: 1, Value: []byte(goodEntry)}}})
	is.True(!m.registered.Load())
	is.True(!m.contains(m.self()))
}

// Guards against a host that stays unlisted because a restored store lost its entry.
func TestHostReregistersAfterStoreRestore(t *testing.T) {
	is := is.New(t)
	m := newHost(t).members
	m.registered.Store(true)
	m.minRevision.Store(store.MakeVersion(1, 30))
	m.applyCopy(follow.Copy{Revision: store.MakeVersion(1, 29)}) // a copy that is older than its entry
	is.True(m.registered.Load())
	m.applyCopy(follow.Copy{Revision: store.MakeVersion(2, 12)})
	is.True(!m.registered.Load())
}
