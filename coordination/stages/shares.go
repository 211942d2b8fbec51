package stages

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/coordination/store"
)

// kindShares is the kind of the objects that keep the shares, one a service.
const kindEngineShares = "engine-shares"

// savedShare is a share as it is kept.
type shareRecord struct {
	Share float64 `json:"share"`
}

// PrefillShares keeps, for the next holder of the lease, the share of a service's engines
// that read prompts. A holder that is gone between ordering and saving leaves an
// older share: the next one brings the split back and learns anew, which costs time
// and breaks nothing.
type PrefillShares struct{ Store store.Store }

// Load reads a service's share and its version; store.Absent if none was ever saved.
func (s PrefillShares) Load(ctx context.Context, service string) (share float64, version uint64, err error) {
	o, err := s.Store.Get(ctx, kindEngineShares, service)
	if errors.Is(err, store.ErrNotFound) {
		return 0, store.Absent, nil
	}
	if err != nil {
		return 0, store.Absent, fmt.Errorf("read the share of %s: %w", service, err)
	}
	var record shareRecord
	if err := json.Unmarshal(o.Value, &record); err != nil || record.Share <= 0 || record.Share >= 1 {
		return 0, o.Version, fmt.Errorf("the share of %s is not readable (%q); delete the object %s/%s", service, o.Value, kindEngineShares, service)
	}
	return record.Share, o.Version, nil
}

// Save keeps a service's share in place of that of the given version and returns its
// own.
func (s PrefillShares) Save(ctx context.Context, service string, share float64, expectedVersion uint64) (uint64, error) {
	value, err := json.Marshal(shareRecord{share})
	if err != nil {
		return expectedVersion, fmt.Errorf("encode the share of %s: %w", service, err)
	}
	version, err := s.Store.Put(ctx, kindEngineShares, service, expectedVersion, value)
	if err != nil {
		return expectedVersion, fmt.Errorf("save the share of %s: %w", service, err)
	}
	return version, nil
}
