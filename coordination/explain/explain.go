// Package explain keeps the records of a host's decisions, so that an operator
// can ask why. Records stay in a ring in memory and go to the platform in
// compressed batches, where they outlive the host.
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

// Slots is how many batch objects a host name has at the platform. They are
// used in turn, by time, so that old ones are overwritten and none must be
// found and deleted.
const Slots = 64

// Options configures a Book.
type Options struct {
	Store store.Store
	Clock state.Clock
	// Host is the host's name; its batches are named after it.
	Host string
	// MaxRecords is how many records stay in memory.
	MaxRecords int
	// FlushInterval is the time that one batch covers.
	FlushInterval time.Duration
	// MaxBatchBytes bounds a compressed batch; older records beyond are dropped
	// and their number is kept in the batch.
	MaxBatchBytes int
	Log           *slog.Logger
}

// Recorder is one host's record of its decisions. It is safe for concurrent use.
type Recorder struct {
	o       Options
	encoder *zstd.Encoder

	mu      sync.Mutex
	ring    []state.Decision
	next    int
	pending []state.Decision
	dropped int
	// versions of the slots as last written by this process.
	versions [Slots]uint64
}

// Batch is the content of one batch object.
type Batch struct {
	Host string `msgpack:"h"`
	// Slot time, in units of the flush interval since the epoch.
	Window    int64            `msgpack:"t"`
	Decisions []state.Decision `msgpack:"d"`
	// Dropped counts records that found no room.
	Dropped int `msgpack:"x"`
}

// New validates the options.
func New(o Options) (*Recorder, error) {
	if o.Store == nil || o.Clock == nil || o.Log == nil || o.Host == "" {
		return nil, errors.New("explain: Store, Clock, Log and Host are required; set them")
	}
	if o.MaxRecords < 1 || o.FlushInterval <= 0 || o.MaxBatchBytes < 1 {
		return nil, errors.New("explain: Keep, FlushInterval and MaxBatchBytes must be positive")
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<17))
	if err != nil {
		return nil, fmt.Errorf("explain: compressor: %w", err)
	}
	return &Recorder{o: o, encoder: encoder, ring: make([]state.Decision, 0, o.MaxRecords)}, nil
}

// Record keeps one decision. It never blocks on the platform.
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

// Find returns the records in memory about a subject, oldest first.
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

// Run writes batches until ctx ends, and a last one then.
func (r *Recorder) Run(ctx context.Context) error {
	for r.o.Clock.Sleep(ctx, r.o.FlushInterval) == nil {
		r.flushAndLog(ctx)
	}
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), r.o.FlushInterval)
	defer stop()
	r.flushAndLog(last)
	return ctx.Err()
}

func (r *Recorder) flushAndLog(ctx context.Context) {
	if err := r.Flush(ctx); err != nil {
		r.o.Log.Warn("explanations not written; they stay in memory", "error", err)
	}
}

// Flush writes what is pending as one batch. On failure the records stay
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
		// An earlier run of this host, or a write whose answer was lost, left
		// another version. Only this host writes here, so it is overwritten.
		version, err = r.o.Store.Put(ctx, store.KindExplain, name, conflict.Actual, value)
	}
	if err != nil {
		return fmt.Errorf("explain: batch %s: %w", name, err)
	}
	r.versions[slot] = version
	return nil
}

// encode compresses the batch and halves it until it fits.
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

// Decode reads a batch object's value.
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

// maxDecodedBytes bounds the memory that one batch may take.
const maxDecodedBytes = 32 << 20

// WindowOf returns the turn that a time falls into.
func WindowOf(t time.Time, interval time.Duration) int64 { return t.UnixNano() / int64(interval) }

// SlotName names a batch object.
func SlotName(host string, slot int) string { return fmt.Sprintf("%s.%02d", host, slot) }
