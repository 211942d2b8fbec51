package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A released request was held again at once, at all hosts, in some runs: nobody had seen
// another crash. A host went through what it held from a list made before, while its write for
// another request waited for the store; when it reached one that had been released meanwhile,
// it took its missing entry for one still to be written. A slow store, many old requests and a
// few new ones bring that about whatever the order of the list.
func TestReleasePersistsDespiteSlowWriter(t *testing.T) {
	const old, all = 16, 20
	runFleet(t, 3, func(is *is.I, f *fleet) {
		requests := func(from, to int) (out []Suspect) {
			for n := from; n < to; n++ {
				out = append(out, fresh(n))
			}
			return out
		}
		f.crashAndWait(0, 1, requests(0, old)...)
		f.crashAndWait(0, 2, requests(0, old)...)
		is.Equal(f.written(), old)
		f.mu.Lock()
		f.writeDelay = 2 * time.Second
		f.mu.Unlock()
		f.crashAndWait(0, 3, requests(old, all)...)
		f.crashAndWait(0, 4, requests(old, all)...) // the host writes these for eight seconds
		for n := range old {
			is.NoErr(Release(t.Context(), f.store.Client("operator"), digest(n)))
		}
		time.Sleep(20 * time.Second)
		for n := range all {
			holders, released := f.holderCount(digest(n)), n < old
			_, found := f.entry(digest(n))
			is.Equal(holders == 0, released)
			is.Equal(found, !released)
		}
	})
}

// A host that wrote a hold held the request again, alone and without end, when the answer of its
// write came after the entry had been removed: it took the entry for one still to be shown by its
// copy of the store, which had shown it, and its removal, before.
func TestReleasePersistsDespiteDelayedStoreAnswer(t *testing.T) {
	runFleet(t, 3, func(is *is.I, f *fleet) {
		f.mu.Lock()
		f.answerDelay = 3 * time.Second
		f.mu.Unlock()
		f.crashAndWait(0, 1, fresh(1))
		f.crashAndWait(0, 2, fresh(1))
		is.NoErr(Release(t.Context(), f.store.Client("operator"), digest(1)))
		time.Sleep(10 * time.Second)
		is.Equal(f.holderCount(digest(1)), 0)
		_, found := f.entry(digest(1))
		is.True(!found)
	})
}

// A request that was answered was held again by what a host told that had stood still before
// telling it. The crashes had been counted, and the answer had cleared the request of them.
func TestAnswerOverridesLateNotices(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.crashAndWait(0, 1, fresh(1))
		f.crashAndWait(1, 2, fresh(1))
		late := Notice{Held: []HeldRequest{{digest(1), f.hosts[0].Held(digest(1)).Evidence}}}
		f.hosts[3].ReportAnswered(digest(1)) // a copy that ran all the while
		time.Sleep(2 * reviewInterval)
		is.Equal(f.holderCount(digest(1)), 0)
		f.publish(f.hosts[0], late)
		time.Sleep(takeoverDelay + 2*reviewInterval)
		is.Equal(f.holderCount(digest(1)), 0)

		before := time.Now()
		f.crashAndWait(0, 3, fresh(2), fresh(3))
		f.hosts[3].ReportAnswered(digest(2))
		time.Sleep(2 * reviewInterval)
		had := fresh(2)
		had.SentAt = before
		f.crashAndWait(1, 3, had) // this host had a copy there, and tells it now
		f.crashAndWait(0, 4, fresh(2))
		is.Equal(f.holderCount(digest(2)), 0)
		f.crashAndWait(0, 5, fresh(2))
		is.Equal(f.holderCount(digest(2)), 5)
	})
}

// A request was held by each host that started, and by no other: it had been answered in the
// moment in which another host counted its second crash and wrote that to the store. The host
// with the answer knew of no hold, so that nobody removed the entry.
func TestAnswerRemovesEntryOfConcurrentHold(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.crashAndWait(0, 1, fresh(1))
		f.reportCrash(1, 2, fresh(1))
		f.hosts[2].ReportAnswered(digest(1)) // before the second crash is told
		time.Sleep(clearanceTTL)
		_, found := f.entry(digest(1))
		is.True(!found)
		f.restart(3)
		time.Sleep(reviewInterval)
		is.Equal(f.holderCount(digest(1)), 0)
	})
}

// The host with the answer is gone before it reaches the store: the others finish it.
func TestFollowersRemoveEntryForCrashedHost(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.crashAndWait(0, 1, fresh(1))
		f.crashAndWait(1, 2, fresh(1))
		f.set(f.unreachable, true, 2)
		f.hosts[2].ReportAnswered(digest(1))
		time.Sleep(batchDelay + 2*noticeDelay)
		f.hosts[2].stop()
		time.Sleep(clearanceTTL)
		_, found := f.entry(digest(1))
		is.True(!found)
		f.restart(3)
		time.Sleep(reviewInterval)
		is.Equal(f.hosts[3].Held(digest(1)), nil)
	})
}

// A plain call whose runners are lost together is answered by a third within milliseconds, while
// the crashes still wait to be told with others. The answer was lost, and the call held.
func TestAnswerClearsUnpublishedCrashes(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.reportCrash(0, 1, fresh(1))
		f.reportCrash(0, 2, fresh(1))
		f.hosts[0].ReportAnswered(digest(1))
		time.Sleep(time.Second)
		is.Equal(f.holderCount(digest(1)), 0)
	})
}

// Two hosts write the same hold. An operator removes the entry of the faster one while the other's
// write is still on its way: it finds no entry, as it expects, and puts back what was removed.
func TestReleasePersistsDespiteSecondWriter(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.crashAndWait(1, 1, fresh(1))
		f.mu.Lock()
		f.writeDelay, f.slowHost = 3*time.Second, f.hosts[0].name
		f.mu.Unlock()
		f.crashAndWait(0, 2, fresh(1)) // both write
		is.NoErr(Release(t.Context(), f.store.Client("operator"), digest(1)))
		time.Sleep(10 * time.Second)
		_, found := f.entry(digest(1))
		is.True(!found)
		is.Equal(f.holderCount(digest(1)), 0)
	})
}

// A host that had the answer of a request passed over an entry, as one written in ignorance of
// the answer. The crashes in it had come after the answer, as another crash showed, but the host
// never came back to the entry: the others held the request, this one didn't.
func TestIgnoredEntryIsReconciled(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.reportCrash(0, 1, fresh(1))
		time.Sleep(batchDelay)
		f.set(f.cut, true, 3)
		time.Sleep(4 * batchDelay)
		f.hosts[0].ReportAnswered(digest(1))
		time.Sleep(3 * reviewInterval)
		f.restart(2)
		f.reportCrash(3, 2, fresh(1)) // this host knows two crashes, and not of the answer between
		time.Sleep(3 * batchDelay)
		f.reportCrash(1, 3, fresh(1)) // before those with the answer have removed the entry
		f.set(f.cut, false, 3)
		time.Sleep(10 * time.Second)
		holders := f.holderCount(digest(1))
		is.True(holders == 5 || holders == 0)
		_, found := f.entry(digest(1))
		is.Equal(found, holders == 5)
	})
}

// A host missed that a request was let go before it had seen the entry: nothing ever told it.
func TestHoldWithoutEntryExpires(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.mu.Lock()
		f.followers = 2
		f.mu.Unlock()
		f.crashAndWait(0, 1, fresh(1))
		f.set(f.cut, true, 4)
		f.hosts[4].Receive(Notice{Held: []HeldRequest{{digest(1), []Evidence{{Runner: "other"}}}}})
		f.hosts[0].ReportAnswered(digest(1))
		time.Sleep(reviewInterval)
		is.True(f.hosts[4].Held(digest(1)) != nil)
		time.Sleep(initialHold)
		is.Equal(f.holderCount(digest(1)), 0)
	})
}

func TestOperatorReleasesARequest(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.crashAndWait(0, 1, fresh(1))
		f.crashAndWait(1, 2, fresh(1))
		operator := f.store.Client("operator")
		o, err := operator.Get(t.Context(), Kind, digest(1).String())
		is.NoErr(err)
		is.NoErr(operator.Delete(t.Context(), Kind, o.Name, o.Version))
		time.Sleep(2 * reviewInterval)
		is.Equal(f.holderCount(digest(1)), 0)
		_, found := f.entry(digest(1))
		is.True(!found) // nobody writes it again
		f.crashAndWait(0, 3, fresh(1))
		is.Equal(f.holderCount(digest(1)), 0) // it begins anew
		f.crashAndWait(0, 4, fresh(1))
		is.Equal(f.holderCount(digest(1)), 5)
	})
}

func TestHoldExpiresAndDoubles(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.crashAndWait(0, 1, fresh(1))
		f.crashAndWait(1, 2, fresh(1))
		time.Sleep(initialHold - 10*time.Second)
		is.Equal(f.holderCount(digest(1)), 5)
		time.Sleep(20 * time.Second)
		is.Equal(f.holderCount(digest(1)), 0)
		f.crashAndWait(2, 3, fresh(1)) // one more runner, and it is held for twice as long
		is.Equal(f.holderCount(digest(1)), 5)
		time.Sleep(2*initialHold - 10*time.Second)
		is.Equal(f.holderCount(digest(1)), 5)
		e, _ := f.entry(digest(1))
		is.Equal(e.HoldCount, 2)
		time.Sleep(20 * time.Second)
		is.Equal(f.holderCount(digest(1)), 0)
		f.hosts[4].ReportAnswered(digest(1)) // the runners have been mended
		time.Sleep(reviewInterval)
		_, found := f.entry(digest(1))
		is.True(!found)
	})
}

func TestAnswerReleasesARequestEverywhere(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		f.crashAndWait(0, 1, fresh(1))
		f.hosts[3].ReportAnswered(digest(1))
		time.Sleep(reviewInterval)
		f.crashAndWait(1, 2, fresh(1))
		is.Equal(f.holderCount(digest(1)), 0)
		f.reportCrash(2, 3, fresh(1))
		time.Sleep(batchDelay + noticeDelay + time.Millisecond)
		is.Equal(f.holderCount(digest(1)), 5)
		f.hosts[3].ReportAnswered(digest(1)) // a copy that ran all the while
		time.Sleep(2 * reviewInterval)
		is.Equal(f.holderCount(digest(1)), 0)
		_, found := f.entry(digest(1))
		is.True(!found)
	})
}
