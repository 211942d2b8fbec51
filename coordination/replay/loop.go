package replay

import (
	"container/heap"
	"context"
	"errors"
	"time"
)

// loop is a virtual clock: it runs what was scheduled in order of time, equal
// times in order of scheduling. It is a state.Clock that can't sleep.
type loop struct {
	now    time.Time
	serial uint64
	queue  eventQueue
}

type event struct {
	at     time.Time
	serial uint64
	run    func()
}

// epoch is when every replay starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newLoop() *loop { return &loop{now: epoch} }

// Now implements state.Clock.
func (l *loop) Now() time.Time { return l.now }

// Sleep implements state.Clock; nothing in a replay may block.
func (l *loop) Sleep(context.Context, time.Duration) error {
	return errors.New("replay: a virtual clock can't sleep; schedule an event")
}

// since returns the time since the start.
func (l *loop) since() time.Duration { return l.now.Sub(epoch) }

func (l *loop) after(d time.Duration, run func()) {
	l.serial++
	heap.Push(&l.queue, event{l.now.Add(max(0, d)), l.serial, run})
}

// every runs f every d until it returns false.
func (l *loop) every(d time.Duration, f func() bool) {
	l.after(d, func() {
		if f() {
			l.every(d, f)
		}
	})
}

// run works until nothing is scheduled.
func (l *loop) run() {
	for len(l.queue) > 0 {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.run()
	}
}

// eventQueue is a heap by time for container/heap.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}
