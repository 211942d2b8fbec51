package explain

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// Search returns the records of a subject in the stored batches of a host,
// oldest first. It makes one call to the store per slot. If from isn't zero,
// batches of windows before it are left out; a batch that can't be decoded is
// skipped. After a store error it returns the error and the unsorted records
// found before.
func Search(ctx context.Context, s store.Store, host, subject string, from time.Time, interval time.Duration) ([]state.Decision, error) {
	var out []state.Decision
	for slot := range Slots {
		o, err := s.Get(ctx, store.KindExplain, SlotName(host, slot))
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			return out, err
		}
		batch, err := Decode(o.Value)
		if err != nil || (!from.IsZero() && batch.Window < WindowOf(from, interval)) {
			continue
		}
		for _, d := range batch.Decisions {
			if d.Subject == subject {
				out = append(out, d)
			}
		}
	}
	slices.SortStableFunc(out, func(x, y state.Decision) int { return x.At.Compare(y.At) })
	return out, nil
}
