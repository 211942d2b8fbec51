package explain

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// Search reads a host's batches at the platform for records about a subject,
// oldest first. It makes one call a slot. From limits it to batches written at
// or after that time; zero means all.
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
