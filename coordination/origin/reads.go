package origin

import (
	"context"
	"sync"
)

// sharedReads lets callers that read the same object at the same time share calls. A caller never gets the result of a call that
// began before it asked, since what it asks about may be newer. At most one call for each name is under way; the callers that
// ask meanwhile share the next one. The zero value is ready to use.
type sharedReads struct {
	mu sync.Mutex
	// present are the calls under way, and next those that begin when these end.
	present, next map[string]*sharedRead
}

// sharedRead is one call and its result, which is set before done is closed.
type sharedRead struct {
	done     chan struct{}
	versions []string
	err      error
}

// do returns the result of a call of read that begins after do was called, or the error of ctx.
func (s *sharedReads) do(ctx context.Context, name string, read func() ([]string, error)) ([]string, error) {
	r := s.join(name, read)
	select {
	case <-r.done:
		return r.versions, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// join returns a call that hasn't begun yet, or begins now.
func (s *sharedReads) join(name string, read func() ([]string, error)) *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.present == nil {
		s.present, s.next = map[string]*sharedRead{}, map[string]*sharedRead{}
	}
	if r := s.next[name]; r != nil {
		return r
	}
	r := &sharedRead{done: make(chan struct{})}
	if s.present[name] != nil {
		s.next[name] = r
		return r
	}
	s.present[name] = r
	go s.run(name, r, read)
	return r
}

// run makes the call r, and further ones until nobody waits for one.
func (s *sharedReads) run(name string, r *sharedRead, read func() ([]string, error)) {
	for ; r != nil; r = s.following(name) {
		r.versions, r.err = read()
		close(r.done)
	}
}

// following makes the next call the present one, and returns it; nil if nobody waits for one.
func (s *sharedReads) following(name string) *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.next[name]
	delete(s.next, name)
	if r == nil {
		delete(s.present, name)
		return nil
	}
	s.present[name] = r
	return r
}
