package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

const (
	// sweepPerTick bounds the objects looked at in one tick.
	sweepPerTick = 64
	// sweepEvery is the least time between two ticks.
	sweepEvery = time.Second
	// sweepPause is between two objects: a host that starts looks back over an
	// hour of buckets, and its other calls must not wait for that.
	sweepPause = 200 * time.Millisecond
	// defaultSweepBack is how long before the retention limit a fresh host starts.
	// Buckets that no host was there to delete for longer than this stay.
	defaultSweepBack = time.Hour
	// maxRevisits bounds the buckets noted for another visit.
	maxRevisits = 1024
)

// sweeper deletes buckets past their retention. The host that writes a shard
// sweeps it; two that both believe so only cost each other a conflict.
type sweeper struct {
	mu sync.Mutex
	// revisits are buckets in which this host wrote although they may have been
	// deleted before.
	revisits map[string]int64
}

// revisit notes a bucket to delete, whether or not it was swept before.
func (w *sweeper) revisit(name string, bucket int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revisits == nil {
		w.revisits = map[string]int64{}
	}
	if len(w.revisits) < maxRevisits {
		w.revisits[name] = bucket
	}
}

func (c *Claimer) sweepBuckets(ctx context.Context) {
	cursors := make([]int64, c.o.Shards)
	for c.o.Clock.Sleep(ctx, c.jitter(2*max(c.o.BucketWidth, sweepEvery))) == nil {
		if c.layout.wait(ctx) != nil {
			continue
		}
		c.sweepRevisits(ctx)
		for shard := range cursors {
			if c.writerOf(shard) == c.o.Host {
				cursors[shard] = c.sweepShard(ctx, shard, cursors[shard])
			}
		}
	}
}

// sweepShard deletes the buckets from cursor to the retention limit, as many as
// a tick allows, and returns the next cursor.
func (c *Claimer) sweepShard(ctx context.Context, shard int, cursor int64) int64 {
	limit := c.now().Add(-c.retention())
	cursor = max(cursor, c.bucketOf(limit.Add(-c.sweepBack)))
	for n := range sweepPerTick {
		if !c.bucketEnd(cursor).Before(limit) {
			return cursor
		}
		if n > 0 && c.o.Clock.Sleep(ctx, sweepPause) != nil {
			return cursor
		}
		if c.deleteChain(ctx, objectName(shard, cursor)) != nil {
			return cursor
		}
		cursor++
	}
	return cursor
}

func (c *Claimer) retention() time.Duration {
	if c.skip.retention {
		return c.o.Window / 4
	}
	return c.o.Retention
}

func (c *Claimer) sweepRevisits(ctx context.Context) {
	limit := c.now().Add(-c.o.Retention)
	for name, bucket := range c.sweep.due(c, limit) {
		if c.deleteChain(ctx, name) != nil {
			c.sweep.revisit(name, bucket)
		}
	}
}

// due takes the noted buckets that are past their retention.
func (w *sweeper) due(c *Claimer, limit time.Time) map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int64{}
	for name, bucket := range w.revisits {
		if c.bucketEnd(bucket).Before(limit) {
			out[name] = bucket
			delete(w.revisits, name)
		}
	}
	return out
}

// deleteChain deletes the objects of one shard and bucket, the last first: a
// crash in between leaves a chain that the next sweep finds from its start.
func (c *Claimer) deleteChain(ctx context.Context, name string) error {
	var versions []uint64
	for position := range maxChain {
		got, err := c.o.Store.Get(ctx, store.KindClaim, chainName(name, position))
		if errors.Is(err, store.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
		versions = append(versions, got.Version)
	}
	for i := len(versions) - 1; i >= 0; i-- {
		err := c.o.Store.Delete(ctx, store.KindClaim, chainName(name, i), versions[i])
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
	}
	return nil
}
