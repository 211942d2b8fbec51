package admit

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of the property checks, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// disciplines holds the constructors under test by name.
var disciplines = map[string]func() Discipline{"fifo": NewFIFO, "drr": NewDRR, "b-wf2q+": NewBWF2Q}

// oracle applies random operations to a discipline and checks it against a list of
// the items that it has to hold, in order of arrival.
type oracle struct {
	d     Discipline
	items []*Item
	flows int
}

// cost returns the cost of the items of a flow, or of all if flow is empty.
func (o *oracle) cost(flow string) float64 {
	sum := 0.0
	for _, it := range o.items {
		if flow == "" || it.Flow == flow {
			sum += it.Cost
		}
	}
	return sum
}

// first returns the item of a flow that has to be popped first: the first
// resubmitted one, or the first if there is none.
func (o *oracle) first(flow string) *Item {
	var first *Item
	for _, it := range o.items {
		if it.Flow == flow && (first == nil || it.Resubmitted && !first.Resubmitted) {
			first = it
		}
	}
	return first
}

// drop removes an item from the list.
func (o *oracle) drop(it *Item) {
	for i, have := range o.items {
		if have == it {
			o.items = append(o.items[:i:i], o.items[i+1:]...)
			return
		}
	}
	panic("the discipline returned an item that isn't queued")
}

// push pushes an item with a random flow and cost.
func (o *oracle) push(t *rapid.T) {
	flow := rapid.IntRange(0, o.flows-1).Draw(t, "flow")
	it := &Item{
		Flow: fmt.Sprint("f", flow), Weight: float64(1 + flow%3),
		Cost:        float64(rapid.IntRange(1, 20000).Draw(t, "cost")),
		Resubmitted: rapid.IntRange(0, 9).Draw(t, "resubmitted") == 0,
	}
	o.d.Push(it)
	o.items = append(o.items, it)
}

// pop pops an item and checks its order.
func (o *oracle) pop(t *rapid.T) {
	peeked := o.d.Peek()
	it := o.d.Pop()
	switch {
	case it != peeked:
		t.Fatal("Pop and Peek returned different items")
	case it == nil && len(o.items) > 0:
		t.Fatal("Pop returned nil though items are queued")
	case it == nil:
		return
	case !o.inOrder(it):
		t.Fatalf("Pop returned an item before an earlier one of its flow")
	}
	o.drop(it)
}

// inOrder reports whether an item may be popped now. In FIFO all items form one
// flow.
func (o *oracle) inOrder(it *Item) bool {
	if _, ok := o.d.(*fifo); !ok {
		return o.first(it.Flow) == it
	}
	for _, have := range o.items {
		if have.Resubmitted && !it.Resubmitted {
			return false
		}
		if have.Resubmitted == it.Resubmitted {
			return have == it
		}
	}
	return false
}

// remove removes a random item.
func (o *oracle) remove(t *rapid.T) {
	if len(o.items) == 0 {
		return
	}
	it := rapid.SampledFrom(o.items).Draw(t, "removed")
	o.d.Remove(it)
	o.drop(it)
}

// sweep sweeps the items with at least a random cost ahead.
func (o *oracle) sweep(t *rapid.T) {
	limit := float64(rapid.IntRange(0, 100000).Draw(t, "limit"))
	for _, it := range o.d.Sweep(func(_ *Item, ahead float64) bool { return ahead < limit }) {
		o.drop(it)
	}
}

// check compares the figures of the discipline with the list.
func (o *oracle) check(t *rapid.T) {
	if o.d.Len() != len(o.items) {
		t.Fatalf("Len is %d, want %d", o.d.Len(), len(o.items))
	}
	near := func(what string, got, want float64) {
		if got < want-1e-3 || got > want+1e-3 {
			t.Fatalf("%s is %v, want %v", what, got, want)
		}
	}
	near("TotalCost", o.d.TotalCost(), o.cost(""))
	for i := range o.flows {
		flow := fmt.Sprint("f", i)
		near("QueuedCost of "+flow, o.d.QueuedCost(flow), o.cost(flow))
		ahead := o.d.CostAhead(flow, float64(1+i%3), false)
		if ahead < 0 || ahead > o.cost("")+1e-3 {
			t.Fatalf("CostAhead of %s is %v, want 0 to %v", flow, ahead, o.cost(""))
		}
	}
	if last := o.d.EvictionCandidate(); (last == nil) != (len(o.items) == 0) {
		t.Fatal("EvictionCandidate is nil although items are queued, or the reverse")
	}
}

func TestDisciplinesAgreeWithAnOracle(t *testing.T) {
	for name, create := range disciplines {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			o := &oracle{d: create(), flows: rapid.IntRange(1, 6).Draw(t, "flows")}
			t.Repeat(map[string]func(*rapid.T){
				"push": o.push, "push again": o.push, "pop": o.pop,
				"remove": o.remove, "sweep": o.sweep, "": o.check,
			})
			for len(o.items) > 0 { // every item left is served
				o.pop(t)
			}
		}))
	}
}

// serveBacklogged keeps every flow backlogged and pops items until the total cost is
// served. It returns the cost served of each flow.
func serveBacklogged(d Discipline, weights []float64, cost func() float64, total float64) []float64 {
	served := make([]float64, len(weights))
	push := func(i int) {
		d.Push(&Item{Flow: fmt.Sprint("f", i), Weight: weights[i], Cost: cost()})
	}
	for i := range weights {
		push(i)
		push(i)
	}
	for sum := 0.0; sum < total; {
		it := d.Pop()
		var i int
		_, _ = fmt.Sscanf(it.Flow, "f%d", &i)
		served[i] += it.Cost
		sum += it.Cost
		push(i)
	}
	return served
}

// The difference in service per weight between any two backlogged flows is bounded
// by the quantum (DRR) or the largest budget (B-WF2Q+), plus the largest items.
func TestBackloggedFlowsShareByWeight(t *testing.T) {
	const largest = 8000
	for name, bound := range map[string]float64{"drr": drrQuantum + 2*largest, "b-wf2q+": maxBudget + 2*largest} {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			weights := rapid.SliceOfN(rapid.Map(rapid.IntRange(1, 8), func(w int) float64 { return float64(w) }), 2, 8).Draw(t, "weights")
			costs := rapid.SliceOfN(rapid.Float64Range(1, largest), 16, 16).Draw(t, "costs")
			next := 0
			cost := func() float64 { next++; return costs[next%len(costs)] }
			served := serveBacklogged(disciplines[name](), weights, cost, 2e6)
			for i := range weights {
				for j := range weights {
					apart := served[i]/weights[i] - served[j]/weights[j]
					if limit := bound/weights[i] + bound/weights[j]; apart > limit {
						t.Fatalf("flows %d and %d of weights %v were served %v: they differ by %v per weight, want at most %v", i, j, weights, served, apart, limit)
					}
				}
			}
		}))
	}
}

// costServedBeforeSporadic returns the cost served before a small item of a new flow
// that arrives while other flows have long queues.
func costServedBeforeSporadic(d Discipline, flows int) float64 {
	for n := range 50 * flows {
		d.Push(&Item{Flow: fmt.Sprint("f", n%flows), Weight: 1, Cost: 4000})
	}
	for range 20 * flows {
		d.Pop()
	}
	small := &Item{Flow: "sporadic", Weight: 1, Cost: 100}
	d.Push(small)
	before := 0.0
	for it := d.Pop(); it != small; it = d.Pop() {
		before += it.Cost
	}
	return before
}

func TestSporadicFlowIsServedSoon(t *testing.T) {
	const flows = 20
	for name, limit := range map[string]float64{
		"drr":     flows * (drrQuantum + 4000),
		"b-wf2q+": flows*minBudget + maxBudget, // a small budget of each other flow, and the rest of the current flow's budget
	} {
		t.Run(name, func(t *testing.T) {
			if before := costServedBeforeSporadic(disciplines[name](), flows); before > limit {
				t.Errorf("a cost of %v was served before the sporadic item, want at most %v", before, limit)
			}
		})
	}
}

func TestIdleFlowsArePruned(t *testing.T) {
	d := NewBWF2Q().(*bwf2q)
	for n := range 10 * maxIdleFlows {
		d.Push(&Item{Flow: fmt.Sprint("f", n), Weight: 1, Cost: 100})
		d.Pop()
	}
	if n := len(d.flows); n > maxIdleFlows+1 {
		t.Errorf("%d flows are kept", n)
	}
}
