package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/fuzztest"
	"github.com/thymerack/thymerack/coordination/rollout"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

func TestMain(m *testing.M) { fuzztest.Main(m, fuzztest.Defaults{Seed: 20260101, Checks: 15}) }

// unreachablePeers implements rollout.Peers; every fetch fails.
type unreachablePeers struct{}

func (unreachablePeers) Config(context.Context, state.Member, rollout.Request) (rollout.VersionedValue, error) {
	return rollout.VersionedValue{}, errors.New("no peer")
}

// newManager returns a manager without reachable peers whose Check refuses every
// configuration that has policies.
func newManager(t *testing.T, s store.Store, name string) *rollout.Manager {
	t.Helper()
	m, err := rollout.New(rollout.Options{
		Self: state.HostID{Name: name, Incarnation: "1"}, Store: s, Peers: unreachablePeers{}, Clock: clocktest.Bubble{},
		Check: func(c *state.Config) error {
			if len(c.Policies) > 0 {
				return &state.ConfigError{Where: "policies[0]", Problem: "doesn't compile", Remedy: "correct it"}
			}
			return nil
		},
		Apply: func(*state.Config) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// TestEditsOnAnOldVersionAreRefused guards against an edit that overwrites a version
// its author hasn't read, and against one with a misspelt field.
func TestEditsOnAnOldVersionAreRefused(t *testing.T) {
	is := is.New(t)
	p := storetest.NewPlatform(time.Second)
	m := newManager(t, p.Client("a"), "a")
	first, err := m.Edit(t.Context(), 0, config(1))
	is.NoErr(err)
	second, err := m.Edit(t.Context(), first, config(2))
	is.NoErr(err)
	is.Equal(m.Version(), second)
	_, err = m.Edit(t.Context(), first, config(3))
	var conflict *rollout.EditConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, rollout.EditConflictError{Base: first, Current: second})
	_, err = m.Edit(t.Context(), second, []byte(`{"services":[],"clases":[]}`))
	var invalid *state.ConfigError
	is.True(errors.As(err, &invalid))
	is.Equal(m.Version(), second)
}

// TestEditWithLostAnswerIsReadBack guards against a wrong result for an edit whose
// answer is lost. If other edits follow before it is read back, it must be reported
// as accepted with the version that it created. If another edit on the same base
// came first, it must be reported as a conflict.
func TestEditWithLostAnswerIsReadBack(t *testing.T) {
	for _, conflicting := range []bool{false, true} {
		t.Run(fmt.Sprintf("conflicting=%v", conflicting), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := storetest.NewPlatform(time.Second)
				a, b := newManager(t, p.Client("a"), "a"), newManager(t, p.Client("b"), "b")
				base, err := b.Edit(t.Context(), 0, config(1))
				is.NoErr(err)
				gets := 0
				p.SetScript(func(c storetest.Call) storetest.Fault {
					switch {
					case c.Caller == "a" && c.Op == "put" && !conflicting:
						return storetest.LoseAnswer
					case c.Caller == "a" && c.Op == "put":
						_, err := b.Edit(t.Context(), base, config(2))
						is.NoErr(err)
						return storetest.LoseAnswer
					case c.Caller == "a" && c.Op == "get":
						if gets++; gets == 2 && !conflicting { // the first read after the write
							for range 5 {
								_, err := b.Edit(t.Context(), currentVersion(p), config(2))
								is.NoErr(err)
							}
						}
					}
					return storetest.None
				})
				version, err := a.Edit(t.Context(), base, config(3))
				if !conflicting {
					is.NoErr(err)
					is.Equal(version, base+1)
					return
				}
				var conflict *rollout.EditConflictError
				is.True(errors.As(err, &conflict))
				is.Equal(conflict.Current, base+1)
			})
		})
	}
}

// currentVersion returns the version of the configuration object.
func currentVersion(p *storetest.Platform) uint64 {
	o, err := p.Client("test").Get(context.Background(), store.KindConfig, rollout.ObjectName)
	if err != nil {
		panic(err)
	}
	return o.Version
}

// lossyPeers implements rollout.Peers. As many fetches as failures fail, and later
// ones return value.
type lossyPeers struct {
	value    rollout.VersionedValue
	failures int
}

func (f *lossyPeers) Config(context.Context, state.Member, rollout.Request) (rollout.VersionedValue, error) {
	if f.failures > 0 {
		f.failures--
		return rollout.VersionedValue{}, errors.New("lost by the test")
	}
	return f.value, nil
}

// TestFailedFetchIsRepeated guards against a version that is never applied because
// the fetch after its only hint failed while the platform was unavailable.
func TestFailedFetchIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		p.SetScript(func(storetest.Call) storetest.Fault { return storetest.Refuse })
		m, err := rollout.New(rollout.Options{
			Self: state.HostID{Name: "a", Incarnation: "1"}, Store: p.Client("a"), Clock: clocktest.Bubble{},
			Peers: &lossyPeers{value: rollout.VersionedValue{Version: 7, Value: config(1)}, failures: 2},
			Apply: func(*state.Config) bool { return true },
		})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = m.Run(ctx)
			close(done)
		}()
		m.Hint(state.Member{ID: state.HostID{Name: "b", Incarnation: "1"}}, 7)
		time.Sleep(time.Second)
		is.Equal(m.Version(), uint64(7))
		cancel()
		<-done
	})
}

// TestInvalidObjectIsRefusedAndReported guards against an invalid object that
// replaces the version in force, isn't reported, or can't be replaced by an edit.
func TestInvalidObjectIsRefusedAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		m := newManager(t, p.Client("a"), "a")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = m.Run(ctx)
			close(done)
		}()
		put := func(base uint64, value string) uint64 {
			v, err := p.Client("operator").Put(ctx, store.KindConfig, rollout.ObjectName, base, []byte(value))
			is.NoErr(err)
			synctest.Wait()
			return v
		}
		good := put(0, string(config(1))) // another tool's value, without envelope
		<-m.Ready()
		is.Equal(m.Version(), good)
		bad := put(good, `{"services":[{"name":"s","kind":"service"}],"classes":[{"name":"c","deadline_ms":1}],"policies":[{"name":"p","hook":"admit","source":"("}]}`)
		is.Equal(m.Version(), good)
		is.Equal(m.LastRefused().Version, bad)
		next, err := m.Edit(ctx, bad, config(2))
		is.NoErr(err)
		is.Equal(m.Version(), next)
		is.Equal(m.LastRefused(), nil)
		cancel()
		<-done
	})
}
