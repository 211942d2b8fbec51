package platform

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/thymerack/thymerack/protocol/platformapi"
)

// maxBatchBytes bounds the values of one watch batch.
const maxBatchBytes = 4 << 20

// ConflictError says that a conditional write met another version.
type ConflictError struct {
	// Present is the version found; 0 when the object doesn't exist.
	Present uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the object is at version %d; read it and repeat the change on that version", e.Present)
}

// Store keeps versioned objects. One revision counter serves all kinds; an
// object's version is the revision of its last write. Values are never changed
// once stored.
type Store struct {
	historyLimit int

	mu       sync.Mutex
	revision uint64
	kinds    map[string]*objects
}

// objects are the objects of one kind. history holds every change with a
// revision above floor.
type objects struct {
	byName  map[string]platformapi.Object
	history []platformapi.WatchEvent
	floor   uint64
	changed chan struct{}
}

// NewStore returns an empty store that remembers historyLimit changes a kind.
func NewStore(historyLimit int) *Store {
	return &Store{historyLimit: historyLimit, kinds: map[string]*objects{}}
}

// kind returns the objects of a kind; s.mu is held.
func (s *Store) kind(name string) *objects {
	k := s.kinds[name]
	if k == nil {
		k = &objects{byName: map[string]platformapi.Object{}, changed: make(chan struct{})}
		s.kinds[name] = k
	}
	return k
}

// Get returns an object and whether it exists.
func (s *Store) Get(kind, name string) (platformapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kind(kind).byName[name]
	return o, ok
}

// Put writes value if the object is at ifVersion (0: it doesn't exist) and
// returns the new version, or a *ConflictError. It keeps value.
func (s *Store) Put(kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(kind)
	if present := k.byName[name].Version; present != ifVersion {
		return 0, &ConflictError{present}
	}
	s.revision++
	o := platformapi.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	k.byName[name] = o
	k.record(platformapi.WatchEvent{Object: o}, s.historyLimit)
	return o.Version, nil
}

// Delete removes the object if it is at ifVersion and returns the revision of
// the deletion, or a *ConflictError.
func (s *Store) Delete(kind, name string, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(kind)
	present := k.byName[name].Version
	if present != ifVersion || present == 0 {
		return 0, &ConflictError{present}
	}
	s.revision++
	delete(k.byName, name)
	gone := platformapi.Object{Kind: kind, Name: name, Version: s.revision}
	k.record(platformapi.WatchEvent{Object: gone, Deleted: true}, s.historyLimit)
	return s.revision, nil
}

// List returns the objects of a kind, sorted by name.
func (s *Store) List(kind string) platformapi.ObjectList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platformapi.ObjectList{Revision: s.revision, Objects: []platformapi.Object{}}
	for _, o := range s.kind(kind).byName {
		list.Objects = append(list.Objects, o)
	}
	slices.SortFunc(list.Objects, func(a, b platformapi.Object) int {
		return strings.Compare(a.Name, b.Name)
	})
	return list
}

// Watch waits until a change of the kind after revision is there or ctx ends.
func (s *Store) Watch(ctx context.Context, kind string, after uint64) platformapi.WatchBatch {
	for {
		batch, changed := s.changes(kind, after)
		if changed == nil {
			return batch
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return batch
		}
	}
}

// changes returns what changed after the revision. When nothing did, it returns
// the channel that is closed at the next change.
func (s *Store) changes(kind string, after uint64) (platformapi.WatchBatch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(kind)
	batch := platformapi.WatchBatch{Revision: s.revision, Events: []platformapi.WatchEvent{}}
	if after < k.floor || after > s.revision {
		batch.Gap = true
		return batch, nil
	}
	bytes := 0
	for _, e := range k.history {
		if e.Object.Version <= after {
			continue
		}
		if bytes > 0 && bytes+len(e.Object.Value) > maxBatchBytes {
			batch.Revision = batch.Events[len(batch.Events)-1].Object.Version
			break
		}
		bytes += len(e.Object.Value)
		batch.Events = append(batch.Events, e)
	}
	if len(batch.Events) == 0 {
		return batch, k.changed
	}
	return batch, nil
}

// ForgetHistory makes every watch that goes on from an earlier revision see a gap.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, k := range s.kinds {
		k.history = nil
		k.floor = s.revision
		k.wake()
	}
}

// record appends a change; the store's mutex is held.
func (k *objects) record(e platformapi.WatchEvent, limit int) {
	k.history = append(k.history, e)
	if over := len(k.history) - limit; over > 0 {
		k.floor = k.history[over-1].Object.Version
		k.history = slices.Delete(k.history, 0, over)
	}
	k.wake()
}

func (k *objects) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}
