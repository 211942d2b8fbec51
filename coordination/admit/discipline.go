package admit

// Item is one waiting request in a Discipline.
type Item struct {
	// Flow is the customer that it is charged to.
	Flow string
	// Weight is the flow's share; it is positive.
	Weight float64
	// Cost is the service that the item needs, in prompt tokens.
	Cost float64
	// Resubmitted items go before the others of their flow: they were refused
	// before and came back when they were told to.
	Resubmitted bool

	waiter *waiter
	next   *Item
	prev   *Item
	flow   *flow
}

// Discipline is the order in which the waiting requests of one service are
// served. It is not safe for concurrent use.
type Discipline interface {
	// Push adds an item.
	Push(it *Item)
	// Peek returns the item that Pop would return, or nil.
	Peek() *Item
	// Pop removes and returns the next item, or nil.
	Pop() *Item
	// Remove takes out an item that won't be served.
	Remove(it *Item)
	// Len is the number of items.
	Len() int
	// TotalCost is the sum of the items' costs.
	TotalCost() float64
	// QueuedCost is the sum of the costs of one flow's items.
	QueuedCost(flow string) float64
	// TotalWeight is the sum of the weights of the flows with items.
	TotalWeight() float64
	// CostAhead estimates the cost served before a new item of the flow.
	CostAhead(flow string, weight float64, resubmitted bool) float64
	// Sweep visits the items, each flow's in their order, with the cost that is
	// estimated to be served before each; it removes and returns those for which
	// keep is false, and doesn't count them as ahead of others in the flow.
	Sweep(keep func(it *Item, ahead float64) bool) []*Item
	// EvictionCandidate returns the newest item of the flow with the largest cost per weight,
	// the one to push out of a full queue, or nil.
	EvictionCandidate() *Item
}

// flow is the queue of one customer. The fields after the list belong to the
// discipline.
type flow struct {
	name   string
	weight float64
	head   *Item
	tail   *Item
	count  int
	cost   float64
	// lastResubmitted is the last of the lastResubmitted items, which come first, and
	// returningCost the sum of their costs.
	lastResubmitted *Item
	resubmittedCost float64

	// deficit is DRR's credit.
	deficit float64

	// virtualStart, virtualFinish, budget and served belong to B-WF2Q+.
	virtualStart, virtualFinish float64
	budget, served              float64
	heapIndex                   int
	eligible                    bool
}

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

// insert links an item in after another, or as the first after nil.
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

func (f *flow) remove(it *Item) {
	if it.Resubmitted {
		f.resubmittedCost -= it.Cost
		if f.lastResubmitted == it {
			f.lastResubmitted = it.prev // returning items come first
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
		f.cost, f.resubmittedCost = 0, 0 // drops what rounding left
	}
}

// costAhead is the cost of the flow's items that go costAhead a new one.
func (f *flow) costAhead(resubmitted bool) float64 {
	if resubmitted {
		return f.resubmittedCost
	}
	return f.cost
}

// totals are the sums over all items of a discipline.
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

// Len is the number of items.
func (t *totals) Len() int { return t.count }

// TotalCost is the sum of the items' costs.
func (t *totals) TotalCost() float64 { return t.cost }

// fairCostAhead estimates the cost served before the next item of a flow that has
// own cost queued, when backlogged flows of the given weights share by weight.
func fairCostAhead(ownCost, weight, totalWeight, totalCost float64) float64 {
	return min(totalCost, ownCost*max(totalWeight, weight)/weight)
}

// sweepFlow is Sweep for one flow of a fair discipline.
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

func queuedCost(f *flow) float64 {
	if f == nil {
		return 0
	}
	return f.cost
}

// heavier returns the flow with the larger cost per weight.
func heavier(a, b *flow) *flow {
	if a == nil || b != nil && b.cost/b.weight > a.cost/a.weight {
		return b
	}
	return a
}
