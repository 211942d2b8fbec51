package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/coordination/store"
)

// kindInitialCounts is the kind of the stored objects. Their name is that of the service.
const kindInitialCounts = "thymerack-runners"

// StoredCounts is the stored object of one service.
type StoredCounts struct {
	// AtStart is the number of serving runners before the first request for a change.
	AtStart int `json:"at_start"`
	// Required is the last required number of runners if it follows the demand; 0 if it never
	// changed. Earlier versions neither write nor read it.
	Required int `json:"required,omitempty"`
	// version is the object's version at the store.
	version uint64
}

// InitialCounts stores the number of runners that each service started with. Later holders of the
// lease can't count it, since the runners that they find are those that earlier holders requested.
// It also stores the last required number, from which the next holder starts.
type InitialCounts struct{ Store store.Store }

// LoadOrStore returns the stored counts of a service. If none are stored, it stores and returns n as
// the number at the start.
func (c InitialCounts) LoadOrStore(ctx context.Context, service string, n int) (StoredCounts, error) {
	o, err := c.Store.Get(ctx, kindInitialCounts, service)
	if errors.Is(err, store.ErrNotFound) {
		return c.put(ctx, service, StoredCounts{AtStart: n, version: store.Absent})
	}
	if err != nil {
		return StoredCounts{}, err
	}
	var stored StoredCounts
	if err := json.Unmarshal(o.Value, &stored); err != nil || stored.AtStart <= 0 {
		return StoredCounts{}, fmt.Errorf("invalid initial number of runners of service %s (%q); delete the object %s/%s", service, o.Value, kindInitialCounts, service)
	}
	stored.Required, stored.version = max(0, stored.Required), o.Version
	return stored, nil
}

// SaveRequired replaces the required number in the stored counts if they are still the stored ones.
// After an error the number may be stored or not, and the counts must be loaded before the next
// attempt.
func (c InitialCounts) SaveRequired(ctx context.Context, service string, stored StoredCounts, required int) (StoredCounts, error) {
	stored.Required = required
	return c.put(ctx, service, stored)
}

// put stores counts in place of the version that they hold.
func (c InitialCounts) put(ctx context.Context, service string, counts StoredCounts) (StoredCounts, error) {
	value, err := json.Marshal(counts)
	if err != nil {
		return StoredCounts{}, fmt.Errorf("encode the initial number of runners of service %s: %w", service, err)
	}
	if counts.version, err = c.Store.Put(ctx, kindInitialCounts, service, counts.version, value); err != nil {
		return StoredCounts{}, err
	}
	return counts, nil
}
