package admit

// fifo serves items in order of arrival, regardless of their flows. Resubmitted
// items go first.
type fifo struct {
	totals
	queue flow
}

// NewFIFO returns a discipline that serves items in order of arrival, resubmitted
// ones first, without sharing between customers.
func NewFIFO() Discipline { return &fifo{} }

func (d *fifo) Push(it *Item) {
	d.queue.push(it)
	d.add(it)
}

func (d *fifo) Peek() *Item { return d.queue.head }

func (d *fifo) Pop() *Item {
	it := d.queue.head
	if it != nil {
		d.Remove(it)
	}
	return it
}

func (d *fifo) Remove(it *Item) {
	d.sub(it)
	d.queue.remove(it)
}

func (d *fifo) QueuedCost(name string) float64 {
	sum := 0.0
	for it := d.queue.head; it != nil; it = it.next {
		if it.Flow == name {
			sum += it.Cost
		}
	}
	return sum
}

// TotalWeight returns 1, since all customers share one queue.
func (d *fifo) TotalWeight() float64 { return 1 }

func (d *fifo) CostAhead(_ string, _ float64, resubmitted bool) float64 {
	return d.queue.costAhead(resubmitted)
}

func (d *fifo) Sweep(keep func(*Item, float64) bool) []*Item {
	var removed []*Item
	var ahead float64
	for it := d.queue.head; it != nil; it = it.next {
		if keep(it, ahead) {
			ahead += it.Cost
		} else {
			removed = append(removed, it)
		}
	}
	for _, it := range removed {
		d.Remove(it)
	}
	return removed
}

func (d *fifo) EvictionCandidate() *Item { return d.queue.tail }
