package forward

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/state"
)

// The host was suspended while requests waited or ran: their deadlines have passed, although no
// timer says so. They are sent nowhere any more, and their callers are told truly what became of
// them.
func TestNoAttemptAfterSuspensionPastDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		request func() *Request
		replies []reply
		notRun  bool
	}{
		"while it waited for its place":      {func() *Request { return modelRequest(200, false) }, nil, true},
		"while its prompt waited":            {func() *Request { return modelRequest(2000, false) }, nil, true},
		"while a runner refused it":          {func() *Request { return request(state.RouteSafe, 3, false) }, []reply{{status: 503, notRun: true}}, true},
		"while a runner had it, and crashed": {func() *Request { return request(state.RouteSafe, 3, false) }, []reply{{err: errSent}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				machine := &clocktest.Machine{}
				w := newWorldAt(t, machine, plenty, c.replies...)
				w.gate.onEnter = func(occupancy.Ask) { machine.Suspend(time.Minute) }
				w.up.onSend = func() { machine.Suspend(time.Minute) }
				_, err := w.Forward(t.Context(), c.request())
				var refusal *Refusal
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.Reason, ReasonDeadline)
				is.Equal(refusal.NotRun, c.notRun)
				is.Equal(len(w.up.attempts), len(c.replies))
			})
		})
	}
}
