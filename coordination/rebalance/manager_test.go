package rebalance

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// fakeIssuer records the changes it is asked to start and returns err.
type fakeIssuer struct {
	started []string
	err     error
}

func (o *fakeIssuer) StartChange(_ context.Context, engine string, t state.Target, _ string) error {
	o.started = append(o.started, engine+" "+string(t.Role)+" "+t.Model)
	return o.err
}

// managerTest is a manager with a settable clock, view, demand and leadership; it
// collects the decision records.
type managerTest struct {
	is      *is.I
	clock   *manualClock
	keeper  *snapshot.Keeper
	orders  fakeIssuer
	leads   bool
	records []state.Decision
	demand  Demand
	manager *Manager
}

// newManagerTest sets up a manager for four prefill and four decode engines.
func newManagerTest(t *testing.T) *managerTest {
	t.Helper()
	m := &managerTest{is: is.New(t), clock: &manualClock{now: start}, keeper: snapshot.NewKeeper(), leads: true}
	m.keeper.SetConfig(&state.Config{Version: 7, Services: []state.Service{{Name: "llm", Kind: state.KindEngine, Models: []string{"m"}}}})
	var list []state.Listed
	for _, e := range newEngines(4, 4, 0) {
		list = append(list, state.Listed{Name: e.Name, Kind: state.ListedEngine, State: state.ListedLive, FailureDomain: e.FailureDomain, Incarnation: "1", Service: "llm"})
	}
	m.keeper.SetListed(list)
	for _, e := range newEngines(4, 4, 0) {
		m.keeper.SetLoad(state.LoadReport{Engine: e.Name, TakenAt: start, Shown: state.Target{Role: e.Role, Model: "m"}})
	}
	var err error
	m.manager, err = NewManager(ManagerOptions{
		Clock: m.clock, View: m.keeper.View, Leads: func(string) bool { return m.leads },
		Demand: func(string) Demand { return m.demand }, Speeds: func(string) Speeds { return speeds },
		Orders: &m.orders, Record: func(d state.Decision) { m.records = append(m.records, d) }, Host: "h1",
	})
	m.is.NoErr(err)
	return m
}

// step moves the clock past SettleTime, makes one decision and returns its record.
func (m *managerTest) step() state.Decision {
	m.clock.now = m.clock.now.Add(time.Minute)
	m.manager.Step(context.Background())
	return m.records[len(m.records)-1]
}

func TestManagerStartsAndRecordsChange(t *testing.T) {
	m := newManagerTest(t)
	m.demand = constantDemand(5000, 7000)
	d := m.step()
	m.is.Equal(m.orders.started, []string{"e00 decode m"})
	m.is.Equal(d.Kind, state.DecisionRole)
	m.is.Equal(d.Subject, "e00")
	m.is.Equal(d.Chosen, "decode")
	m.is.Equal(d.ConfigVersion, uint64(7))
	m.is.Equal(len(d.Candidates), 6) // one per ordered pair of roles
}

func TestManagerRecordsNoChange(t *testing.T) {
	m := newManagerTest(t)
	m.demand = constantDemand(20000, 3000)
	d := m.step()
	m.is.Equal(len(m.orders.started), 0)
	m.is.Equal(d.Chosen, "stay")
	m.is.Equal(d.Subject, "llm")
	m.is.True(d.Why != "")
}

func TestManagerStartsOneChangeAtATime(t *testing.T) {
	m := newManagerTest(t)
	m.demand = constantDemand(5000, 7000)
	m.step()
	m.manager.Step(context.Background()) // the view doesn't show the change yet
	m.is.Equal(len(m.orders.started), 1)
	for fence, s := range []state.OrderState{state.OrderDraining, state.OrderIssued} {
		m.keeper.SetOrder(state.Order{Engine: "e00", Fence: uint64(fence + 1), State: s})
		m.step()
		m.is.Equal(len(m.orders.started), 1)
	}
	target := state.Target{Role: state.RoleDecode, Model: "m"}
	m.keeper.SetOrder(state.Order{Engine: "e00", Fence: 3, State: state.OrderSettled, Desired: target, ChangedAt: m.clock.now})
	m.step()
	m.is.Equal(len(m.orders.started), 2)
}

func TestManagerDoesNothingWithoutLeadership(t *testing.T) {
	m := newManagerTest(t)
	m.leads = false
	m.demand = constantDemand(5000, 7000)
	m.manager.Step(context.Background())
	m.is.Equal(len(m.orders.started)+len(m.records), 0)
}

func TestManagerRecordsFailedStartAndRetries(t *testing.T) {
	m := newManagerTest(t)
	m.orders.err = errors.New("another planner leads")
	m.demand = constantDemand(5000, 7000)
	m.is.Equal(m.step().Chosen, "failed")
	m.step() // retries
	m.is.Equal(len(m.orders.started), 2)
}
