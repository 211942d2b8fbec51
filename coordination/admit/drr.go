package admit

// drrQuantum is the credit, in prompt tokens, that a flow of weight 1 gets in each
// round.
const drrQuantum = 1024

// drr implements deficit round robin (M. Shreedhar and G. Varghese, SIGCOMM 1995):
// each round gives every backlogged flow a credit in proportion to its weight,
// and serving an item takes its cost from the credit.
type drr struct {
	totals
	flows       map[string]*flow
	ring        []*flow // backlogged flows; ring[0] is served next
	totalWeight float64
}

// NewDRR returns a deficit round robin discipline with the customers as flows.
func NewDRR() Discipline { return &drr{flows: map[string]*flow{}} }

func (d *drr) Push(it *Item) {
	f := d.flows[it.Flow]
	if f == nil {
		f = &flow{name: it.Flow, weight: it.Weight}
		d.flows[it.Flow] = f
		d.ring = append(d.ring, f)
		d.totalWeight += it.Weight
	}
	d.totalWeight += it.Weight - f.weight
	f.push(it)
	d.add(it)
}

// Peek adds credit, flow by flow, until the first flow has enough for its first
// item, which it returns.
func (d *drr) Peek() *Item {
	if len(d.ring) == 0 {
		return nil
	}
	for d.ring[0].deficit < d.ring[0].head.Cost {
		f := d.ring[0]
		f.deficit += drrQuantum * f.weight
		if f.deficit < f.head.Cost {
			d.rotate()
		}
	}
	return d.ring[0].head
}

// rotate moves the first flow to the end of the ring.
func (d *drr) rotate() {
	f := d.ring[0]
	copy(d.ring, d.ring[1:])
	d.ring[len(d.ring)-1] = f
}

func (d *drr) Pop() *Item {
	it := d.Peek()
	if it == nil {
		return nil
	}
	f := it.flow
	f.deficit -= it.Cost
	d.Remove(it)
	if f.count > 0 && f.deficit < f.head.Cost {
		d.rotate()
	}
	return it
}

func (d *drr) Remove(it *Item) {
	f := it.flow
	f.remove(it)
	d.sub(it)
	if f.count == 0 {
		d.removeFlow(f)
	}
}

// removeFlow removes a flow that has no items, and its credit.
func (d *drr) removeFlow(f *flow) {
	delete(d.flows, f.name)
	d.totalWeight -= f.weight
	for i, other := range d.ring {
		if other == f {
			d.ring = append(d.ring[:i], d.ring[i+1:]...)
			return
		}
	}
}

func (d *drr) QueuedCost(name string) float64 { return queuedCost(d.flows[name]) }

func (d *drr) TotalWeight() float64 { return d.totalWeight }

func (d *drr) CostAhead(name string, weight float64, resubmitted bool) float64 {
	f := d.flows[name]
	if f == nil {
		return 0
	}
	return fairCostAhead(f.costAhead(resubmitted), weight, d.totalWeight, d.cost)
}

func (d *drr) Sweep(keep func(*Item, float64) bool) []*Item {
	var removed []*Item
	for _, f := range d.ring {
		removed = append(removed, sweepFlow(f, d.totalWeight, d.cost, keep)...)
	}
	for _, it := range removed {
		d.Remove(it)
	}
	return removed
}

func (d *drr) EvictionCandidate() *Item {
	var heaviest *flow
	for _, f := range d.ring {
		heaviest = heavier(heaviest, f)
	}
	if heaviest == nil {
		return nil
	}
	return heaviest.tail
}
