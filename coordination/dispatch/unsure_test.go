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

// fullAdmitter refuses everything.
type refusingAdmitter struct{}

func (refusingAdmitter) Admit(context.Context, *Request, snapshot.Work) (Grant, error) {
	return nil, &Refusal{Reason: ReasonOverloaded, Message: "full", RetryAfter: time.Second, NotRun: true}
}

// noRecorder forgets decisions.
// emptyQuarantine holds nothing.
type emptyQuarantine struct{}

func (emptyQuarantine) Held(quarantine.Digest) *quarantine.Hold { return nil }

func (emptyQuarantine) Answered(quarantine.Digest) {}

type noRecorder struct{}

func (noRecorder) Record(state.Decision) {}

type zeroClock struct{}

func (zeroClock) Now() time.Time { return time.Time{} }

func (zeroClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// A call runs at one host; its caller loses the connection and asks again at a
// host that is full. That host must not say "not run": it never saw the record.
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
