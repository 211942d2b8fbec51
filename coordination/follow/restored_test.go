package follow

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	testHold   = 2 * time.Second
	testSilent = 4 * time.Second
)

// testInstances is a list of instances. Published instances are written NAME=BORN, or NAME=BORN! if
// draining.
type testInstances struct {
	*Instances
	startedAt time.Time
	published []string
	// outageUntil is until when entries of live instances may be missing.
	outageUntil time.Time
}

func newTestInstances() *testInstances {
	r := &testInstances{startedAt: time.Now()}
	r.Instances = NewInstances(InstancesOptions{
		Clock: clocktest.Bubble{}, Log: quiet, HoldFor: testHold * 9 / 10, HeartbeatTimeout: testSilent, OnUnusable: func() {}, OnDeparture: func(Departure, time.Duration) {},
		Leaving:             func(state.InstanceID) bool { return false },
		EntriesMayBeMissing: func() bool { return time.Now().Before(r.outageUntil) },
		Decode: func(id string, v []byte) (state.Instance, error) {
			text, draining := strings.CutSuffix(string(v), "!")
			born, err := strconv.ParseInt(text, 10, 64)
			return state.Instance{ID: state.InstanceID{Name: id, Born: born}, Addr: id, Draining: draining}, err
		},
		Publish: wholeList(func(list []state.Instance) {
			r.published = nil
			for _, i := range list {
				text := fmt.Sprintf("%s=%d", i.ID.Name, i.ID.Born)
				if i.Draining {
					text += "!"
				}
				r.published = append(r.published, text)
			}
			slices.Sort(r.published)
		}),
	})
	return r
}

// applyCopy applies a copy at a revision of an epoch; entries are NAME=BORN@REVISION or
// NAME=BORN!@REVISION.
func (r *testInstances) applyCopy(epoch, revision uint64, entries ...string) {
	if epoch > store.EpochOf(r.revision) && r.revision != 0 {
		r.outageUntil = time.Now().Add(testHold)
	}
	c := Copy{Revision: store.MakeVersion(epoch, revision)}
	for _, e := range entries {
		name, rest, _ := strings.Cut(e, "=")
		value, at, _ := strings.Cut(rest, "@")
		version, err := strconv.ParseUint(at, 10, 64)
		if err != nil {
			panic(err)
		}
		c.Objects = append(c.Objects, store.Object{Name: name, Version: store.MakeVersion(epoch, version), Value: []byte(value)})
	}
	r.update(c)
}

// Guards against new requests to a draining runner because a restored store lists it as ready.
func TestDrainingRunStaysDrainingAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestInstances()
		r.applyCopy(1, 5, "a=1@4", "b=1@5")
		r.applyCopy(1, 9, "a=1!@9", "b=1@5")
		r.applyCopy(2, 6, "a=1@4", "b=1@5")
		is.Equal(r.published, []string{"a=1!", "b=1"})
		r.applyCopy(2, 8, "a=1@4", "b=1@5") // no entry was written again
		is.Equal(r.published, []string{"a=1!", "b=1"})
		r.applyCopy(2, 9, "a=2@9", "b=1@5") // another run under the same name
		is.Equal(r.published, []string{"a=2", "b=1"})
	})
}

// Guards against requests to a departed runner because a restored store lists it again.
func TestDepartedRunIsIgnoredAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestInstances()
		r.applyCopy(1, 5, "dead=1@3", "back=1@4", "alive=1@5")
		r.applyCopy(1, 9)
		r.applyCopy(2, 5, "dead=1@3", "back=1@4", "alive=1@5")
		is.Equal(len(r.published), 0)
		r.applyCopy(2, 7, "dead=1@3", "back=1@7", "alive=1@5")
		is.Equal(r.published, []string{"back=1"}) // its entry was written again
		time.Sleep(testSilent - time.Second)
		r.applyCopy(2, 8, "back=1@7", "alive=1@5") // the store dropped the silent run
		r.removeExpired()
		is.Equal(r.published, []string{"back=1"})
		time.Sleep(time.Second)
		r.removeExpired()
		is.Equal(r.published, []string{"alive=1", "back=1"}) // its entry outlived the heartbeat timeout
	})
}

// Guards against a live runner that gets no more requests because a restored store lost its entry.
func TestRunMissingAfterRestoreIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestInstances()
		r.applyCopy(1, 5, "a=1@4")
		r.applyCopy(1, 9, "a=1@4", "new=1@8", "never=1@9")
		r.applyCopy(2, 5, "a=1@4")
		is.Equal(r.published, []string{"a=1", "never=1", "new=1"})
		time.Sleep(testHold - 10*time.Millisecond) // as long as it may take to write the entry again
		r.removeExpired()
		is.Equal(r.published, []string{"a=1", "never=1", "new=1"})
		r.applyCopy(2, 6, "a=1@4", "new=1@6")
		time.Sleep(20 * time.Millisecond)
		r.removeExpired()
		is.Equal(r.published, []string{"a=1", "new=1"})
	})
}

// Guards against requests to an earlier run of a runner because a restored store lists that run.
func TestEarlierRunIsIgnoredAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestInstances()
		r.applyCopy(1, 5, "a=1@4")
		r.applyCopy(1, 9, "a=2@9")
		r.applyCopy(2, 5, "a=1@4")
		is.Equal(r.published, []string{"a=2"})
		time.Sleep(testHold)
		r.removeExpired()
		r.applyCopy(2, 6, "a=1@4")
		is.Equal(r.published, []string{"a=2"})
		r.applyCopy(2, 8, "a=2!@8")
		is.Equal(r.published, []string{"a=2!"})
		r.applyCopy(3, 6, "a=1@4") // a second restoration
		is.Equal(r.published, []string{"a=2!"})
	})
}

// Guards against a configuration that reverts because the store was restored from a backup, and
// against a restored configuration that is ignored without a log line.
func TestConfigDoesNotRevertAfterRestore(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	c := NewConfig("main", func(v []byte) (*state.RoutingConfig, error) {
		version, err := strconv.ParseUint(string(v), 10, 64)
		return &state.RoutingConfig{Version: version}, err
	}, slog.New(slog.NewTextHandler(&log, nil)))
	take := func(epoch, revision uint64, value string) {
		at := store.MakeVersion(epoch, revision)
		c.Update(Copy{Revision: at, Objects: []store.Object{{Name: "main", Version: at, Value: []byte(value)}}})
	}
	take(1, 9, "24")
	take(2, 6, "22")
	is.Equal(c.Table().Version, uint64(24))
	is.True(strings.Contains(log.String(), `older than the one in force" config_version=24 store_version=22 revision=2/6`))
	take(2, 7, "24") // written again
	take(2, 8, "27")
	is.Equal(c.Table().Version, uint64(27))
}

// Guards against unbounded memory for departed runs, and against runs that are dropped too early: a
// release of all instances is remembered, whatever the size of the fleet.
func TestDepartedRunsAreBounded(t *testing.T) {
	for _, listed := range []int{1, 1800, 10_000, 20_000} {
		is := is.New(t)
		var g departedRuns
		now := time.Unix(0, 0)
		id := func(n int) state.InstanceID { return state.InstanceID{Name: strconv.Itoa(n)} }
		kept := max(minGenerationSize, listed)
		for n := range 3 * kept {
			g.add(id(n), now, max(1, listed-n)) // the list shrinks while its instances leave
			is.True(len(g.current)+len(g.previous) <= 2*kept)
			is.True(g.has(id(n)) && g.has(id(max(0, n-kept+1))))
		}
		g.add(id(-1), now.Add(departedRetention-time.Second), 1)
		is.True(g.has(id(3*kept - 1)))
		g.remove(id(-1))
		is.True(!g.has(id(-1)))
	}
}
