package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// refusingAdmitter refuses every request as overloaded.
type refusingAdmitter struct{}

func (refusingAdmitter) Admit(context.Context, *Request, snapshot.Work) (Grant, error) {
	return nil, &Refusal{Reason: ReasonOverloaded, Message: "full", RetryAfter: time.Second, NotRun: true}
}

// emptyQuarantine holds no request.
type emptyQuarantine struct{}

func (emptyQuarantine) Held(quarantine.Digest) *quarantine.Hold { return nil }

func (emptyQuarantine) ReportAnswered(quarantine.Digest) {}

// noRecorder discards decisions.
type noRecorder struct{}

func (noRecorder) Record(state.Decision) {}

// zeroClock is always at the zero time and never waits.
type zeroClock struct{}

func (zeroClock) Now() time.Time { return time.Time{} }

func (zeroClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// A call runs at one host; its caller loses the connection and sends it again to a host that
// is overloaded. That host hasn't read the key's record, so it must not refuse the call as
// "not run".
func TestRefusalBeforeClaimDoesNotSayNotRun(t *testing.T) {
	cases := []struct {
		name                 string
		notRepeatable, first bool
		notRun               bool
	}{
		{"a repeatable call", false, false, true},
		{"a key never sent before", true, true, true},
		{"a key that may have been sent", true, false, false},
	}
	d := &Dispatcher{o: Options{Keeper: snapshot.NewKeeper(), Admitter: refusingAdmitter{}, Recorder: noRecorder{}, Clock: zeroClock{}, Quarantine: emptyQuarantine{}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := d.Call(t.Context(), &Request{NotRepeatable: c.notRepeatable, First: c.first}, upstream.Call{})
			var refusal *Refusal
			is.True(errors.As(err, &refusal))
			is.Equal(refusal.NotRun, c.notRun)
			is.Equal(refusal.EarlierMayHaveRun, !c.notRun)
			is.True(refusal.RetryAfter >= time.Second)
		})
	}
}
