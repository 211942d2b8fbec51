package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// stallAfter is how long a group may wait for the platform before new claims of
// its shard are refused at once.
const stallAfter = time.Second

// flight is one entry on its way to the platform.
type flight struct {
	entry  Entry
	name   string
	result chan Result // of capacity 1, so that a sender never waits

	// The committing goroutine's own notes.
	applied applied
	// exposed is true once a write with this entry was sent whose outcome isn't
	// known. It is never taken back.
	exposed bool
}

// shard queues the entries of one shard and commits them in groups. One
// goroutine commits, so a host never competes with itself.
type shard struct {
	c     *Claimer
	id    int
	wake  chan struct{}
	cache *objectCache

	mu      sync.Mutex
	queue   []*flight
	stopped bool

	// busySince is when the running group started, in Unix nanoseconds; 0 if none.
	busySince atomic.Int64
}

func newShard(c *Claimer, id int) *shard {
	return &shard{c: c, id: id, wake: make(chan struct{}, 1), cache: newObjectCache()}
}

// run commits groups until ctx ends, at most one group in each GroupWait.
func (s *shard) run(ctx context.Context) {
	defer s.stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if wait := last.Add(s.c.o.GroupWait).Sub(s.c.now()); !last.IsZero() && wait > 0 && wait <= s.c.o.GroupWait {
			if s.c.o.Clock.Sleep(ctx, wait) != nil {
				return
			}
		}
		last = s.c.now()
		s.busySince.Store(last.UnixNano())
		s.commitAll(ctx, s.take())
		s.busySince.Store(0)
	}
}

// commitAll commits the flights, a group for each bucket in order of arrival.
func (s *shard) commitAll(ctx context.Context, flights []*flight) {
	for len(flights) > 0 {
		name := flights[0].name
		var group, rest []*flight
		for _, f := range flights {
			if f.name == name {
				group = append(group, f)
			} else {
				rest = append(rest, f)
			}
		}
		s.commitGroup(ctx, name, group)
		flights = rest
	}
}

func (s *shard) take() []*flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.queue
	s.queue = nil
	return taken
}

// stop fails what is queued and all that comes later.
func (s *shard) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.fail(s.take(), errStopped)
}

// submit queues an entry and waits for its result. When ctx ends first, the
// entry is withdrawn if it is still queued; else its outcome is uncertain.
func (s *shard) submit(ctx context.Context, e Entry) Result {
	return s.await(ctx, s.enqueue(e))
}

func (s *shard) await(ctx context.Context, f *flight) Result {
	select {
	case r := <-f.result:
		return r
	case <-ctx.Done():
	}
	if s.withdraw(f) {
		return unavailable(errWithdrawn)
	}
	select {
	case r := <-f.result:
		return r
	default:
		return uncertain(ctx.Err())
	}
}

func (s *shard) enqueue(e Entry) *flight {
	f := &flight{entry: e, name: s.c.nameOf(e.Key), result: make(chan Result, 1)}
	if err := s.refuse(e); err != nil {
		f.result <- unavailable(err)
		return f
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		f.result <- unavailable(errStopped)
		return f
	}
	s.queue = append(s.queue, f)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return f
}

// refuse turns new claims away at once while the platform is known not to
// answer. Outcomes queue all the same; their number is bounded by MaxOpen.
func (s *shard) refuse(e Entry) error {
	if e.Op != OpClaim {
		return nil
	}
	if s.c.outage.remaining(s.c) > 0 {
		return errOutage
	}
	busy := s.busySince.Load()
	if busy != 0 && s.c.now().Sub(time.Unix(0, busy)) > stallAfter {
		return errStalled
	}
	return nil
}

func (s *shard) withdraw(f *flight) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, q := range s.queue {
		if q == f {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

const (
	cacheObjects = 64
	cacheBytes   = 8 << 20
)

// objectCache keeps the last objects that the committing goroutine has read or
// written, so that a claim costs one write and no read. It is used by one
// goroutine only. A stale entry costs a conflict, never a wrong result.
type objectCache struct {
	objects map[string]*object
	order   []string
	bytes   int
}

func newObjectCache() *objectCache { return &objectCache{objects: map[string]*object{}} }

func (c *objectCache) get(name string) *object { return c.objects[name] }

func (c *objectCache) put(name string, o *object) {
	c.drop(name)
	c.objects[name] = o
	c.order = append(c.order, name)
	c.bytes += o.bytes
	for len(c.order) > cacheObjects || (c.bytes > cacheBytes && len(c.order) > 1) {
		c.drop(c.order[0])
	}
}

func (c *objectCache) drop(name string) {
	o, ok := c.objects[name]
	if !ok {
		return
	}
	delete(c.objects, name)
	c.bytes -= o.bytes
	for i, n := range c.order {
		if n == name {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}
