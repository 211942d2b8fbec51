package claim

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	retryMin = 50 * time.Millisecond
	retryMax = 5 * time.Second
)

// retryOutcomes records outcomes that couldn't be recorded when they arose,
// until each is recorded or its bucket is past its retention.
func (c *Claimer) retryOutcomes(ctx context.Context) {
	pause := retryMin
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.open.wake:
		}
		for len(c.open.pending()) > 0 {
			if c.o.Clock.Sleep(ctx, c.jitter(pause)) != nil {
				return
			}
			pause = min(2*pause, retryMax)
			if c.retryAll(ctx) {
				pause = retryMin
			}
		}
	}
}

// retryAll tries each pending outcome once, in groups, and reports whether any
// was settled.
func (c *Claimer) retryAll(ctx context.Context) bool {
	entries := c.open.pending()
	results := make([]Result, len(entries))
	wg := conc.NewWaitGroup()
	for i, e := range entries {
		if c.now().Sub(keyTime(e.Key)) > c.o.Retention {
			results[i] = Result{Code: CodeAbsent}
			continue
		}
		wg.Go(func() { results[i] = c.commitOne(ctx, c.stillTrue(e)) })
	}
	wg.Wait()
	settled := false
	for i, r := range results {
		if r.Code == CodeRecord || r.Code == CodeAbsent {
			c.open.remove(entries[i].Seq)
			c.noteLateWrite(entries[i])
			settled = true
		}
	}
	return settled
}

// stillTrue keeps a withdrawal from writing not_run for a key that is expired:
// its bucket may have been deleted, and with it the record of another host that
// ran the call.
func (c *Claimer) stillTrue(e Entry) Entry {
	if e.Op == OpVoid && c.checkAge(e.Key) != nil {
		e.Op = OpUnknown
	}
	return e
}

// noteLateWrite makes the sweeper look again at the bucket of an expired key:
// the write may have created it anew after its deletion.
func (c *Claimer) noteLateWrite(e Entry) {
	if c.checkAge(e.Key) != nil {
		c.sweep.revisit(c.nameOf(e.Key), c.bucketOf(keyTime(e.Key)))
	}
}
