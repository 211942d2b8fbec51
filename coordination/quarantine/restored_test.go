package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/store"
)

// restoreStore brings the store back as it was so long ago, and gives hosts time to notice.
func (f *fleet) restoreStore(ago time.Duration) {
	f.store.RestoreBefore(ago)
	time.Sleep(2 * reviewInterval)
}

// Guards against a request that crashes its runners again, because a restored store lost that it
// is held: it stays held at all hosts, and its entry is written again once, not by every host.
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
			is.True(f.written()-before <= 12) // the hosts that follow the store, and those that saw a crash
		}
		time.Sleep(rewriteTimeout + reviewInterval)
		is.Equal(f.holderCount(digest(1)), 300)
	})
}

// Guards against a request that is held anew, because a restored store lost that an operator
// released it or that its time was over.
func TestReleaseSurvivesStoreRestore(t *testing.T) {
	for name, release := range map[string]func(is *is.I, f *fleet){
		"by an operator": func(is *is.I, f *fleet) {
			c := f.store.Client("operator")
			o, err := c.Get(f.t.Context(), Kind, digest(1).String())
			is.NoErr(err)
			is.NoErr(c.Delete(f.t.Context(), Kind, digest(1).String(), o.Version))
		},
		"by its time":   func(_ *is.I, _ *fleet) { time.Sleep(initialHold) },
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

// Guards against an entry that counts for ever at the hosts that knew it, though nobody could write
// it again.
func TestLostEntryExpiresUnlessRewritten(t *testing.T) {
	runFleet(t, 2, func(is *is.I, f *fleet) {
		f.crashAndWait(0, 1, fresh(1))
		f.crashAndWait(1, 2, fresh(1))
		f.mu.Lock()
		f.followers = 0
		f.mu.Unlock()
		f.hosts[0].o.Table.ReleaseOnTrial(digest(1)) // nobody holds it for a crash of its own
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
