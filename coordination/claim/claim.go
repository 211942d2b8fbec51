// Package claim lets a call that may not be repeated run at most once.
//
// A host claims the call's key by a conditional write (CAS) at the platform
// before it dispatches the call. The key is a UUIDv7 from the caller: its time
// gives the bucket, its hash the shard, and all claims of one shard and bucket
// live in one object, so uniqueness needs that object only. There is no lease,
// no replica and nothing to load on take-over.
//
// The steps of a call and what a crash of its host leaves after each:
//
//  1. the key's age is checked: nothing is left;
//  2. the claim is written by CAS: the record stays claimed until the host is
//     certain to be gone, then the first reader moves it to unknown;
//  3. the age is checked again, because a host that slept between 1 and 2 may
//     have written into a bucket that was deleted meanwhile: as after 2;
//  4. the caller of Begin dispatches: as after 2, and the call may have run;
//  5. Held.Done, Held.NotRun or Held.Unknown writes the outcome by CAS: before
//     the write as after 4, afterwards the outcome stays.
//
// A record moves from claimed to exactly one other state. In particular a
// holder whose record became unknown can't make it done any more: a caller may
// have been told unknown, and two answers for one key must not contradict each
// other. The holder still gives its own caller the answer.
package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// Defaults of Options.
const (
	DefaultShards         = 2
	DefaultBucketWidth    = 2 * time.Second
	DefaultWindow         = time.Hour
	DefaultFutureSkew     = 30 * time.Second
	DefaultRetention      = 3 * time.Hour
	DefaultGroupWait      = 20 * time.Millisecond
	DefaultForwardWait    = 250 * time.Millisecond
	DefaultMaxAnswerBytes = 4 << 10
	DefaultMaxOpen        = 4096
)

// Options configure a Claimer. Zero durations and sizes take the defaults.
// Shards, BucketWidth, Window, FutureSkew, Retention and MaxAnswerBytes must be
// the same on every host: the first host records them at the platform and a host
// whose settings differ makes no claims.
type Options struct {
	// Store is the platform.
	Store store.Store
	// Clock is this host's clock. The clocks of two hosts must not differ by
	// more than FutureSkew.
	Clock state.Clock
	// Host is this run of the daemon. Its incarnation must be unique: it marks
	// this host's writes.
	Host state.HostID
	// Shards is the number of objects that claims of one moment spread over.
	Shards int
	// BucketWidth is the span of key times that share an object.
	BucketWidth time.Duration
	// Window is the age up to which a key is accepted.
	Window time.Duration
	// FutureSkew is how far a key's time may lie in the future.
	FutureSkew time.Duration
	// Retention is the age at which a bucket is deleted, at least Window plus
	// twice FutureSkew.
	Retention time.Duration
	// GroupWait is the least time between two group commits of one shard. A
	// claim that finds its shard idle isn't delayed. Negative means none.
	GroupWait time.Duration
	// ForwardWait bounds the wait for the host that writes a shard before this
	// host writes itself.
	ForwardWait time.Duration
	// MaxAnswerBytes is the largest answer kept for repeated keys.
	MaxAnswerBytes int
	// MaxOpen bounds the claims of this host whose outcome isn't recorded yet,
	// and with them the memory that an outage of the platform can take.
	MaxOpen int
	// Hosts returns the live hosts, this one included; nil: this host alone.
	// It only chooses who should write a shard.
	Hosts func() []state.HostID
	// Gone reports whether a host is certain to be gone: the platform's list
	// has dropped its incarnation. Nil: never.
	Gone func(state.HostID) bool
	// Forward carries entries to the host that writes their shard; nil: this
	// host always writes itself.
	Forward Forwarder
	// Seed seeds the jitter of retries.
	Seed uint64
}

// Claimer makes and shows claims. Its methods may be called from any goroutine.
type Claimer struct {
	o      Options
	shards []*shard
	open   *openClaims
	layout *layoutCheck
	outage outage
	writer writerChoice
	sweep  sweeper
	seq    atomic.Uint64

	randMu sync.Mutex
	rand   *rand.Rand

	// objectBytes is maxObjectBytes; tests lower it to see chains.
	objectBytes int
	// sweepBack is defaultSweepBack; tests shorten it.
	sweepBack time.Duration
	// skip takes single safety steps away; only this package's tests set it, to
	// show that the tests notice.
	skip skip
}

// skip names the safety steps that tests can take away.
type skip struct {
	cas       bool // dispatch without the claim's CAS
	ageAfter  bool // no age check after the claim's CAS
	readBack  bool // take a write whose answer was lost as done
	nonce     bool // take any claimed record of this host as one's own
	record    bool // say not run without having recorded it
	seal      bool // go on to the next object of a chain without sealing
	retention bool // delete buckets long before keys expire
	first     bool // say not run of any key that can't be claimed
	exposed   bool // take a write whose answer was lost as not done
}

// New validates the options.
func New(o Options) (*Claimer, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	c := &Claimer{
		o:           o,
		open:        newOpenClaims(o.MaxOpen),
		layout:      newLayoutCheck(),
		rand:        rand.New(rand.NewPCG(o.Seed, 0)),
		objectBytes: maxObjectBytes,
		sweepBack:   defaultSweepBack,
	}
	for i := range o.Shards {
		c.shards = append(c.shards, newShard(c, i))
	}
	return c, nil
}

// Run owns the goroutines that commit groups, retry outcomes that couldn't be
// recorded, and delete old buckets. It returns ctx's error when ctx ends;
// outcomes not recorded by then are lost and their claims become unknown once
// this host is gone, so call Drain first.
func (c *Claimer) Run(ctx context.Context) error {
	wg := conc.NewWaitGroup()
	wg.Go(func() { c.checkLayout(ctx) })
	wg.Go(func() { c.retryOutcomes(ctx) })
	wg.Go(func() { c.sweepBuckets(ctx) })
	for _, s := range c.shards {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// jitter returns a random duration between d/2 and d.
func (c *Claimer) jitter(d time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	return d/2 + time.Duration(c.rand.Int64N(int64(d/2)+1))
}

func (c *Claimer) now() time.Time { return c.o.Clock.Now() }

func (o Options) withDefaults() Options {
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.BucketWidth, DefaultBucketWidth)
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.FutureSkew, DefaultFutureSkew)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.GroupWait, DefaultGroupWait)
	setDefault(&o.ForwardWait, DefaultForwardWait)
	setDefault(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&o.MaxOpen, DefaultMaxOpen)
	if o.Hosts == nil {
		self := []state.HostID{o.Host}
		o.Hosts = func() []state.HostID { return self }
	}
	if o.Gone == nil {
		o.Gone = func(state.HostID) bool { return false }
	}
	return o
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (o Options) validate() error {
	switch {
	case o.Store == nil || o.Clock == nil:
		return &OptionsError{"Store and Clock", "are needed", "pass both"}
	case o.Host.Incarnation == "":
		return &OptionsError{"Host.Incarnation", "is empty", "pass a UUIDv7 made when the process starts"}
	case o.Shards < 1:
		return &OptionsError{"Shards", "is below 1", "use 2 unless measurements ask for more"}
	case o.BucketWidth < time.Millisecond || o.Window < 0 || o.FutureSkew < 0:
		return &OptionsError{"BucketWidth, Window or FutureSkew", "is too small", "use the defaults"}
	case o.Retention < o.Window+2*o.FutureSkew:
		return &OptionsError{"Retention", fmt.Sprintf("%v is below Window plus twice FutureSkew", o.Retention), "raise Retention or shorten Window"}
	case o.MaxAnswerBytes < 0 || o.MaxAnswerBytes > maxObjectBytes/8:
		return &OptionsError{"MaxAnswerBytes", "is outside 0 to 112 KiB", "keep answers small; they share an object of one megabyte"}
	case o.MaxOpen < 1:
		return &OptionsError{"MaxOpen", "is below 1", "allow as many as the host's calls in flight"}
	}
	return nil
}

// Drain waits until every outcome of this host's claims is recorded.
func (c *Claimer) Drain(ctx context.Context) error {
	for c.open.len() > 0 {
		if err := c.o.Clock.Sleep(ctx, drainPoll); err != nil {
			return fmt.Errorf("%d claims have no recorded outcome yet and become unknown if the host stops now: %w", c.open.len(), err)
		}
	}
	return nil
}

const drainPoll = 20 * time.Millisecond

// nextSeq numbers the Begins of this host; with the host's incarnation the
// number is the nonce by which a write is recognised.
func (c *Claimer) nextSeq() uint64 { return c.seq.Add(1) }

func (c *Claimer) newEntry(op Op, k uuid.UUID, call Call, seq uint64) Entry {
	return Entry{
		Op: op, Key: k, Customer: call.Customer, Fingerprint: call.Fingerprint,
		Holder: c.o.Host, Seq: seq, ClaimedAt: c.now(),
	}
}
