package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/store"
)

// restoreStore restores the store to its state of some time ago, and waits until the hosts have
// noticed.
func (f *fleet) restoreStore(ago time.Duration) {
	f.store.RestoreBefore(ago)
	time.Sleep(2 * reviewInterval)
}

// Guards against a culprit that crashes runners again because a restored store lost its entry. The
// request stays held at all hosts, and the hosts that follow the store write the entry again, not
// every host.
func TestHoldSurvivesStoreRestore(t *testing.T) {
	runFleet(t, 300, func(is *is.I, f *fleet) {
		f.mu.Lock()
		f.followers = 10
		f.mu.Unlock()
		f.crashAndWait(0, 1, fresh(1))
		f.crashAndWait(1, 2, fresh(1))
		is.Equal(f.holderCount(digest(1)), 300)
		for range 2 { // two restorations in a row
			before := f.written()
			f.restoreStore(5 * time.Second)
			is.Equal(f.holderCount(digest(1)), 300)
			_, found := f.entry(digest(1))
			is.True(found)
			is.True(f.written()-before <= 12) // the hosts that follow the store and those that saw a crash
		}
		time.Sleep(rewriteTimeout + reviewInterval)
		is.Equal(f.holderCount(digest(1)), 300)
	})
}

// Guards against a request that is held again because a restored store lost its release.
func TestReleaseSurvivesStoreRestore(t *testing.T) {
	for name, release := range map[string]func(is *is.I, f *fleet){
		"by an operator": func(is *is.I, f *fleet) {
			c := f.store.Client("operator")
			o, err := c.Get(f.t.Context(), Kind, digest(1).String())
			is.NoErr(err)
			is.NoErr(c.Delete(f.t.Context(), Kind, digest(1).String(), o.Version))
		},
		"by its expiry": func(_ *is.I, _ *fleet) { time.Sleep(initialHold) },
		"by its answer": func(_ *is.I, f *fleet) { f.hosts[2].ReportAnswered(digest(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 5, func(is *is.I, f *fleet) {
				f.crashAndWait(0, 1, fresh(1))
				f.crashAndWait(1, 2, fresh(1))
				is.Equal(f.holderCount(digest(1)), 5)
				held := store.RevisionOf(f.store.Revision())
				release(is, f)
				time.Sleep(5 * reviewInterval)
				is.Equal(f.holderCount(digest(1)), 0)
				f.store.Restore(held)
				time.Sleep(5 * reviewInterval)
				is.Equal(f.holderCount(digest(1)), 0)
				if e, found := f.entry(digest(1)); found {
					is.True(e.Released)
				}
			})
		})
	}
}

// Guards against a lost entry that stays in force forever at the hosts that knew it, although no
// host can write it again.
func TestLostEntryExpiresUnlessRewritten(t *testing.T) {
	runFleet(t, 2, func(is *is.I, f *fleet) {
		f.crashAndWait(0, 1, fresh(1))
		f.crashAndWait(1, 2, fresh(1))
		f.mu.Lock()
		f.followers = 0
		f.mu.Unlock()
		f.hosts[0].o.Table.ReleaseOnTrial(digest(1)) // no host would write the hold
		f.hosts[1].o.Table.ReleaseOnTrial(digest(1))
		f.restoreStore(5 * time.Second)
		time.Sleep(rewriteTimeout)
		_, err := f.store.Client("operator").Put(f.t.Context(), Kind, digest(9).String(), store.Absent, []byte(`{}`))
		is.NoErr(err)
		time.Sleep(reviewInterval)
		_, found := f.entry(digest(1))
		is.True(!found)
		is.Equal(f.holderCount(digest(1)), 0)
	})
}
