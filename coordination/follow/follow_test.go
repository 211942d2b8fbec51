package follow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// defaultDelays are the delays of the default bounds.
var defaultDelays = propagation.New(propagation.Bounds{})

var quiet = slog.New(slog.DiscardHandler)

// testMirror is a mirror of a test platform's objects, with the copies that it passed on.
type testMirror struct {
	*Mirror
	copies []Copy
}

func newTestMirror(t testing.TB, p *storetest.Platform, gather time.Duration) *testMirror {
	f := &testMirror{}
	m, err := New(Options{
		Delays: defaultDelays, RetryGroup: &RetryGroup{},
		Store: p.Client("h"), Clock: clocktest.Bubble{}, Log: quiet, Kind: "things", CoalesceDelay: gather,
		OnChange: func(c Copy) { f.copies = append(f.copies, c) },
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Mirror = m
	return f
}

// put writes an object of the mirrored kind and returns its new version.
func put(t testing.TB, p *storetest.Platform, name, value string, version uint64) uint64 {
	v, err := p.Client("operator").Put(context.Background(), "things", name, version, []byte(value))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// values returns the objects of a copy as sorted NAME=VALUE texts.
func values(c Copy) []string {
	var out []string
	for _, o := range c.Objects {
		out = append(out, o.Name+"="+string(o.Value))
	}
	slices.Sort(out)
	return out
}

// run starts the mirror; the returned function stops it and waits for its end.
func run(t *testing.T, m *Mirror) func() {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	return func() { cancel(); <-done }
}

// Guards against a mirror that polls: a change must arrive by a waiting watch.
func TestWatchDeliversChangesWithoutPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(20 * time.Second)
		v := put(t, p, "a", "1", store.Absent)
		f := newTestMirror(t, p, 0)
		defer run(t, f.Mirror)()
		time.Sleep(10 * time.Second)
		before := p.Calls()
		put(t, p, "a", "2", v)
		synctest.Wait()
		is.Equal(values(f.Export()), []string{"a=2"})
		time.Sleep(15 * time.Second)
		is.True(p.Calls()-before <= 3) // the write and one or two watches
	})
}

// Guards against a billed call for each change: changes within CoalesceDelay cost one call.
func TestCoalescesChangesInQuickSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(20 * time.Second)
		v := put(t, p, "a", "0", store.Absent)
		f := newTestMirror(t, p, time.Second)
		defer run(t, f.Mirror)()
		time.Sleep(2 * time.Second)
		before := p.Calls()
		for i := range 10 {
			v = put(t, p, "a", strconv.Itoa(i), v)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		is.Equal(values(f.Export()), []string{"a=9"})
		is.True(p.Calls()-before <= 10+3)
	})
}

// Guards against retries by every mirror of a host during an outage, in which refused calls are billed
// like answered ones. The leader retries at least every 1.5 s (the longest delay with jitter), the other
// mirror at most every 2 s, and both are up to date soon after the outage.
func TestOneMirrorRetriesForAllInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const outageTime = 10 * time.Second
		p := storetest.NewPlatform(20 * time.Second)
		v := put(t, p, "a", "1", store.Absent)
		group := &RetryGroup{}
		callers := []string{"h1", "h2"}
		var all []*Mirror
		for _, caller := range callers {
			m, err := New(Options{
				Delays: defaultDelays, Store: p.Client(caller), Clock: clocktest.Bubble{}, Log: quiet, Kind: "things", RetryGroup: group, OnChange: func(Copy) {},
			})
			is.NoErr(err)
			defer run(t, m)()
			all = append(all, m)
		}
		time.Sleep(time.Second)
		var mu sync.Mutex
		refused := map[string]int{}
		p.SetScript(func(c storetest.Call) storetest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if !slices.Contains(callers, c.Caller) {
				return storetest.None
			}
			refused[c.Caller]++
			return storetest.Refuse
		})
		put(t, p, "a", "2", v) // ends the waiting watches
		time.Sleep(outageTime)
		p.SetScript(nil)
		mu.Lock()
		most, least := max(refused["h1"], refused["h2"]), min(refused["h1"], refused["h2"])
		mu.Unlock()
		is.True(most >= int(outageTime/defaultDelays.Retry))
		is.True(least <= int(outageTime/defaultDelays.PeerCopyWait)+1)
		time.Sleep(2 * defaultDelays.Retry * 2 / 3)
		for _, m := range all {
			is.Equal(values(m.Export()), []string{"a=2"})
			is.True(!m.Lost())
		}
	})
}

// Guards against a mirror that waits for ever for a leader whose calls fail.
func TestMirrorRetriesItselfAfterPeerCopyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(20 * time.Second)
		group := &RetryGroup{}
		mirror := func(kind, caller string) *Mirror {
			m, err := New(Options{
				Delays: defaultDelays, Store: p.Client(caller), Clock: clocktest.Bubble{}, Log: quiet, Kind: kind, RetryGroup: group, OnChange: func(Copy) {},
			})
			is.NoErr(err)
			return m
		}
		p.SetScript(func(storetest.Call) storetest.Fault { return storetest.Refuse })
		first, second := mirror("things", "never"), mirror("others", "soon")
		defer run(t, first)()
		synctest.Wait()
		defer run(t, second)()
		time.Sleep(time.Second)
		p.SetScript(func(c storetest.Call) storetest.Fault {
			if c.Caller == "never" {
				return storetest.Refuse
			}
			return storetest.None
		})
		time.Sleep(defaultDelays.PeerCopyWait + time.Second)
		is.True(first.Lost())
		is.True(!second.Lost())
	})
}

// Guards against a copy that stays out of date when the store drops its history during an outage.
func TestRelistsAfterHistoryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(20 * time.Second)
		v := put(t, p, "a", "1", store.Absent)
		f := newTestMirror(t, p, 0)
		defer run(t, f.Mirror)()
		time.Sleep(time.Second)
		p.SetScript(func(c storetest.Call) storetest.Fault {
			if c.Caller == "h" {
				return storetest.Refuse
			}
			return storetest.None
		})
		put(t, p, "a", "2", v)
		p.DropHistory()
		time.Sleep(30 * time.Second)
		is.True(f.Lost())
		p.SetScript(nil)
		time.Sleep(3 * time.Second)
		is.True(!f.Lost())
		is.True(f.UnavailableWithin(10 * time.Second))
		is.Equal(values(f.Export()), []string{"a=2"})
	})
}

// Guards against a copy that is replaced by a peer's copy of the same or an earlier revision.
func TestAdoptsPeerCopyOnlyIfNewer(t *testing.T) {
	is := is.New(t)
	f := newTestMirror(t, storetest.NewPlatform(0), 0)
	object := func(v uint64, value string) store.Object {
		return store.Object{Name: "a", Version: v, Value: []byte(value)}
	}
	is.True(f.Adopt(Copy{Revision: 5, Objects: []store.Object{object(5, "new")}}, "p"))
	is.True(!f.Adopt(Copy{Revision: 4, Objects: []store.Object{object(4, "old")}}, "p"))
	is.True(!f.Adopt(Copy{Revision: 5, Objects: nil}, "p"))
	is.Equal(values(f.Export()), []string{"a=new"})
}

// Guards against routes that revert to an earlier version, by a random sequence of writes, outages,
// dropped history and older copies of peers.
func TestHoldsRoutesNeverRevert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 5, 30).Draw(rt, "steps")
		var problem string
		synctest.Test(t, func(t *testing.T) { problem = runConfigSteps(t, steps) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// runConfigSteps applies the steps to a store with a mirror and returns what went wrong, or "".
func runConfigSteps(t *testing.T, steps []int) string {
	p := storetest.NewPlatform(2 * time.Second)
	decode := func(value []byte) (*state.RoutingConfig, error) {
		v, err := strconv.ParseUint(string(value), 10, 64)
		return &state.RoutingConfig{Version: v}, err
	}
	config := NewConfig("main", decode, quiet)
	problem, last := "", uint64(0)
	m, err := New(Options{
		Delays: defaultDelays, RetryGroup: &RetryGroup{},
		Store: p.Client("h"), Clock: clocktest.Bubble{}, Log: quiet, Kind: "things",
		OnChange: func(c Copy) {
			config.Update(c)
			if table := config.Table(); table != nil {
				if table.Version < last {
					problem = fmt.Sprintf("version %d is in force after version %d", table.Version, last)
				}
				last = table.Version
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	version := uint64(10)
	rev := put(t, p, "main", "10", store.Absent)
	stop := run(t, m)
	time.Sleep(time.Second)
	var old []Copy
	for _, step := range steps {
		old = append(old, m.Export())
		switch step {
		case 0, 1:
			version += 3
			rev = put(t, p, "main", strconv.FormatUint(version, 10), rev)
		case 2:
			p.SetScript(func(c storetest.Call) storetest.Fault {
				if c.Caller == "h" {
					return storetest.Refuse
				}
				return storetest.None
			})
		case 3:
			p.SetScript(nil)
		case 4:
			p.DropHistory()
		case 5:
			m.Adopt(old[len(old)/2], "peer")
		}
		time.Sleep(300 * time.Millisecond)
	}
	p.SetScript(nil)
	time.Sleep(5 * time.Second)
	stop()
	if table := config.Table(); problem == "" && (table == nil || table.Version != version) {
		problem = fmt.Sprintf("the last version %d is not in force", version)
	}
	return problem
}

// Guards against the loss of the routes in force when the newest configuration can't be decoded.
func TestUnreadableConfigKeepsLastTable(t *testing.T) {
	is := is.New(t)
	config := NewConfig("main", func(v []byte) (*state.RoutingConfig, error) {
		if string(v) == "bad" {
			return nil, errors.New("bad")
		}
		return &state.RoutingConfig{Version: 7}, nil
	}, quiet)
	is.True(config.Table() == nil)
	config.Update(Copy{Objects: []store.Object{{Name: "main", Value: []byte("good")}}})
	config.Update(Copy{Objects: []store.Object{{Name: "main", Value: []byte("bad")}}})
	is.Equal(config.Table().Version, uint64(7))
}

// update applies a copy of all entries.
func (l *Instances) update(c Copy) {
	l.Apply(Delta{Revision: c.Revision, Full: true, Objects: c.Objects})
}

// wholeList returns a function for InstancesOptions.Publish that calls publish with the whole list
// after each change.
func wholeList(publish func([]state.Instance)) func(state.InstanceChanges) {
	listed := map[state.InstanceID]state.Instance{}
	return func(c state.InstanceChanges) {
		for _, id := range c.Removed {
			delete(listed, id)
		}
		for _, i := range c.Set {
			listed[i.ID] = i
		}
		publish(slices.Collect(maps.Values(listed)))
	}
}

// newInstances returns a list of instances; *outage says whether entries may be missing, and
// *published is the sorted names of the last published list.
func newInstances(outage *bool, published *[]string) *Instances {
	return NewInstances(InstancesOptions{
		Clock: clocktest.Bubble{}, Log: quiet, HoldFor: time.Second, Leaving: func(state.InstanceID) bool { return false }, OnUnusable: func() {}, OnDeparture: func(Departure, time.Duration) {}, EntriesMayBeMissing: func() bool { return *outage },
		Decode: func(id string, v []byte) (state.Instance, error) {
			return state.Instance{ID: state.InstanceID{Name: id}, Addr: id, Draining: string(v) == "draining"}, nil
		},
		Publish: wholeList(func(list []state.Instance) {
			*published = nil
			for _, i := range list {
				*published = append(*published, i.ID.Name)
			}
			slices.Sort(*published)
		}),
	})
}

// entries returns a copy with an entry for each name, at versions 1 and up.
func entries(names ...string) Copy {
	var c Copy
	for i, n := range names {
		c.Objects = append(c.Objects, store.Object{Name: n, Version: uint64(i + 1), Value: []byte("ready")})
	}
	return c
}

// Guards against two instances under one name after a runner restarts: the version at the store
// decides which run is the later one, since the clocks of two runs may differ.
func TestRestartUnderSameNameReplacesInstance(t *testing.T) {
	is := is.New(t)
	var published []state.Instance
	l := NewInstances(InstancesOptions{
		Clock: clocktest.Bubble{}, Log: quiet, EntriesMayBeMissing: func() bool { return false }, Leaving: func(state.InstanceID) bool { return false }, OnUnusable: func() {}, OnDeparture: func(Departure, time.Duration) {},
		Decode: func(id string, v []byte) (state.Instance, error) {
			born, err := strconv.ParseInt(string(v), 10, 64)
			return state.Instance{ID: state.InstanceID{Name: id, Born: born}}, err
		},
		Publish: wholeList(func(list []state.Instance) { published = list }),
	})
	for version, born := range []int64{500, 700, 600} { // the last run's clock is behind
		l.update(Copy{Objects: []store.Object{{Name: "a", Version: uint64(version + 1), Value: []byte(fmt.Sprint(born))}}})
		is.Equal(len(published), 1)
		is.Equal(published[0].ID, state.InstanceID{Name: "a", Born: born})
	}
}

// Guards against requests to an instance whose entry can't be decoded, also if that entry replaced a
// valid one. Other entries aren't affected, and the instance is used again once its entry is valid.
func TestUnusableEntryIsNotPublished(t *testing.T) {
	is := is.New(t)
	var published []string
	unusable := 0
	l := NewInstances(InstancesOptions{
		Clock: clocktest.Bubble{}, Log: quiet, EntriesMayBeMissing: func() bool { return true }, HoldFor: time.Minute, Leaving: func(state.InstanceID) bool { return false },
		OnUnusable: func() { unusable++ }, OnDeparture: func(Departure, time.Duration) {},
		Decode: func(id string, v []byte) (state.Instance, error) {
			if string(v) != "ready" {
				return state.Instance{}, errors.New("not a runner's entry")
			}
			return state.Instance{ID: state.InstanceID{Name: id}, Addr: id}, nil
		},
		Publish: wholeList(func(list []state.Instance) {
			published = nil
			for _, i := range list {
				published = append(published, i.ID.Name)
			}
			slices.Sort(published)
		}),
	})
	list := func(version uint64, values ...string) Copy {
		var c Copy
		for i, v := range values {
			c.Objects = append(c.Objects, store.Object{Name: string(rune('a' + i)), Version: version, Value: []byte(v)})
		}
		return c
	}
	l.update(list(1, "ready", "ready", "nonsense"))
	is.Equal(published, []string{"a", "b"})
	l.update(list(2, "ready", "nonsense", "nonsense"))
	is.Equal(published, []string{"a"})
	is.Equal(unusable, 3)
	l.update(list(2, "ready", "nonsense", "nonsense")) // the same copy again
	is.Equal(unusable, 3)
	l.update(list(3, "ready", "ready", "nonsense"))
	is.Equal(published, []string{"a", "b"})
	l.update(list(4, "ready", "ready")) // a missing entry that was unusable isn't held
	is.Equal(published, []string{"a", "b"})
}

// Guards against two instances at one address: after a runner crashed, its entry remains listed while
// another runner has taken its address. Only the entry that was written last is used.
func TestLatestEntryOwnsSharedAddress(t *testing.T) {
	is := is.New(t)
	var published []string
	l := NewInstances(InstancesOptions{
		Clock: clocktest.Bubble{}, Log: quiet, EntriesMayBeMissing: func() bool { return false }, Leaving: func(state.InstanceID) bool { return false }, OnUnusable: func() {}, OnDeparture: func(Departure, time.Duration) {},
		Decode: func(id string, v []byte) (state.Instance, error) {
			return state.Instance{ID: state.InstanceID{Name: id}, Addr: string(v)}, nil
		},
		Publish: wholeList(func(list []state.Instance) {
			published = nil
			for _, i := range list {
				published = append(published, i.ID.Name)
			}
			slices.Sort(published)
		}),
	})
	object := func(name, addr string, version uint64) store.Object {
		return store.Object{Name: name, Version: version, Value: []byte(addr)}
	}
	l.update(Copy{Objects: []store.Object{object("crashed", "1", 5), object("other", "2", 6)}})
	is.Equal(published, []string{"crashed", "other"})
	l.update(Copy{Objects: []store.Object{object("crashed", "1", 5), object("other", "2", 6), object("next", "1", 7)}})
	is.Equal(published, []string{"next", "other"})
	l.update(Copy{Objects: []store.Object{object("crashed", "1", 5), object("other", "2", 6)}})
	is.Equal(published, []string{"crashed", "other"})
}

// Guards against requests to an instance that left: without an outage it is removed at once.
func TestMissingInstanceIsRemovedAtOnceWithoutOutage(t *testing.T) {
	is := is.New(t)
	outage, published := false, []string{}
	l := newInstances(&outage, &published)
	l.update(entries("a", "b"))
	l.update(entries("a"))
	is.Equal(published, []string{"a"})
}

// Guards against the removal of live instances whose entries are missing after an outage. They are
// held for HoldFor only.
func TestMissingInstanceIsHeldAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		outage, published := true, []string{}
		l := newInstances(&outage, &published)
		l.update(entries("a", "b", "c"))
		l.update(entries("a"))
		is.Equal(published, []string{"a", "b", "c"})
		time.Sleep(500 * time.Millisecond)
		l.update(entries("a", "b")) // b has registered again
		time.Sleep(600 * time.Millisecond)
		l.removeExpired()
		is.Equal(published, []string{"a", "b"})
	})
}

// Guards against a watch that began before a newer copy was adopted: its events must neither bring
// back objects that the newer copy lacks nor delete objects that it has.
func TestOldEventsDoNotOverrideNewerCopy(t *testing.T) {
	is := is.New(t)
	f := newTestMirror(t, storetest.NewPlatform(0), 0)
	object := func(name string, v uint64) store.Object {
		return store.Object{Name: name, Version: v, Value: []byte(fmt.Sprint(v))}
	}
	is.True(f.Adopt(Copy{Revision: 20, Objects: []store.Object{object("kept", 15)}}, "peer"))
	// This watch began before the copy was adopted and ends now.
	f.apply(store.Batch{Revision: 12, Events: []store.Event{
		{Object: object("gone", 11)}, {Object: object("kept", 10), Deleted: true},
	}}, SourceWatch)
	is.Equal(values(f.Export()), []string{"kept=15"})
	is.Equal(f.Revision(), uint64(20))
	// A watch that ends at a later revision also returns events that the copy already reflects.
	f.apply(store.Batch{Revision: 22, Events: []store.Event{
		{Object: object("gone", 11)}, {Object: object("kept", 10), Deleted: true}, {Object: object("new", 21)},
	}}, SourceWatch)
	is.Equal(values(f.Export()), []string{"kept=15", "new=21"})
	f.apply(store.Batch{Revision: 24, Events: []store.Event{{Object: object("kept", 15), Deleted: true}}}, SourceWatch)
	is.Equal(values(f.Export()), []string{"new=21"})
}

// Guards against an instance that is held after the outage window has ended.
func TestHeldInstanceIsRemovedWhenOutageWindowEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		outage, published := true, []string{}
		l := newInstances(&outage, &published)
		l.update(entries("a", "b"))
		l.update(entries("a")) // late in the outage window
		is.Equal(published, []string{"a", "b"})
		time.Sleep(100 * time.Millisecond)
		outage = false
		l.removeExpired()
		is.Equal(published, []string{"a"}) // b has really left
	})
}

// Guards against a store that counts as lost until something changes: its recovery must be noticed
// without a change.
func TestDetectsStoreRecoveryWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(20 * time.Second)
		put(t, p, "a", "1", store.Absent)
		m, err := New(Options{
			Delays: defaultDelays, RetryGroup: &RetryGroup{},
			Store: p.Client("h"), Clock: clocktest.Bubble{}, Log: quiet, Kind: "things", OnChange: func(Copy) {},
		})
		is.NoErr(err)
		defer run(t, m)()
		time.Sleep(time.Second)
		p.SetScript(func(storetest.Call) storetest.Fault { return storetest.Refuse })
		time.Sleep(25 * time.Second) // the waiting watch ends and the next calls fail
		is.True(m.Lost())
		p.SetScript(nil)
		time.Sleep(3 * time.Second)
		is.True(!m.Lost()) // although nothing has changed
	})
}

// Guards against new requests to a run that announced that it leaves while its entry still says ready.
// Another run under the same name isn't affected.
func TestRunThatAnnouncedLeavingIsDraining(t *testing.T) {
	is := is.New(t)
	left := map[state.InstanceID]bool{}
	var got []state.Instance
	l := NewInstances(InstancesOptions{
		Clock: clocktest.Bubble{}, Log: quiet, EntriesMayBeMissing: func() bool { return false }, OnUnusable: func() {}, OnDeparture: func(Departure, time.Duration) {},
		Leaving: func(id state.InstanceID) bool { return left[id] },
		Decode: func(id string, v []byte) (state.Instance, error) {
			born, err := strconv.ParseInt(string(v), 10, 64)
			return state.Instance{ID: state.InstanceID{Name: id, Born: born}, Addr: id}, err
		},
		Publish: wholeList(func(list []state.Instance) { got = list }),
	})
	l.update(Copy{Revision: 1, Objects: []store.Object{{Name: "a", Version: 1, Value: []byte("7")}}})
	is.True(!got[0].Draining)
	left[got[0].ID] = true
	l.Republish(state.InstanceID{Name: "a", Born: 7})
	is.True(got[0].Draining)
	l.update(Copy{Revision: 2, Objects: []store.Object{{Name: "a", Version: 2, Value: []byte("7")}}}) // a heartbeat writes the entry as ready again
	is.True(got[0].Draining)
	l.update(Copy{Revision: 3, Objects: []store.Object{{Name: "a", Version: 3, Value: []byte("8")}}})
	is.True(!got[0].Draining)
}
