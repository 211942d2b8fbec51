package quarantine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/thymerack/thymerack/coordination/store"
)

// Listed is an entry of the store, as operators see it.
type Listed struct {
	Digest   string     `json:"digest"`
	Evidence []Evidence `json:"evidence"`
	// Times is how often the request has been held.
	Times int `json:"times"`
	// Released requests run until one crashes a runner again.
	Released bool `json:"released"`
}

// NotHeldError says that the store has no such entry.
type NotHeldError struct{ Digest Digest }

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("no request with the digest %s is held; list those that are", e.Digest)
}

// List returns the requests that the store has, by their digests. Objects that can't be read
// are left out.
func List(ctx context.Context, s store.Store) ([]Listed, error) {
	objects, _, err := s.List(ctx, Kind)
	if err != nil {
		return nil, err
	}
	out := []Listed{}
	for _, o := range objects {
		d, e, err := decodeEntry(o)
		if err != nil {
			continue
		}
		out = append(out, Listed{Digest: d.String(), Evidence: e.Evidence, Times: e.Times, Released: e.Released})
	}
	slices.SortFunc(out, func(a, b Listed) int { return cmp.Compare(a.Digest, b.Digest) })
	return out, nil
}

// Lift releases a request and forgets what was held against it. All hosts learn of it by
// their copies of the store. A *NotHeldError says that there is nothing to lift.
func Lift(ctx context.Context, s store.Store, d Digest) error {
	o, err := s.Get(ctx, Kind, d.String())
	if err == nil {
		err = s.Delete(ctx, Kind, o.Name, o.Version)
	}
	if errors.Is(err, store.ErrNotFound) {
		return &NotHeldError{d}
	}
	return err
}
