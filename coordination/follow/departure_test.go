package follow

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// followedInstances is a list of instances that a mirror of a test store keeps up to date, with what
// it logged and how it learned that instances leave. Entries hold "ready" or "draining".
type followedInstances struct {
	*Instances
	*Mirror
	store      *storetest.Platform
	log        bytes.Buffer
	departures []string

	mu     sync.Mutex
	listed map[string]state.Instance
}

func newFollowedInstances(t *testing.T) *followedInstances {
	f := &followedInstances{store: storetest.NewPlatform(2 * time.Second)}
	log := slog.New(slog.NewTextHandler(&f.log, nil))
	f.Instances = NewInstances(InstancesOptions{
		Clock: clocktest.Bubble{}, Log: log, Leaving: func(state.InstanceID) bool { return false }, OnUnusable: func() {},
		HoldFor: testHold * 9 / 10, HeartbeatTimeout: testSilent,
		EntriesMayBeMissing: func() bool { return f.Mirror.UnavailableWithin(testHold) },
		OnDeparture: func(d Departure, age time.Duration) {
			f.departures = append(f.departures, fmt.Sprintf("%s %v", d, age.Round(10*time.Millisecond)))
		},
		Decode: func(id string, v []byte) (state.Instance, error) {
			return state.Instance{ID: state.InstanceID{Name: id}, Addr: id, Draining: string(v) == "draining"}, nil
		},
		Publish: wholeList(func(list []state.Instance) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.listed = map[string]state.Instance{}
			for _, i := range list {
				f.listed[i.ID.Name] = i
			}
		}),
	})
	var err error
	f.Mirror, err = New(Options{
		Delays: defaultDelays, Store: f.store.Client("h"), Clock: clocktest.Bubble{}, Log: log, Kind: "things", RetryGroup: &RetryGroup{}, OnDelta: f.Apply,
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// instance returns an instance of the list.
func (f *followedInstances) instance(name string) (i state.Instance, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, listed = f.listed[name]
	return i, listed
}

// write creates or replaces an entry, remove deletes it.
func (f *followedInstances) write(t *testing.T, name, value string) {
	var version uint64
	if o, err := f.store.Client("operator").Get(t.Context(), "things", name); err == nil {
		version = o.Version
	}
	put(t, f.store, name, value, version)
}

func (f *followedInstances) remove(t *testing.T, name string) {
	c := f.store.Client("operator")
	o, err := c.Get(t.Context(), "things", name)
	if err == nil {
		err = c.Delete(t.Context(), "things", name, o.Version)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// cutOff makes the store refuse this host's calls, or ends that.
func (f *followedInstances) cutOff(cut bool) {
	if !cut {
		f.store.SetScript(nil)
		return
	}
	f.store.SetScript(func(c storetest.Call) storetest.Fault {
		if c.Caller == "h" {
			return storetest.Refuse
		}
		return storetest.None
	})
}

// Guards against a leaving runner that can't be traced: the log names the call that brought each
// change, and how old the copy was before it.
func TestChangesNameTheirSourceAndCopyAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFollowedInstances(t)
		f.write(t, "a", "ready")
		f.write(t, "b", "ready")
		f.write(t, "c", "ready")
		defer run(t, f.Mirror)()
		time.Sleep(1500 * time.Millisecond)
		f.write(t, "a", "draining")
		synctest.Wait()
		is.True(strings.Contains(f.log.String(), `instance=a service="" draining=true role="" revision=4 source=watch copy_age=1.5s`))
		f.cutOff(true)
		f.remove(t, "b") // the watch brings this; the next call is refused
		time.Sleep(time.Second)
		f.Merge(Delta{Revision: 6, Deleted: []store.Object{{Name: "c", Version: 6}}}, "10.0.0.7", time.Now())
		is.True(strings.Contains(f.log.String(), `msg="instance missing after an outage; held for now" instance=c`))
		is.True(strings.Contains(f.log.String(), `source="peer 10.0.0.7"`))
		held, _ := f.instance("c")
		is.True(held.Unconfirmed)
		is.Equal(f.Unconfirmed(), 1)
		ctx := t.Context()
		go f.Instances.Run(ctx)
		time.Sleep(testHold)
		is.Equal(f.Unconfirmed(), 0)
		is.True(strings.Contains(f.log.String(), `msg="held instance removed" instance=c service="" draining=false role="" revision=6 source=timer copy_age=0s held=1.8s`))
		is.Equal(f.departures, []string{"draining 1.5s", "removed 1.5s", "held 1.8s"})
	})
}

// Guards against a hold of a runner that said that it leaves: the host learns of the word and of the
// removal by one batch, after it was cut off from the store.
func TestRunnerThatSaidItLeavesIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFollowedInstances(t)
		f.write(t, "a", "ready")
		f.write(t, "b", "ready")
		defer run(t, f.Mirror)()
		time.Sleep(time.Second)
		f.cutOff(true)
		time.Sleep(3 * time.Second)
		f.write(t, "a", "draining")
		time.Sleep(testHold)
		f.remove(t, "a")
		f.remove(t, "b")
		f.cutOff(false)
		time.Sleep(testHold / 2)
		_, listed := f.instance("a")
		is.True(!listed)
		held, _ := f.instance("b")
		is.True(held.Unconfirmed) // it said nothing, and may register again
	})
}
