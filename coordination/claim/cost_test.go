package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// One-way delays of the measured fleet.
const (
	platformDelay = 1500 * time.Microsecond
	peerDelay     = 1500 * time.Microsecond
	callTime      = 50 * time.Millisecond
	measuredHosts = 8
	answerBytes   = 200
)

// meter counts the platform calls that a fleet makes.
type meter struct {
	mu sync.Mutex
	counts
}

type counts struct {
	puts, conflicts, gets, sweeps int
	writtenBytes, readBytes       int
}

// reset forgets what the start of the hosts took.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts = counts{}
}

// metered is a host's platform with its delay.
type metered struct {
	*storetest.Client
	m *meter
}

func (s *metered) Get(ctx context.Context, kind, name string) (store.Object, error) {
	time.Sleep(platformDelay)
	o, err := s.Client.Get(ctx, kind, name)
	time.Sleep(platformDelay)
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if sweepOf(name) {
		s.m.sweeps++
		return o, err
	}
	s.m.gets++
	s.m.readBytes += len(o.Value)
	return o, err
}

// sweepOf tells the sweeper's reads by the age of the bucket.
func sweepOf(name string) bool {
	var shard, bucket int64
	if _, err := fmt.Sscanf(name, "%d-%d", &shard, &bucket); err != nil {
		return false
	}
	return time.Since(time.UnixMilli(bucket*DefaultBucketWidth.Milliseconds())) > DefaultWindow
}

func (s *metered) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	time.Sleep(platformDelay)
	v, err := s.Client.Put(ctx, kind, name, ifVersion, value)
	time.Sleep(platformDelay)
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.m.puts++
	s.m.writtenBytes += len(value)
	if store.IsConflict(err) {
		s.m.conflicts++
	}
	return v, err
}

// fleetPeers forwards between the hosts of a measured fleet.
type fleetPeers map[state.HostID]*Claimer

func (f fleetPeers) Forward(ctx context.Context, to state.HostID, entries []Entry) ([]Result, error) {
	time.Sleep(peerDelay)
	results, err := f[to].Commit(ctx, entries)
	time.Sleep(peerDelay)
	return results, err
}

// measure runs claims at a rate for a span of virtual time and returns a table row.
func measure(t *testing.T, grouped bool, rate int, span time.Duration) string {
	var row string
	synctest.Test(t, func(t *testing.T) {
		p := storetest.NewPlatform(time.Second)
		m := &meter{}
		var hosts []state.HostID
		for i := range measuredHosts {
			hosts = append(hosts, hostID(fmt.Sprint("h", i)))
		}
		peers := fleetPeers{}
		for i, h := range hosts {
			o := Options{Store: &metered{p.Client(h.Name), m}, Clock: skewedClock{}, Host: h, Seed: uint64(i), GroupWait: -1}
			if grouped {
				o.GroupWait, o.Forward, o.Hosts = 0, peers, func() []state.HostID { return hosts }
			}
			c, stop := start(t, o)
			defer stop()
			peers[h] = c
		}
		time.Sleep(time.Second)
		m.reset()
		waits := drive(t, peers, hosts, rate, span)
		n := float64(len(waits))
		seconds := span.Seconds()
		slices.Sort(waits)
		row = fmt.Sprintf("%-8v %5d %7d %10.2f %10.2f %9.2f %9.0f %9.0f %9.1f %9.2f %9.2f",
			grouped, rate, len(waits), float64(m.puts)/n, float64(m.conflicts)/n, float64(m.gets)/n,
			float64(m.writtenBytes)/n, float64(m.readBytes)/n, float64(m.puts)/seconds,
			waits[len(waits)/2].Seconds()*1e3, waits[len(waits)*99/100].Seconds()*1e3)
	})
	return row
}

// drive makes claims at random hosts, with exponential gaps, and returns how
// long each Begin took.
func drive(t *testing.T, fleet fleetPeers, hosts []state.HostID, rate int, span time.Duration) []time.Duration {
	r := rand.New(rand.NewPCG(1, uint64(rate)))
	var mu sync.Mutex
	var waits []time.Duration
	var wg sync.WaitGroup
	for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
		time.Sleep(time.Duration(r.ExpFloat64() / float64(rate) * float64(time.Second)))
		c := fleet[hosts[r.IntN(len(hosts))]]
		wg.Go(func() {
			from := time.Now()
			held, _, err := c.Begin(t.Context(), Call{Key: keyAt(from, i), Customer: "hall-nord"})
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			waits = append(waits, time.Since(from))
			mu.Unlock()
			time.Sleep(callTime)
			if err := held.Done(t.Context(), state.RecordedAnswer{Status: 200, Body: make([]byte, answerBytes)}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	return waits
}

// TestPlatformCostOfClaims prints what a claim with its outcome costs at the
// platform, in virtual time: 8 hosts, 3 ms for a call at the platform and for
// one between hosts, answers of 200 bytes. "Alone", every host writes for itself
// without waiting; grouped, with the defaults. Run it with
//
//	go test -run TestPlatformCostOfClaims -v ./coordination/claim
func TestPlatformCostOfClaims(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("it only prints figures; run it with -v")
	}
	var b strings.Builder
	b.WriteString("\ngrouped   rate  claims puts/claim conflicts   gets/cl.  B written    B read    puts/s    p50 ms    p99 ms\n")
	for _, grouped := range []bool{false, true} {
		for _, rate := range []int{1, 10, 150} {
			b.WriteString(measure(t, grouped, rate, 20*time.Second*time.Duration(1+10/rate)) + "\n")
		}
	}
	t.Log(b.String())
}
