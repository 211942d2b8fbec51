package quarantine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/thymerack/thymerack/coordination/store"
)

// EntryInfo is an entry of the store, as operators see it.
type EntryInfo struct {
	Digest   string     `json:"digest"`
	Evidence []Evidence `json:"evidence"`
	// HoldCount is how often the request has been held.
	HoldCount int `json:"times"`
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
func List(ctx context.Context, s store.Store) ([]EntryInfo, error) {
	objects, _, err := s.List(ctx, Kind)
	if err != nil {
		return nil, err
	}
	out := []EntryInfo{}
	for _, o := range objects {
		d, e, err := decodeEntry(o)
		if err != nil {
			continue
		}
		out = append(out, EntryInfo{Digest: d.String(), Evidence: e.Evidence, HoldCount: e.HoldCount, Released: e.Released})
	}
	slices.SortFunc(out, func(a, b EntryInfo) int { return cmp.Compare(a.Digest, b.Digest) })
	return out, nil
}

// Release releases a request and forgets what was held against it. All hosts learn of it by
// their copies of the store. A *NotHeldError says that there is nothing to lift.
func Release(ctx context.Context, s store.Store, d Digest) error {
	o, err := s.Get(ctx, Kind, d.String())
	if err == nil {
		err = s.Delete(ctx, Kind, o.Name, o.Version)
	}
	if errors.Is(err, store.ErrNotFound) {
		return &NotHeldError{d}
	}
	return err
}
