package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/coordination/store"
)

// kindNeeds is the kind of the objects that keep what services started with.
const kindInitialCounts = "thymerack-runners"

// kept is the object of one service.
type initialCount struct {
	// AtStart is the number of runners when numbers were first ordered.
	AtStart int `json:"at_start"`
}

// InitialCounts keeps, for later holders of the lease, the number of runners that a service started
// with: what they find listed is what earlier holders ordered.
type InitialCounts struct{ Store store.Store }

// LoadOrStore returns the number that a service started with, which is n if nobody has kept one.
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
		return 0, fmt.Errorf("the number of runners that %s started with is not readable (%q); delete the object %s/%s", service, o.Value, kindInitialCounts, service)
	}
	return stored.AtStart, nil
}

// create keeps n. After an error it is unknown whether it did; it is read the next time.
func (c InitialCounts) create(ctx context.Context, service string, n int) (int, error) {
	value, err := json.Marshal(initialCount{n})
	if err != nil {
		return 0, fmt.Errorf("encode the number of runners of %s: %w", service, err)
	}
	if _, err := c.Store.Put(ctx, kindInitialCounts, service, store.Absent, value); err != nil {
		return 0, err
	}
	return n, nil
}
