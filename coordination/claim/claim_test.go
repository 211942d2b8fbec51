package claim

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// skewedClock is a host's clock: the bubble's time plus a fixed skew.
type skewedClock struct{ skew time.Duration }

func (c skewedClock) Now() time.Time { return time.Now().Add(c.skew) }

func (c skewedClock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// keyAt makes the nth key of a moment.
func keyAt(t time.Time, n int) string {
	ms := uint64(t.UnixMilli())
	k := uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms),
		0x70, 0, 0x80, 0, 0, 0, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}
	return k.String()
}

func hostID(name string) state.HostID { return state.HostID{Name: name, Incarnation: name + "-1"} }

// start runs a claimer until the returned function is called.
func start(t *testing.T, o Options) (*Claimer, func()) {
	t.Helper()
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	return c, func() { cancel(); <-done }
}

func TestRepeatedKeyGetsTheRecordedAnswerAtAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		a, stopA := start(t, Options{Store: p.Client("a"), Clock: skewedClock{}, Host: hostID("a")})
		defer stopA()
		b, stopB := start(t, Options{Store: p.Client("b"), Clock: skewedClock{}, Host: hostID("b")})
		defer stopB()
		call := Call{Key: keyAt(time.Now(), 1), Customer: "t", Fingerprint: 7}

		held, out, err := a.Begin(t.Context(), call)
		is.NoErr(err)
		is.True(held != nil && out == nil)

		_, out, err = b.Begin(t.Context(), call)
		is.NoErr(err)
		is.Equal(out.Claim.State, state.ClaimClaimed)
		is.Equal(out.Claim.Holder, hostID("a"))

		is.NoErr(held.Done(t.Context(), state.RecordedAnswer{Status: 200, ContentType: "text/plain", Body: []byte("booked")}))
		is.True(errors.Is(held.Unknown(t.Context()), errFinished))

		_, out, err = b.Begin(t.Context(), call)
		is.NoErr(err)
		is.Equal(out.Claim.State, state.ClaimDone)
		is.Equal(string(out.Claim.Answer.Body), "booked")

		other := call
		other.Fingerprint = 8
		_, _, err = b.Begin(t.Context(), other)
		var keyErr *KeyError
		is.True(errors.As(err, &keyErr))
		is.Equal(keyErr.Problem, KeyReused)
	})
}
