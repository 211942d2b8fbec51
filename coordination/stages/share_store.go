package stages

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/coordination/store"
)

// kindEngineShares is the kind of the stored objects that hold the shares, one object per
// service.
const kindEngineShares = "engine-shares"

// shareRecord is the stored form of a share.
type shareRecord struct {
	Share float64 `json:"share"`
}

// PrefillShares stores, for the next holder of the lease, the fraction of each service's
// engines that should do prefill. If a holder fails between an order and the save, the stored
// share is outdated: the next holder restores the older split and estimates the share again,
// which costs time but is safe.
type PrefillShares struct{ Store store.Store }

// Load returns the share of a service and its version. The version is store.Absent if none is
// stored. It is that of the object if the stored share is invalid.
func (s PrefillShares) Load(ctx context.Context, service string) (share float64, version uint64, err error) {
	o, err := s.Store.Get(ctx, kindEngineShares, service)
	if errors.Is(err, store.ErrNotFound) {
		return 0, store.Absent, nil
	}
	if err != nil {
		return 0, store.Absent, fmt.Errorf("load the prefill share of service %s: %w", service, err)
	}
	var record shareRecord
	if err := json.Unmarshal(o.Value, &record); err != nil || record.Share <= 0 || record.Share >= 1 {
		return 0, o.Version, fmt.Errorf("the stored prefill share of service %s is invalid (%q); delete the object %s/%s", service, o.Value, kindEngineShares, service)
	}
	return record.Share, o.Version, nil
}

// Save replaces the share of a service if the stored version is expectedVersion, and returns
// the new version. On an error it returns expectedVersion; the write may have taken effect if
// store.IsUnknownOutcome reports so.
func (s PrefillShares) Save(ctx context.Context, service string, share float64, expectedVersion uint64) (uint64, error) {
	value, err := json.Marshal(shareRecord{share})
	if err != nil {
		return expectedVersion, fmt.Errorf("encode the prefill share of service %s: %w", service, err)
	}
	version, err := s.Store.Put(ctx, kindEngineShares, service, expectedVersion, value)
	if err != nil {
		return expectedVersion, fmt.Errorf("save the prefill share of service %s: %w", service, err)
	}
	return version, nil
}
