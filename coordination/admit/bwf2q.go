package admit

import "container/heap"

// Bounds of the state kept by B-WF2Q+.
const (
	// minBudget and maxBudget bound the budget of a flow, in prompt tokens.
	minBudget = 256
	maxBudget = 16384
	// maxIdleFlows is the number of flows at which those without items are first
	// pruned; until then their virtual finish times and budgets are kept.
	maxIdleFlows = 4096
)

// bwf2q implements B-WF2Q+, the scheduler of Budget Fair Queueing (P. Valente and
// M. Andreolini, SYSTOR 2012). Each flow has a budget of service. Of the eligible
// flows (those whose virtual start is not after the virtual time) the one with the
// earliest virtual finish is served until its budget is used up or it has no items
// left. A flow that uses up its budget gets a larger one next; the next budget of
// a flow that runs out of items is the service it used. So short sporadic flows
// have early virtual finish times and are served soon, whatever the budgets of the
// others. The flows' shares depend on their weights only, not on their budgets.
//
// Invariants: a flow with items is in exactly one of waiting and eligible, or is
// current; a flow without items is none of these.
type bwf2q struct {
	totals
	flows       map[string]*flow
	virtualTime float64 // in cost per weight
	totalWeight float64 // of the flows with items
	current     *flow   // the flow in service, with budget left
	// pruneAt is the number of flows at which idle ones are pruned next, if it is
	// more than maxIdleFlows.
	pruneAt int
	// eligible is ordered by virtual finish. waiting holds the flows whose virtual
	// start is in the future, ordered by virtual start.
	eligible, waiting flowHeap
}

// NewBWF2Q returns a B-WF2Q+ discipline with the customers as flows.
func NewBWF2Q() Discipline {
	return &bwf2q{
		flows:    map[string]*flow{},
		eligible: flowHeap{key: func(f *flow) float64 { return f.virtualFinish }},
		waiting:  flowHeap{key: func(f *flow) float64 { return f.virtualStart }},
	}
}

func (d *bwf2q) Push(it *Item) {
	f := d.flows[it.Flow]
	if f == nil {
		d.pruneIdle()
		f = &flow{name: it.Flow, weight: it.Weight, budget: minBudget}
		d.flows[it.Flow] = f
	}
	d.add(it)
	if f.count > 0 {
		d.totalWeight += it.Weight - f.weight
		f.push(it)
		return
	}
	f.push(it)
	d.totalWeight += f.weight
	d.activate(f, max(d.virtualTime, f.virtualFinish))
}

// activate adds a flow that has items to its heap, with the given virtual start. A
// first item that exceeds the budget is served all the same and counts in full.
func (d *bwf2q) activate(f *flow, start float64) {
	f.served = 0
	f.virtualStart = start
	f.virtualFinish = start + max(f.budget, f.head.Cost)/f.weight
	f.eligible = start <= d.virtualTime
	heap.Push(d.heapOf(f), f)
}

// heapOf returns the heap that holds a flow other than the current one.
func (d *bwf2q) heapOf(f *flow) *flowHeap {
	if f.eligible {
		return &d.eligible
	}
	return &d.waiting
}

// nextFlow returns the flow to serve, or nil. If no flow is eligible, it advances
// the virtual time to the earliest virtual start.
func (d *bwf2q) nextFlow() *flow {
	if d.current != nil {
		return d.current
	}
	if len(d.eligible.flows) == 0 && len(d.waiting.flows) > 0 {
		d.virtualTime = max(d.virtualTime, d.waiting.flows[0].virtualStart)
	}
	for len(d.waiting.flows) > 0 && d.waiting.flows[0].virtualStart <= d.virtualTime {
		f := heap.Pop(&d.waiting).(*flow)
		f.eligible = true
		heap.Push(&d.eligible, f)
	}
	if len(d.eligible.flows) == 0 {
		return nil
	}
	return d.eligible.flows[0]
}

func (d *bwf2q) Peek() *Item {
	f := d.nextFlow()
	if f == nil {
		return nil
	}
	return f.head
}

func (d *bwf2q) Pop() *Item {
	f := d.nextFlow()
	if f == nil {
		return nil
	}
	if d.current == nil {
		heap.Remove(&d.eligible, f.heapIndex)
		d.current = f
	}
	it := f.head
	f.served += it.Cost
	d.virtualTime += it.Cost / d.totalWeight
	f.remove(it)
	d.sub(it)
	d.endServiceIfExhausted(f)
	return it
}

// endServiceIfExhausted ends the service of the current flow if it has no items
// left or its budget doesn't cover the next one.
func (d *bwf2q) endServiceIfExhausted(f *flow) {
	if f.count > 0 && f.served+f.head.Cost <= f.budget {
		return
	}
	d.current = nil
	f.virtualFinish = f.virtualStart + f.served/f.weight
	if f.count == 0 {
		d.totalWeight = max(0, d.totalWeight-f.weight)
		f.budget = min(max(f.served, minBudget), maxBudget)
		return
	}
	f.budget = min(2*max(f.budget, f.served), maxBudget)
	d.activate(f, f.virtualFinish)
}

func (d *bwf2q) Remove(it *Item) {
	f := it.flow
	wasHead := f.head == it
	f.remove(it)
	d.sub(it)
	switch {
	case f == d.current:
		d.endServiceIfExhausted(f)
	case f.count == 0:
		heap.Remove(d.heapOf(f), f.heapIndex)
		d.totalWeight = max(0, d.totalWeight-f.weight)
		f.virtualFinish = f.virtualStart // nothing was served
	case wasHead:
		heap.Remove(d.heapOf(f), f.heapIndex)
		d.activate(f, f.virtualStart)
	}
}

// pruneIdle removes flows without items once there are many. Only flows whose
// virtual finish has passed are removed, since a new flow would start at the same
// virtual time. The next pruning happens at twice the flows left, so that the cost
// per push is amortised.
func (d *bwf2q) pruneIdle() {
	if len(d.flows) < max(maxIdleFlows, d.pruneAt) {
		return
	}
	for name, f := range d.flows {
		if f.count == 0 && f.virtualFinish <= d.virtualTime {
			delete(d.flows, name)
		}
	}
	d.pruneAt = 2 * len(d.flows)
}

func (d *bwf2q) QueuedCost(name string) float64 { return queuedCost(d.flows[name]) }

func (d *bwf2q) TotalWeight() float64 { return d.totalWeight }

func (d *bwf2q) CostAhead(name string, weight float64, resubmitted bool) float64 {
	f := d.flows[name]
	if f == nil || f.count == 0 {
		return 0
	}
	return fairCostAhead(f.costAhead(resubmitted), weight, d.totalWeight, d.cost)
}

func (d *bwf2q) Sweep(keep func(*Item, float64) bool) []*Item {
	var removed []*Item
	for _, h := range []*flowHeap{&d.eligible, &d.waiting} {
		for _, f := range h.flows {
			removed = append(removed, sweepFlow(f, d.totalWeight, d.cost, keep)...)
		}
	}
	if d.current != nil {
		removed = append(removed, sweepFlow(d.current, d.totalWeight, d.cost, keep)...)
	}
	for _, it := range removed {
		d.Remove(it)
	}
	return removed
}

func (d *bwf2q) EvictionCandidate() *Item {
	heaviest := d.current
	for _, f := range d.eligible.flows {
		heaviest = heavier(heaviest, f)
	}
	for _, f := range d.waiting.flows {
		heaviest = heavier(heaviest, f)
	}
	if heaviest == nil {
		return nil
	}
	return heaviest.tail
}

// flowHeap is a min-heap of flows by key, for container/heap.
type flowHeap struct {
	flows []*flow
	key   func(*flow) float64
}

// Len implements heap.Interface.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less implements heap.Interface. Equal keys are ordered by name, so that runs are
// reproducible.
func (h *flowHeap) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if ka, kb := h.key(a), h.key(b); ka != kb {
		return ka < kb
	}
	return a.name < b.name
}

// Swap implements heap.Interface.
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex = i
	h.flows[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	return f
}
