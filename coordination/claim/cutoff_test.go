package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// toOther forwards to the one other claimer.
type toOther struct{ other **Claimer }

func (f toOther) Forward(ctx context.Context, _ state.HostID, entries []Entry) ([]Result, error) {
	return (*f.other).Commit(ctx, entries)
}

// A host that is cut off from the platform alone claims through another host,
// whichever of the two should write the shard.
func TestHostCutOffFromThePlatformClaimsThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		both := func() []state.HostID { return []state.HostID{hostID("a"), hostID("b")} }
		var a, b *Claimer
		a, stopA := start(t, Options{Store: p.Client("a"), Clock: skewedClock{}, Host: hostID("a"), Shards: 8, Hosts: both, Forward: toOther{&b}})
		defer stopA()
		b, stopB := start(t, Options{Store: p.Client("b"), Clock: skewedClock{}, Host: hostID("b"), Shards: 8, Hosts: both, Forward: toOther{&a}})
		defer stopB()
		time.Sleep(time.Second) // both know the layout
		p.SetScript(func(c storetest.Call) storetest.Fault {
			if c.Caller == "a" {
				return storetest.Refuse
			}
			return storetest.None
		})
		for n := range 20 { // of every shard's writer
			held, out, err := a.Begin(t.Context(), Call{Key: keyAt(time.Now(), n), Customer: "t", Fingerprint: 1})
			is.NoErr(err)
			is.True(held != nil && out == nil)
			is.NoErr(held.Done(t.Context(), state.RecordedAnswer{Status: 200}))
		}
	})
}
