package quarantine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/thymerack/thymerack/coordination/store"
)

// EntryInfo is an entry of the store, as shown to operators.
type EntryInfo struct {
	Digest string `json:"digest"`
	// Part says that it is the digest of a part that prompts share, and not of a request.
	Part     bool       `json:"part,omitempty"`
	Evidence []Evidence `json:"evidence"`
	// HoldCount is how often the request has been held.
	HoldCount int `json:"times"`
	// Released requests are on trial: they run until they crash a runner again.
	Released bool `json:"released"`
}

// NotHeldError says that the store has no entry for the request.
type NotHeldError struct{ Digest Digest }

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("no request with the digest %s is held; list those that are", e.Digest)
}

// List returns the entries of the store, sorted by digest. Objects that can't be decoded are left
// out.
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
		out = append(out, EntryInfo{Digest: d.String(), Part: d.Shared(), Evidence: e.Evidence, HoldCount: e.HoldCount, Released: e.Released})
	}
	slices.SortFunc(out, func(a, b EntryInfo) int { return cmp.Compare(a.Digest, b.Digest) })
	return out, nil
}

// Release deletes the entry of a request. Each host releases the request and clears its crashes
// once its copy of the store shows the deletion. A *NotHeldError says that there is no such entry.
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
