package auth

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/routing"
	"github.com/thymerack/thymerack/state"
)

// testHost is a store and the view that one host has of it.
type testHost struct {
	clock  clocktest.Machine
	table  atomic.Pointer[routing.Table]
	proven atomic.Pointer[time.Time]
	// storeTable is the newest configuration at the store.
	storeTable *routing.Table
	proveCalls atomic.Int64
	// prove replaces Options.Prove; if nil, the store answers and the host gets storeTable.
	prove func(ctx context.Context) error
}

func tableOf(version uint64, keys map[string]string) *routing.Table {
	c := &state.RoutingConfig{Version: version, Keyed: true}
	for key, name := range keys {
		c.Customers = append(c.Customers, state.Customer{Name: name, KeySHA256: state.DigestKey([]byte(key)).String()})
	}
	return routing.NewTable(c)
}

// refresh puts storeTable in force at the host, with a proof as of now.
func (h *testHost) refresh() {
	now := h.clock.Now()
	h.table.Store(h.storeTable)
	h.proven.Store(&now)
}

func (h *testHost) checker(t *testing.T, strict bool) *Checker {
	t.Helper()
	c, err := New(Options{
		Clock: &h.clock, Log: slog.New(slog.DiscardHandler), Table: h.table.Load, Observer: noObserver{},
		ProvenAt: func() time.Time {
			if at := h.proven.Load(); at != nil {
				return *at
			}
			return time.Time{}
		},
		Prove: func(ctx context.Context) error {
			h.proveCalls.Add(1)
			if h.prove != nil {
				return h.prove(ctx)
			}
			h.refresh()
			return nil
		},
		Strict: strict, RevokeWithin: 5 * time.Second, InForceWithin: 3 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

type noObserver struct{}

func (noObserver) ObserveCheck(Outcome, time.Duration) {}

var errStoreUnreachable = errors.New("the store can't be reached")

func failProve(context.Context) error { return errStoreUnreachable }

func outcomeOf(customer *state.Customer, err error) string {
	var unproven *UnprovenError
	var unknown *UnknownKeyError
	switch {
	case errors.As(err, &unproven):
		return "unproven"
	case errors.As(err, &unknown):
		return "unknown"
	default:
		return customer.Name
	}
}

// withChecker runs a test in virtual time, with a host that knows the key of customer depot. check
// returns the customer of a key, or the outcome if there is none.
func withChecker(t *testing.T, strict bool, test func(is *is.I, h *testHost, check func(key string) string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &testHost{storeTable: tableOf(1, map[string]string{"k": "depot"})}
		h.refresh()
		c := h.checker(t, strict)
		test(is.New(t), h, func(key string) string {
			return outcomeOf(c.Check(t.Context(), h.clock.Now(), []byte(key)))
		})
		synctest.Wait()
	})
}

// Guards against a key that is served on a proof older than RevokeWithin - clockMargin, or refused
// earlier, and against a refusal although the store can be reached again.
func TestKeyIsServedWhileItsProofIsRecent(t *testing.T) {
	withChecker(t, true, func(is *is.I, h *testHost, check func(string) string) {
		h.prove = failProve
		for range 48 {
			is.Equal(check("k"), "depot")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		is.Equal(check("k"), "unproven") // 5 s without an answer of the store
		h.prove = nil
		time.Sleep(maxBackoff)
		is.Equal(check("k"), "depot") // the store is asked before the request is refused
	})
}

// Guards against service on a key that was revoked while this host couldn't reach the store: it is
// refused once RevokeWithin has passed, and as unknown once the host gets the new configuration.
func TestRevokedKeyIsNotServedPastTheBound(t *testing.T) {
	withChecker(t, true, func(is *is.I, h *testHost, check func(string) string) {
		h.prove = failProve
		h.storeTable = tableOf(2, nil)
		revoked := h.clock.Now()
		for h.clock.Now().Sub(revoked) <= 8*time.Second {
			served := check("k") == "depot"
			is.True(!served || h.clock.Now().Sub(revoked) <= 5*time.Second)
			time.Sleep(10 * time.Millisecond)
		}
		h.prove = nil
		time.Sleep(maxBackoff)
		is.Equal(check("k"), "unknown")
	})
}

// Guards against a proof that doesn't age while the machine is suspended, since timers stop then.
func TestSuspensionAgesTheProof(t *testing.T) {
	withChecker(t, true, func(is *is.I, h *testHost, check func(string) string) {
		h.prove = failProve
		is.Equal(check("k"), "depot")
		h.clock.Suspend(6 * time.Second)
		is.Equal(check("k"), "unproven")
	})
}

// Guards against a check that uses its own time instead of the time at which the request was read: a
// pause in between neither invalidates a proof that was recent then nor makes an old one valid.
func TestProofIsJudgedAtTheTimeOfReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &testHost{storeTable: tableOf(1, map[string]string{"k": "depot"})}
		h.refresh()
		c := h.checker(t, true)
		h.prove = failProve
		read := h.clock.Now().Add(4 * time.Second)
		time.Sleep(20 * time.Second)
		is.Equal(outcomeOf(c.Check(t.Context(), read, []byte("k"))), "depot")
		is.Equal(outcomeOf(c.Check(t.Context(), read.Add(time.Second), []byte("k"))), "unproven")
	})
}

// Guards against the refusal of a key that was added, but is missing in the host's configuration: once
// the proof is too old to rule that out, the store is asked, and without an answer the key is unproven.
func TestUnknownKeyIsCheckedAtTheStoreBeforeRefusal(t *testing.T) {
	withChecker(t, true, func(is *is.I, h *testHost, check func(string) string) {
		h.storeTable = tableOf(2, map[string]string{"k": "depot", "new": "hall"})
		is.Equal(check("new"), "unknown") // the proof is recent: the key can't have been added long ago
		time.Sleep(3 * time.Second)
		is.Equal(check("new"), "hall")
		is.Equal(h.proveCalls.Load(), int64(1))
		h.storeTable = tableOf(3, map[string]string{"k": "depot", "new": "hall", "newer": "nord"})
		h.prove = failProve
		time.Sleep(3 * time.Second)
		is.Equal(check("newer"), "unproven")
		is.Equal(check(""), "unproven")
	})
}

// Guards against a call to the store per request when many unknown keys arrive: calls are limited to
// about one per InForceWithin, and by the backoff while the store doesn't answer.
func TestUnknownKeysDoNotFloodTheStore(t *testing.T) {
	withChecker(t, true, func(is *is.I, h *testHost, check func(string) string) {
		for range 10000 {
			is.Equal(check("guess"), "unknown")
			time.Sleep(time.Millisecond)
		}
		is.True(h.proveCalls.Load() <= 4)
		h.prove = failProve
		time.Sleep(5 * time.Second)
		before := h.proveCalls.Load()
		for range 1000 {
			is.Equal(check("guess"), "unproven")
			time.Sleep(time.Millisecond)
		}
		is.True(h.proveCalls.Load()-before <= 2)
	})
}

// Guards against requests that wait for the store: the proof is renewed before it is too old.
func TestProofIsRenewedAheadOfNeed(t *testing.T) {
	withChecker(t, true, func(is *is.I, h *testHost, check func(string) string) {
		h.prove = func(ctx context.Context) error {
			if err := h.clock.Sleep(ctx, 50*time.Millisecond); err != nil {
				return err
			}
			h.refresh()
			return nil
		}
		for range 2000 {
			before := h.clock.Now()
			is.Equal(check("k"), "depot")
			is.Equal(h.clock.Now().Sub(before), time.Duration(0))
			time.Sleep(10 * time.Millisecond)
		}
		is.True(h.proveCalls.Load() <= 7)
	})
}

// Guards against requests that wait for a store which doesn't answer: the first one waits at most
// proveTimeout, and the next ones are refused at once during the backoff.
func TestUnresponsiveStoreDoesNotBlockRequests(t *testing.T) {
	withChecker(t, true, func(is *is.I, h *testHost, check func(string) string) {
		h.prove = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		time.Sleep(6 * time.Second)
		before := h.clock.Now()
		is.Equal(check("k"), "unproven")
		is.True(h.clock.Now().Sub(before) <= proveTimeout)
		is.Equal(check("k"), "unproven")
		is.True(h.clock.Now().Sub(before) <= proveTimeout) // the second request didn't wait
	})
}

// Without strict revocation, keys in the configuration are served whatever the age of the proof. A key
// that isn't found stays unproven, since it may have been added.
func TestKeysAreServedWithoutProofWhenNotStrict(t *testing.T) {
	withChecker(t, false, func(is *is.I, h *testHost, check func(string) string) {
		h.prove = failProve
		time.Sleep(time.Hour)
		is.Equal(check("k"), "depot")
		is.Equal(check("other"), "unproven")
	})
}

func TestKeysAreUnprovenWithoutConfiguration(t *testing.T) {
	withChecker(t, true, func(is *is.I, h *testHost, check func(string) string) {
		h.table.Store(nil)
		h.prove = failProve
		is.Equal(check("k"), "unproven")
	})
}

func TestNewRejectsInvalidOptions(t *testing.T) {
	is := is.New(t)
	_, err := New(Options{})
	is.True(err != nil)
	h := &testHost{}
	_, err = New(Options{
		Clock: &h.clock, Log: slog.New(slog.DiscardHandler), Table: h.table.Load, Observer: noObserver{}, Prove: failProve,
		ProvenAt: func() time.Time { return time.Time{} }, Strict: true, InForceWithin: time.Second,
	})
	is.True(err != nil)
}
