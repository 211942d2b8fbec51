package engine

import "slices"

// queue holds the sequences of an engine by stage. The engine's mutex guards it.
type queue struct {
	arrivals uint64
	// waiting need prefill; ready have it and wait for a place in the batch;
	// running are in the batch. waiting and ready are sorted by precedence.
	waiting []*Sequence
	ready   []*Sequence
	running []*Sequence
}

// before reports whether a is served before b.
func before(a, b *Sequence) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	return int(int64(a.arrival) - int64(b.arrival))
}

func insert(list []*Sequence, s *Sequence) []*Sequence {
	i, _ := slices.BinarySearchFunc(list, s, before)
	return slices.Insert(list, i, s)
}

func without(list []*Sequence, s *Sequence) []*Sequence {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// add puts a new sequence among the waiting.
func (q *queue) add(s *Sequence) {
	q.arrivals++
	s.arrival = q.arrivals
	q.waiting = insert(q.waiting, s)
}

// remove takes a sequence out of every stage.
func (q *queue) remove(s *Sequence) {
	q.waiting = without(q.waiting, s)
	q.ready = without(q.ready, s)
	q.running = without(q.running, s)
}

// all returns the sequences of every stage.
func (q *queue) all() []*Sequence {
	return slices.Concat(q.waiting, q.ready, q.running)
}

// find returns the sequence of an attempt, or nil.
func (q *queue) find(attempt string) *Sequence {
	for _, s := range q.all() {
		if s.Attempt == attempt {
			return s
		}
	}
	return nil
}

// fill moves ready sequences into the batch.
func (q *queue) fill(maxBatch int) {
	for len(q.running) < maxBatch && len(q.ready) > 0 {
		q.running = append(q.running, q.ready[0])
		q.ready = slices.Delete(q.ready, 0, 1)
	}
}

// size is the number of sequences.
func (q *queue) size() int {
	return len(q.waiting) + len(q.ready) + len(q.running)
}
