// Package explain records the decisions of a host, so that an operator can look
// up why a request or a runner was treated as it was. Records stay in a ring
// buffer in memory and are written to the platform's store in compressed
// batches, where they outlive the host.
package explain

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
)

// Slots is the number of batch objects of each host name in the store. Each time
// window writes to the next slot, so that old batches are overwritten and none
// has to be found and deleted.
const Slots = 64

// Options configure a Recorder. All fields are required.
type Options struct {
	Store store.Store
	Clock state.Clock
	// Host is the name of the host; its batches are named after it.
	Host string
	// MaxRecords bounds the records that Find searches, and separately the
	// records that are pending for the next batch.
	MaxRecords int
	// FlushInterval is the length of the window that one batch covers.
	FlushInterval time.Duration
	// MaxBatchBytes bounds the size of a compressed batch. The oldest records
	// that don't fit are dropped and counted in Batch.Dropped. A single record
	// is written even if it is larger.
	MaxBatchBytes int
	Log           *slog.Logger
}

// Recorder holds the decision records of one host. Record and Find are safe for
// concurrent use; only one call of Flush or Run may be active at a time.
type Recorder struct {
	o       Options
	encoder *zstd.Encoder

	mu sync.Mutex
	// ring holds the latest records, at most MaxRecords; next is the index that
	// the next record is written to.
	ring []state.Decision
	next int
	// pending holds the records for the next batch, at most MaxRecords; dropped
	// counts those that exceeded this bound since the last batch.
	pending []state.Decision
	dropped int
	// versions holds the store version of each slot as last written by this
	// process, store.Absent if it hasn't written the slot.
	versions [Slots]uint64
}

// Batch is the content of one batch object.
type Batch struct {
	Host string `msgpack:"h"`
	// Window is the number of the time window in which the batch was written,
	// counted in flush intervals since the Unix epoch.
	Window    int64            `msgpack:"t"`
	Decisions []state.Decision `msgpack:"d"`
	// Dropped is the number of records that exceeded MaxRecords or
	// MaxBatchBytes and are missing from the batch.
	Dropped int `msgpack:"x"`
}

// New returns a Recorder, or an error that names the options to set.
func New(o Options) (*Recorder, error) {
	if o.Store == nil || o.Clock == nil || o.Log == nil || o.Host == "" {
		return nil, errors.New("explain: Store, Clock, Log and Host are required; set them")
	}
	if o.MaxRecords < 1 || o.FlushInterval <= 0 || o.MaxBatchBytes < 1 {
		return nil, errors.New("explain: MaxRecords, FlushInterval and MaxBatchBytes must be positive; set them")
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<17))
	if err != nil {
		return nil, fmt.Errorf("explain: compressor: %w", err)
	}
	return &Recorder{o: o, encoder: encoder, ring: make([]state.Decision, 0, o.MaxRecords)}, nil
}

// Record adds one decision. It never waits for the store.
func (r *Recorder) Record(d state.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < r.o.MaxRecords {
		r.ring = append(r.ring, d)
	} else {
		r.ring[r.next] = d
	}
	r.next = (r.next + 1) % r.o.MaxRecords
	if len(r.pending) < r.o.MaxRecords {
		r.pending = append(r.pending, d)
	} else {
		r.dropped++
	}
}

// Find returns the records of a subject in memory, oldest first.
func (r *Recorder) Find(subject string) []state.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []state.Decision
	for _, d := range r.ring {
		if d.Subject == subject {
			out = append(out, d)
		}
	}
	slices.SortStableFunc(out, func(x, y state.Decision) int { return x.At.Compare(y.At) })
	return out
}

// Run writes a batch per FlushInterval until ctx ends, and a last one then.
func (r *Recorder) Run(ctx context.Context) error {
	for r.o.Clock.Sleep(ctx, r.o.FlushInterval) == nil {
		r.flushAndLog(ctx)
	}
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), r.o.FlushInterval)
	defer stop()
	r.flushAndLog(last)
	return ctx.Err()
}

// flushAndLog flushes and logs an error, since the next flush tries again.
func (r *Recorder) flushAndLog(ctx context.Context) {
	if err := r.Flush(ctx); err != nil {
		r.o.Log.Warn("decision records not written; kept for the next flush", "error", err)
	}
}

// Flush writes the pending records as one batch. After an error they stay
// pending for the next flush.
func (r *Recorder) Flush(ctx context.Context) error {
	r.mu.Lock()
	pending, dropped := r.pending, r.dropped
	r.pending, r.dropped = nil, 0
	r.mu.Unlock()
	if len(pending) == 0 {
		return nil
	}
	if err := r.writeBatch(ctx, pending, dropped); err != nil {
		r.requeue(pending, dropped)
		return err
	}
	return nil
}

// requeue makes records pending again after a failed write. The oldest beyond
// MaxRecords are dropped and counted.
func (r *Recorder) requeue(pending []state.Decision, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(pending, r.pending...)
	r.dropped += dropped
	if extra := len(r.pending) - r.o.MaxRecords; extra > 0 {
		r.pending = r.pending[extra:]
		r.dropped += extra
	}
}

// writeBatch writes the records to the slot of the present window.
func (r *Recorder) writeBatch(ctx context.Context, decisions []state.Decision, dropped int) error {
	window := WindowOf(r.o.Clock.Now(), r.o.FlushInterval)
	value, err := r.encode(Batch{Host: r.o.Host, Window: window, Decisions: decisions, Dropped: dropped})
	if err != nil {
		return err
	}
	slot := int(window % Slots)
	name := SlotName(r.o.Host, slot)
	version, err := r.o.Store.Put(ctx, store.KindExplain, name, r.versions[slot], value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// An earlier process of this host, or a write whose reply was lost, left
		// another version. Only this host writes its slots, so it is overwritten.
		version, err = r.o.Store.Put(ctx, store.KindExplain, name, conflict.Actual, value)
	}
	if err != nil {
		return fmt.Errorf("explain: batch %s: %w", name, err)
	}
	r.versions[slot] = version
	return nil
}

// encode compresses the batch. While it exceeds MaxBatchBytes, encode drops the
// older half of its records and counts them as dropped.
func (r *Recorder) encode(batch Batch) ([]byte, error) {
	for {
		raw, err := msgpack.Marshal(batch)
		if err != nil {
			return nil, fmt.Errorf("explain: encode: %w", err)
		}
		value := r.encoder.EncodeAll(raw, nil)
		if len(value) <= r.o.MaxBatchBytes || len(batch.Decisions) < 2 {
			return value, nil
		}
		half := len(batch.Decisions) / 2
		batch.Decisions = batch.Decisions[half:]
		batch.Dropped += half
	}
}

// Decode decodes the value of a batch object. It fails if the value is damaged.
func Decode(value []byte) (Batch, error) {
	var batch Batch
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		return batch, fmt.Errorf("explain: decompressor: %w", err)
	}
	defer dec.Close()
	raw, err := dec.DecodeAll(value, nil)
	if err != nil {
		return batch, fmt.Errorf("explain: the batch is damaged (%w); read another one", err)
	}
	if err := packed.Decode(raw, &batch); err != nil {
		return batch, fmt.Errorf("explain: the batch is damaged (%w); read another one", err)
	}
	return batch, nil
}

// maxDecodedBytes bounds the memory that the decompression of one batch uses.
const maxDecodedBytes = 32 << 20

// WindowOf returns the number of the time window that contains t, counted in
// intervals since the Unix epoch.
func WindowOf(t time.Time, interval time.Duration) int64 { return t.UnixNano() / int64(interval) }

// SlotName returns the name of the batch object of a host's slot.
func SlotName(host string, slot int) string { return fmt.Sprintf("%s.%02d", host, slot) }
