package daemon

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/upstreams"
)

// listing is a daemon that knows what the platform lists.
func listing(t *testing.T, list ...state.Upstream) *Daemon {
	t.Helper()
	u, err := upstreams.New(upstreams.Options{})
	if err != nil {
		t.Fatal(err)
	}
	d := &Daemon{keeper: snapshot.NewKeeper(), upstream: u}
	byName := map[string]state.Upstream{}
	for _, l := range list {
		byName[l.Name] = l
	}
	d.listed.Store(&byName)
	return d
}

func TestRunsOfUpstreamsAreToldApart(t *testing.T) {
	is := is.New(t)
	first := state.Upstream{Name: "e1", Addr: "127.0.0.1:1", Incarnation: "a"}
	again := first
	again.Incarnation = "b"
	run := runOf(first)

	d := listing(t, first)
	is.True(d.listsRun(run))
	is.True(!d.replacesRun(run))
	d = listing(t, again) // it has restarted
	is.True(!d.listsRun(run))
	is.True(d.replacesRun(run))
	d = listing(t) // it is gone, for all that is known
	is.True(!d.listsRun(run))
	is.True(!d.replacesRun(run))
	is.True(!(&Daemon{}).listsRun(run)) // no list yet
}

func TestUpstreamThatNobodyListensForHasEnded(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	u := state.Upstream{Name: "e1", Addr: ln.Addr().String()}
	is.NoErr(ln.Close())
	d := listing(t, u)
	is.Equal(d.probeRun(t.Context(), runOf(u)), crash.Ended)
	is.Equal(listing(t).probeRun(t.Context(), runOf(u)), crash.Silent) // not listed: not asked
}
