package forward

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// Guards against requests that wait, or whose prompts are computed, although this host knows that it has no
// path to a runner that could finish them.
func TestRequestWithoutAPathIsRefusedAtOnce(t *testing.T) {
	call := func() *Request { return request(state.RouteUnsafe, 3, false) }
	long := func() *Request { return modelRequest(4000, false) }
	short := func() *Request { return modelRequest(100, false) }
	for name, c := range map[string]struct {
		request func() *Request
		// service and role are those of the runners without a path.
		service string
		role    state.Role
	}{
		"call":                         {call, "plain", ""},
		"long prompt, decode engines":  {long, "model", state.RoleDecode},
		"short prompt, decode engines": {short, "model", state.RoleDecode},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty)
				for _, i := range w.fleet.Instances(c.service) {
					if i.Role == c.role {
						w.links.lose(i.ID, 300*time.Millisecond)
					}
				}
				began := time.Now()
				_, err := w.Forward(t.Context(), c.request())
				var refusal *Refusal
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.Reason, ReasonNoRunner)
				is.True(refusal.NotRun)
				is.True(refusal.RetryAfter >= 300*time.Millisecond)
				is.True(refusal.RetryAfter <= 450*time.Millisecond)
				is.Equal(time.Since(began), time.Duration(0))
				is.Equal(len(w.up.attempts), 0)
				is.Equal(len(w.up.probed), 0)
			})
		})
	}
}

// Guards against a runner without a path that is chosen while others have one.
func TestRunnersWithoutAPathComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty)
		runners := w.fleet.Instances("plain")
		for _, i := range runners[1:] {
			w.links.lose(i.ID, time.Second)
		}
		for range 20 {
			is.Equal(w.fleet.ChooseForCall(placement.Pool{Service: "plain"}, nil).Instance.ID, runners[0].ID)
		}
		is.True(w.fleet.ChooseForCall(placement.Pool{Service: "plain"}, []state.InstanceID{runners[0].ID}) != nil) // rather than none
	})
}
