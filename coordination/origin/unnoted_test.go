package origin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against streams of a version that leaves no trace: it serves before the store has noted it, all hosts lose
// their memory, and it is gone when they are back, so that its streams go on at the other version.
func TestStreamsOfAnUnnotedVersionAreNotJoined(t *testing.T) {
	for _, c := range []struct {
		hosts           int
		readOnly, leave time.Duration // until the store takes writes, and until the version leaves
	}{
		{3, 1100 * time.Millisecond, 1500 * time.Millisecond},
		{3, 10 * time.Second, 1500 * time.Millisecond},
		{7, 0, 1200 * time.Millisecond},
		{7, 2 * time.Second, time.Second},
	} {
		for _, unnamed := range []bool{false, true} {
			t.Run(fmt.Sprint(c.hosts, " hosts, read-only for ", c.readOnly, ", unnamed ", unnamed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(1, c.hosts, "v1")
					defer f.stop()
					f.unnamed = unnamed
					f.setReadOnly(c.readOnly > 0)
					time.AfterFunc(c.readOnly, func() { f.setReadOnly(false) })
					f.setListed("v1", "v2")
					time.AfterFunc(c.leave, func() { f.setListed("v1") })
					f.load("before the kill", 1100*time.Millisecond)
					f.restartAll()
					f.load("after it", 10*time.Second)
					t.Logf("%d streams joined, %d resumed, %d refused", len(f.wrong), f.resumed, f.refused)
					is.New(t).Equal(len(f.wrong), 0)
				})
			})
		}
	}
}

// Guards against hosts that have just started and let streams wait while a write to the store takes long, although they could know
// a version that is noted.
func TestNotedVersionsAreKnownWhileAWriteTakesLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(2, 3, "v1")
		defer f.stop()
		f.setReadOnly(true)
		f.setListed("v1", "v2")
		time.Sleep(2 * maxLag)
		f.restartAll()
		for _, h := range f.hosts {
			for h.mu.Lock(); len(h.listed) == 0; h.mu.Lock() {
				h.mu.Unlock()
				time.Sleep(time.Millisecond)
			}
			h.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
		for _, h := range f.hosts {
			is.Equal(h.registry.o.Ledger.Noted(service), []string{"v1"})
		}
		f.setReadOnly(false)
		time.Sleep(refusalDelay + ledgerRetryInterval + maxConfirmInterval)
		for _, h := range f.hosts {
			is.Equal(h.registry.o.Ledger.Noted(service), []string{"v1", "v2"})
		}
	})
}

// Guards against streams that wait for the note of a further version although another one is noted.
func TestStreamsDoNotWaitBesideANotedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(3, 1, "v1")
		defer f.stop()
		f.setReadOnly(true)
		f.setListed("v1", "v2")
		time.Sleep(maxLag)
		began := time.Now()
		is.True(f.hosts[0].registry.AwaitNoted(t.Context(), service))
		is.True(time.Since(began) <= publishDelay)
		f.setListed("v2")
		time.Sleep(maxLag)
		began = time.Now()
		is.True(!f.hosts[0].registry.AwaitNoted(t.Context(), service)) // its search lasts for long already
		is.True(time.Since(began) <= maxNotedWait)
	})
}

// Guards against streams that begin at any version between the first list of runners and the search for its notes: the choice of
// runners has that list a moment earlier.
func TestStreamsWaitForTheSearchThatTheirListBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(4, 1, "v1")
		defer f.stop()
		h := f.hosts[0]
		h.kill()
		h.start()
		is.Equal(h.registry.o.Ledger.Noted(service), nil) // no list has come
		is.True(h.registry.AwaitNoted(t.Context(), service))
		is.Equal(h.registry.o.Ledger.Noted(service), []string{"v1"})
	})
}

// Guards against streams that begin at a version whose note a restored store has lost, until the list of runners changes.
func TestNotesOfAFormerEpochAreForgottenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(8, 1, "v1")
		defer f.stop()
		h := f.hosts[0]
		is.Equal(h.chosen(), []string{"v1"})
		f.setReadOnly(true)
		f.mu.Lock()
		clear(f.notes)
		f.mu.Unlock()
		f.epoch.Add(1)
		h.registry.o.Ledger.Recheck()
		time.Sleep(time.Millisecond)
		is.Equal(len(h.chosen()), 0)
		f.setReadOnly(false)
		time.Sleep(refusalDelay + ledgerRetryInterval + maxConfirmInterval)
		is.Equal(h.chosen(), []string{"v1"})
	})
}

// Guards against joined streams where hosts are lost around the moment at which a further version is noted. Its runners are gone when
// the last hosts are back.
func TestStreamsAreNotJoinedWhereHostsAreLostAroundANote(t *testing.T) {
	for name, play := range map[string]func(f *testFleet){
		"half of the hosts are lost, the others cut off from the store": func(f *testFleet) {
			for i, h := range f.hosts {
				h.mu.Lock()
				h.storeCut = i%2 == 1
				h.mu.Unlock()
			}
			f.setListed("v1", "v2")
			f.load("before the loss", 1500*time.Millisecond)
			f.setListed("v1")
			f.restart(func(i int) bool { return i%2 == 0 })
			f.load("while they are cut off", 2*time.Second)
			f.restart(func(i int) bool { return i%2 == 1 })
			for _, h := range f.hosts {
				h.mu.Lock()
				h.storeCut = false
				h.mu.Unlock()
			}
		},
		"all are lost twice within two seconds": func(f *testFleet) {
			f.setListed("v1", "v2")
			f.load("before the losses", 900*time.Millisecond)
			f.restartAll()
			f.load("between them", 300*time.Millisecond)
			f.setListed("v1")
			f.restartAll()
		},
		"they are back while the store is silent": func(f *testFleet) {
			f.setListed("v1", "v2")
			f.load("before the loss", 1200*time.Millisecond)
			f.setListed("v1")
			f.setStoreDown(true)
			time.AfterFunc(4*time.Second, func() { f.setStoreDown(false) })
			f.restartAll()
		},
		"they are lost amid the writing of the note": func(f *testFleet) {
			f.setListed("v1", "v2")
			f.load("before the loss", f.duration(maxLag, "loss"))
			f.restartAll()
			f.setListed("v1")
		},
		"the version has returned": func(f *testFleet) {
			f.setListed("v1", "v2")
			f.load("before it leaves", 1500*time.Millisecond)
			f.setListed("v1")
			f.load("without it", 1500*time.Millisecond)
			f.setReadOnly(true)
			time.AfterFunc(3*time.Second, func() { f.setReadOnly(false) })
			f.setListed("v1", "v2")
			f.load("after its return", 1200*time.Millisecond)
			f.setListed("v1")
			f.restartAll()
		},
	} {
		for seed := range uint64(12) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(seed, []int{2, 3, 7}[seed%3], "v1")
					defer f.stop()
					f.unnamed = seed%2 == 1
					play(f)
					f.load("after it", 10*time.Second)
					if len(f.wrong) > 0 {
						t.Errorf("%d streams joined, %d resumed, %d refused: %s", len(f.wrong), f.resumed, f.refused, f.wrong[0])
					}
				})
			})
		}
	}
}
