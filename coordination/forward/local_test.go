package forward

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// newLocalWorld is newWorld with local prefixes and two prefill engines in each of three domains; the
// host is in d1.
func newLocalWorld(t *testing.T, replies ...reply) (*world, *bytes.Buffer) {
	t.Helper()
	w := newWorld(t, plenty, replies...)
	var list []state.Instance
	for n := range 6 {
		domain := fmt.Sprint("d", n%3)
		list = append(list, state.Instance{ID: state.InstanceID{Name: fmt.Sprint("p", n)}, Service: "model", Addr: fmt.Sprint("p", n, ":1"), FailureDomain: domain, Role: state.RolePrefill},
			state.Instance{ID: state.InstanceID{Name: fmt.Sprint("e", n)}, Service: "model", Addr: fmt.Sprint("e", n, ":1"), FailureDomain: domain, Role: state.RoleDecode, Slots: engineSlots})
	}
	w.fleet.Update(list)
	w.fleet.SetLocalPrefixes([]string{"model"})
	var log bytes.Buffer
	w.o.Log = slog.New(slog.NewTextHandler(&log, nil))
	return w, &log
}

func (w *world) domainOf(attempt int) string { return w.up.attempts[attempt].Instance.FailureDomain }

// The usual case must cost one call to an owner: the own engine has the parts and a short queue. The
// answer is generated in the domain as well.
func TestLocalHitIsOneAsk(t *testing.T) {
	is := is.New(t)
	w, log := newLocalWorld(t, prefilled, generated, prefilled, generated)
	w.mustServe(t)
	asks := w.prefillAsks()
	w.mustServe(t)
	is.Equal(w.prefillAsks(), asks+1)
	for n := range 4 {
		is.Equal(w.domainOf(n), "d1")
	}
	is.Equal(w.up.attempts[0].Instance, w.up.attempts[2].Instance)
	is.True(!strings.Contains(log.String(), "cross_domain_prefill"))
}

// An engine of another domain that has the parts doesn't get the prompt: the own one fetches them, and
// no further engine is asked.
func TestLocalMissFetchesFromOtherDomain(t *testing.T) {
	is := is.New(t)
	w, _ := newLocalWorld(t, prefilled, generated)
	w.gate.refusal = []backlog.Forecast{
		{Finish: 90 * time.Millisecond, UncachedTime: 50 * time.Millisecond},
		{Finish: 40 * time.Millisecond, CachedTokens: 400, CachedAtStart: 400},
	}
	w.mustServe(t)
	is.Equal(w.prefillAsks(), 3)
	is.Equal(w.gate.asks[1].Prefill.MaxWait, forecastOnly)
	is.Equal(w.domainOf(0), "d1")
	is.Equal(w.up.attempts[0].FetchFrom, w.gate.asks[1].Engine.Name+":1")
	is.Equal(w.gate.asks[2].Prefill.Prompt.FetchableTokens, 400)
}

// A body crosses domains only if that is 25 ms sooner.
func TestOtherDomainMustBeSoonerByMargin(t *testing.T) {
	for _, c := range []struct {
		wait   time.Duration
		domain string
	}{{70 * time.Millisecond, "d1"}, {76 * time.Millisecond, "d1"}, {84 * time.Millisecond, "d2"}} {
		t.Run(c.wait.String(), func(t *testing.T) {
			is := is.New(t)
			w, log := newLocalWorld(t, prefilled, generated)
			cached := func(wait time.Duration) backlog.Forecast {
				return backlog.Forecast{Wait: wait, Finish: wait + 30*time.Millisecond, CachedTokens: 400, CachedAtStart: 400, Reliable: true}
			}
			session := modelRequest(9000, true).Generation.Session()
			first := w.fleet.ChooseForPrefill(placement.Pool{Service: "model"}, session, nil).Instance.ID
			second := w.fleet.ChooseForPrefill(placement.Pool{Service: "model"}, session, []state.InstanceID{first})
			w.gate.refusal = []backlog.Forecast{cached(c.wait), cached(55 * time.Millisecond), cached(200 * time.Millisecond), cached(200 * time.Millisecond)}
			w.mustServe(t)
			if c.domain == "d1" {
				is.Equal(w.up.attempts[0].Instance.ID, first)
				return
			}
			is.Equal(w.up.attempts[0].Instance.ID, second.Instance.ID)
			is.True(strings.Contains(log.String(), "cross_domain_prefill=sooner"))
		})
	}
}

// Guards against a prompt that is late at its own engine, which has the parts and a short queue but is
// slow, while no other engine is asked.
func TestOtherEnginesAreAskedIfOwnOneIsLate(t *testing.T) {
	is := is.New(t)
	w, _ := newLocalWorld(t, prefilled, generated)
	forecast := func(finish time.Duration, o contention.Outcome) backlog.Forecast {
		return backlog.Forecast{Finish: finish, CachedTokens: 400, CachedAtStart: 400, Reliable: true, Outcome: o}
	}
	inTime := forecast(30*time.Millisecond, contention.InTime)
	w.gate.refusal = []backlog.Forecast{forecast(400*time.Millisecond, contention.Late), inTime, inTime, inTime}
	home := w.fleet.ChooseForPrefill(placement.Pool{Service: "model"}, modelRequest(9000, true).Generation.Session(), nil).Instance.ID
	w.mustServe(t)
	is.Equal(w.prefillAsks(), maxPrefillCandidates+1)
	is.True(w.up.attempts[0].Instance.ID != home)
}

// The host's domain has no engine that prefills: another domain's engine that has the parts and a short
// queue must be taken with one call to an owner, as one of the own domain would be.
func TestSessionsWithoutEnginesInOwnDomainAreTakenAtOnce(t *testing.T) {
	is := is.New(t)
	w, log := newLocalWorld(t, prefilled, generated, prefilled, generated)
	var removed []state.InstanceID
	for _, r := range w.fleet.Runners("model") {
		if r.Instance.FailureDomain == "d1" && r.Instance.Role == state.RolePrefill {
			removed = append(removed, r.Instance.ID)
		}
	}
	w.fleet.Apply(state.InstanceChanges{Removed: removed})
	w.mustServe(t)
	asks := w.prefillAsks()
	w.mustServe(t)
	is.Equal(w.prefillAsks(), asks+1)
	is.True(w.domainOf(2) != "d1")
	is.Equal(strings.Count(log.String(), "cross_domain_prefill=no_engine"), 2)
}
