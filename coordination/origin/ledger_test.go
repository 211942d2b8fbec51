package origin

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a service without a note that counts as one of a single version, at hosts that have just started.
func TestMissingNoteIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(12, 2, "v1")
		defer f.stop()
		f.restartAll()
		time.Sleep(2 * maxLag)
		for _, h := range f.hosts {
			h.stop() // nobody writes the note again
		}
		f.mu.Lock()
		clear(f.notes)
		f.mu.Unlock()
		_, err := f.hosts[0].registry.Version(t.Context(), Query{ID: "s", Service: service, MaxAge: maxAge})
		var unknown *UnknownError
		is.True(errors.As(err, &unknown))
	})
}

// Guards against a stream older than the store's notes that counts as one of the only version: the note of its version has been
// taken out.
func TestNotesDoNotVouchForOlderStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(5, 7, "v1")
		defer f.stop()
		f.setListed("v2")
		time.Sleep(Retention + 2*ledgerInterval)
		f.restartAll()
		time.Sleep(maxLag)
		_, err := f.hosts[0].registry.Version(t.Context(), Query{ID: "a stream of v1", Service: service, MaxAge: 2 * Retention})
		var unknown *UnknownError
		is.True(errors.As(err, &unknown))
		version, err := f.hosts[0].registry.Version(t.Context(), Query{ID: "a stream of v2", Service: service, MaxAge: Retention})
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

// Guards against a note that waits for the next version or the next regular comparison after its write failed.
func TestNoteIsWrittenSoonAfterTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(6, 1, "v1")
		defer f.stop()
		h := f.hosts[0]
		f.setStoreDown(true)
		time.Sleep(maxLag) // the last answer is read
		f.setListed("v1", "v2")
		h.mu.Lock()
		h.listed = []string{"v1", "v2"}
		h.mu.Unlock()
		h.registry.Update(Listing{service: {"v1", "v2"}})
		time.Sleep(ledgerInterval / 2)
		f.setStoreDown(false)
		time.Sleep(maxLag + time.Second)
		noted, err := h.registry.o.Ledger.Read(t.Context(), service)
		is.NoErr(err)
		is.Equal(noted, []string{"v1", "v2"})
	})
}

// Guards against notes that a store which was restored from an older copy has lost, and that nobody writes again.
func TestNoteThatTheStoreLostIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(7, 7, "v1")
		defer f.stop()
		time.Sleep(Retention)
		f.mu.Lock()
		clear(f.notes)
		f.mu.Unlock()
		time.Sleep(Retention + 2*ledgerInterval)
		noted, err := f.hosts[0].registry.o.Ledger.Read(t.Context(), service)
		is.NoErr(err)
		is.Equal(noted, []string{"v1"})
	})
}

// Guards against streams that are refused because all read the store at once: many callers take theirs up when hosts were killed.
func TestReadsOfANoteAtTheSameTimeShareACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(9, 2, "v1")
		defer f.stop()
		f.restartAll()
		time.Sleep(2 * maxLag)
		before := f.reads.Load()
		var group sync.WaitGroup
		for range 100 {
			group.Go(func() {
				version, err := f.hosts[0].registry.Version(t.Context(), Query{Service: service, MaxAge: maxAge})
				is.NoErr(err)
				is.Equal(version, "v1")
			})
		}
		group.Wait()
		is.True(f.reads.Load()-before < 10)
	})
}

// Guards against a writer whose list is behind and that takes a version which has just come out of a note.
func TestWriterThatIsBehindKeepsANewVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(11, 2, "v1")
		defer f.stop()
		time.Sleep(Retention)
		f.hosts[1].stopFollowing()
		f.setListed("v1", "v2")
		for end := time.Now().Add(Retention + 2*ledgerInterval); time.Now().Before(end); time.Sleep(maxLag) {
			noted, err := f.hosts[0].registry.o.Ledger.Read(t.Context(), service)
			is.NoErr(err)
			if time.Until(end) < Retention+2*ledgerInterval-maxLag {
				is.Equal(noted, []string{"v1", "v2"})
			}
		}
		f.setListed("v2")
		time.Sleep(3 * Retention)
		noted, err := f.hosts[0].registry.o.Ledger.Read(t.Context(), service)
		is.NoErr(err)
		is.Equal(noted, []string{"v2"}) // not kept for ever
	})
}

// Guards against a version that is gone and that one writer puts back into a note after another has taken it out.
func TestVersionThatIsGoneIsNotPutBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(12, 2, "v1", "v2")
		defer f.stop()
		first, second := f.hosts[0].registry.o.Ledger, f.hosts[1].registry.o.Ledger
		for _, h := range f.hosts {
			h.stop() // the test compares the notes itself
		}
		time.Sleep(maxLag)
		first.o.History.Update(Listing{service: {"v2"}})
		time.Sleep(maxLag)
		second.o.History.Update(Listing{service: {"v2"}})
		time.Sleep(Retention - maxLag)
		is.True(first.update(t.Context())) // a minute has passed here
		is.True(second.update(t.Context()))
		noted, err := first.Read(t.Context(), service)
		is.NoErr(err)
		is.Equal(noted, []string{"v2"})
	})
}

// Guards against a note that was read before it was asked for: a host stands still amid a read, a version comes meanwhile, and a
// stream that is taken up at the host as it wakes shares the read.
func TestNoteIsReadAfterItIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(9, 7, "v1")
		defer f.stop()
		h := f.hosts[0]
		ledger := h.registry.o.Ledger
		go func() { _, _ = ledger.Read(t.Context(), service) }()
		time.Sleep(storeDelay / 2)
		h.standStill(2 * maxLag)
		f.setListed("v1", "v2")
		time.Sleep(2*maxLag - storeDelay)
		is.Equal(f.hosts[1].registry.o.Ledger.Noted(service), []string{"v1", "v2"})
		noted, err := ledger.Read(t.Context(), service)
		is.NoErr(err)
		is.Equal(noted, []string{"v1", "v2"})
	})
}

// Guards against a read of the store for each stream that callers take up at once.
func TestReadsOfANoteAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(9, 1, "v1")
		defer f.stop()
		before := f.reads.Load()
		var group sync.WaitGroup
		for range 100 {
			time.Sleep(storeDelay / 100)
			group.Go(func() {
				noted, err := f.hosts[0].registry.o.Ledger.Read(t.Context(), service)
				is.NoErr(err)
				is.Equal(noted, []string{"v1"})
			})
		}
		group.Wait()
		is.True(f.reads.Load()-before <= 3)
	})
}
