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

// unreachablePeers answers for peers that can't be reached.
type unreachablePeers struct{}

func (unreachablePeers) Config(context.Context, state.Member, rollout.Request) (rollout.VersionedValue, error) {
	return rollout.VersionedValue{}, errors.New("no peer")
}

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

// TestEditWithLostAnswerIsReadBack loses the answer of an edit and lets other edits follow
// before it is read back: the edit must be recognised as accepted, with the
// version it made, or as refused if another came first.
func TestEditWithLostAnswerIsReadBack(t *testing.T) {
	for _, conflicting := range []bool{false, true} {
		t.Run(fmt.Sprintf("overtaken=%v", conflicting), func(t *testing.T) {
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
						if gets++; gets == 2 && !conflicting { // the first reading back
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

// currentVersion returns the present version of the shared object.
func currentVersion(p *storetest.Platform) uint64 {
	o, err := p.Client("test").Get(context.Background(), store.KindConfig, rollout.ObjectName)
	if err != nil {
		panic(err)
	}
	return o.Version
}

// lossyPeers is a peer that loses its first answers.
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

// TestFailedFetchIsRepeated gives one hint only, with the platform down.
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
