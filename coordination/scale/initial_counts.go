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

// initialCount is the stored object of one service.
type initialCount struct {
	// AtStart is the number of serving runners before the first request for a change.
	AtStart int `json:"at_start"`
}

// InitialCounts stores the number of runners that each service started with. Later holders of the
// lease can't count it, since the runners that they find are those that earlier holders requested.
type InitialCounts struct{ Store store.Store }

// LoadOrStore returns the number of runners that a service started with. If none is stored, it
// stores and returns n.
func (c InitialCounts) LoadOrStore(ctx context.Context, service string, n int) (int, error) {
	o, err := c.Store.Get(ctx, kindInitialCounts, service)
	if errors.Is(err, store.ErrNotFound) {
		return c.create(ctx, service, n)
	}
	if err != nil {
		return 0, err
	}
	var stored initialCount
	if err := json.Unmarshal(o.Value, &stored); err != nil || stored.AtStart <= 0 {
		return 0, fmt.Errorf("invalid initial number of runners of service %s (%q); delete the object %s/%s", service, o.Value, kindInitialCounts, service)
	}
	return stored.AtStart, nil
}

// create stores n. After an error n may be stored or not; the next LoadOrStore reads the object
// again.
func (c InitialCounts) create(ctx context.Context, service string, n int) (int, error) {
	value, err := json.Marshal(initialCount{n})
	if err != nil {
		return 0, fmt.Errorf("encode the initial number of runners of service %s: %w", service, err)
	}
	if _, err := c.Store.Put(ctx, kindInitialCounts, service, store.Absent, value); err != nil {
		return 0, err
	}
	return n, nil
}
