package admit

// Item is one waiting request in a Discipline.
type Item struct {
	// Flow is the customer that the request is charged to.
	Flow string
	// Weight is the flow's relative share; it is positive.
	Weight float64
	// Cost is the work of the request, in prompt tokens.
	Cost float64
	// Resubmitted items go before the others of their flow: they were refused
	// before and sent again after their retry time.
	Resubmitted bool

	waiter *waiter
	// next, prev and flow link the item into the list of its flow.
	next *Item
	prev *Item
	flow *flow
}

// Discipline is a queue of requests that defines the order in which they are
// served. Costs are in prompt tokens. It is not safe for concurrent use.
type Discipline interface {
	// Push adds an item.
	Push(it *Item)
	// Peek returns the item that Pop would return, or nil.
	Peek() *Item
	// Pop removes and returns the next item, or nil.
	Pop() *Item
	// Remove removes a queued item that won't be served.
	Remove(it *Item)
	// Len returns the number of items.
	Len() int
	// TotalCost returns the sum of the items' costs.
	TotalCost() float64
	// QueuedCost returns the sum of the costs of one flow's items.
	QueuedCost(flow string) float64
	// TotalWeight returns the sum of the weights of the flows with items.
	TotalWeight() float64
	// CostAhead estimates the cost that would be served before a new item of the
	// flow with the given weight.
	CostAhead(flow string, weight float64, resubmitted bool) float64
	// Sweep calls keep for each item, in order within a flow, with the cost that
	// is estimated to be served before it. It removes and returns the items for
	// which keep returns false; their costs don't count for later items of the
	// flow.
	Sweep(keep func(it *Item, ahead float64) bool) []*Item
	// EvictionCandidate returns the item to evict from a full queue: the newest of
	// the flow with the largest queued cost per weight, or of all items in FIFO.
	// It returns nil if the queue is empty.
	EvictionCandidate() *Item
}

// flow is the list of the items of one customer, resubmitted ones first, with the
// scheduling state that the disciplines keep for each customer.
type flow struct {
	name   string
	weight float64
	head   *Item
	tail   *Item
	count  int
	cost   float64
	// lastResubmitted is the last of the resubmitted items, which come first, and
	// resubmittedCost the sum of their costs.
	lastResubmitted *Item
	resubmittedCost float64

	// deficit is the credit in deficit round robin, in prompt tokens.
	deficit float64

	// The following fields belong to B-WF2Q+. virtualStart and virtualFinish are
	// in units of cost per weight, budget and served in prompt tokens; served is
	// the part of the budget used since the flow was activated. eligible tells
	// which heap the flow is in, and heapIndex its index there.
	virtualStart, virtualFinish float64
	budget, served              float64
	heapIndex                   int
	eligible                    bool
}

// push adds an item after the resubmitted items if it is one, else at the end.
func (f *flow) push(it *Item) {
	after := f.tail
	if it.Resubmitted {
		after = f.lastResubmitted
		f.lastResubmitted = it
		f.resubmittedCost += it.Cost
	}
	f.insert(it, after)
	f.count++
	f.cost += it.Cost
	f.weight = it.Weight
}

// insert links an item after another one, or as the first if after is nil.
func (f *flow) insert(it, after *Item) {
	it.flow, it.prev = f, after
	if after == nil {
		it.next = f.head
		f.head = it
	} else {
		it.next = after.next
		after.next = it
	}
	if it.next == nil {
		f.tail = it
	} else {
		it.next.prev = it
	}
}

// remove unlinks an item.
func (f *flow) remove(it *Item) {
	if it.Resubmitted {
		f.resubmittedCost -= it.Cost
		if f.lastResubmitted == it {
			f.lastResubmitted = it.prev // resubmitted too, or nil
		}
	}
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.next, it.prev, it.flow = nil, nil, nil
	f.count--
	f.cost -= it.Cost
	if f.count == 0 {
		f.cost, f.resubmittedCost = 0, 0 // discards rounding errors
	}
}

// costAhead returns the cost of the flow's items that go before a new one.
func (f *flow) costAhead(resubmitted bool) float64 {
	if resubmitted {
		return f.resubmittedCost
	}
	return f.cost
}

// totals holds the number and the cost of all items of a discipline.
type totals struct {
	count int
	cost  float64
}

func (t *totals) add(it *Item) {
	t.count++
	t.cost += it.Cost
}

func (t *totals) sub(it *Item) {
	t.count--
	t.cost -= it.Cost
	if t.count == 0 {
		t.cost = 0
	}
}

// Len implements Discipline.
func (t *totals) Len() int { return t.count }

// TotalCost implements Discipline.
func (t *totals) TotalCost() float64 { return t.cost }

// fairCostAhead estimates the cost served before the next item of a flow with
// ownCost queued, if backlogged flows of the given total weight and cost share by
// weight: while the flow is served ownCost, all flows together are served
// ownCost*totalWeight/weight, or totalCost if that is less.
func fairCostAhead(ownCost, weight, totalWeight, totalCost float64) float64 {
	return min(totalCost, ownCost*max(totalWeight, weight)/weight)
}

// sweepFlow does the visits of Discipline.Sweep for one flow of a fair discipline
// and returns the items to remove.
func sweepFlow(f *flow, totalWeight, totalCost float64, keep func(*Item, float64) bool) []*Item {
	var removed []*Item
	var ownCost float64
	for it := f.head; it != nil; it = it.next {
		if keep(it, fairCostAhead(ownCost, f.weight, totalWeight, totalCost)) {
			ownCost += it.Cost
		} else {
			removed = append(removed, it)
		}
	}
	return removed
}

// queuedCost returns the cost of the items of a flow, zero if f is nil.
func queuedCost(f *flow) float64 {
	if f == nil {
		return 0
	}
	return f.cost
}

// heavier returns the flow with the larger cost per weight; a or b may be nil.
func heavier(a, b *flow) *flow {
	if a == nil || b != nil && b.cost/b.weight > a.cost/a.weight {
		return b
	}
	return a
}
