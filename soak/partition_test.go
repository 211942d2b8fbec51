package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

const (
	// contact is how long after a partition began a host must serve its callers again.
	contact = 3 * time.Second
	// judged is the time after that in which requests are counted.
	judged = 3 * time.Second
	// leastServed is how often callers of a partitioned host are served at their first attempt at
	// least, as a share of the callers of other hosts.
	leastServed = 2.0 / 3
	// leastOfOthers is how often callers of the other hosts are served at least.
	leastOfOthers = 0.9
	// callersOfPartitioned is so many that their failures exceed the free ones even if each attempt takes
	// its whole deadline.
	callersOfPartitioned = 16
	callersOfOthers      = 2
	// freeFailures and freeShare are the first attempts that may fail however the others do.
	freeFailures = 10
	freeShare    = 1.0 / 50
)

// tries counts first attempts.
type tries struct{ served, all int }

func (t tries) share() float64 { return float64(t.served) / float64(max(1, t.all)) }

// Guards against hosts that refuse what other hosts could serve: two of four hosts lose their links to all
// runners, or to those of one service, while callers, the store and the other hosts reach them.
func TestHostsPartitionedFromRunnersServeTheirCallers(t *testing.T) {
	bin := build(t)
	for n, c := range []struct {
		name    string
		fault   linkFault
		service string
	}{
		{"silent", linkSilent, ""},
		{"reset", linkReset, ""},
		{"new connections refused", linkRefuse, ""},
		{"silent, one service", linkSilent, platformtest.ServicePlain},
		{"reset, one service", linkReset, platformtest.ServicePlain},
		{"new connections refused, one service", linkRefuse, platformtest.ServicePlain},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			playPartition(t, options{seed: uint64(701 + n), hosts: 4, callers: 2 * (callersOfPartitioned + callersOfOthers), bin: bin, dir: dir}, c.fault, c.service)
			keepLogs(t, dir)
		})
	}
}

// playPartition partitions two hosts from the runners of a service, or from all if it is "", and judges
// what callers of both kinds of hosts saw.
func playPartition(t *testing.T, o options, fault linkFault, service string) {
	f := newFleet(o)
	if err := f.build(); err != nil {
		t.Fatal(err)
	}
	defer f.stop()
	f.settle()
	partitioned := f.hosts[:2]
	var mu sync.Mutex
	var counted time.Time // the time from which on attempts count; zero before
	cut, others := tries{}, tries{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	n := 0
	for i, h := range f.hosts {
		hostCallers := callersOfOthers
		if i < len(partitioned) {
			hostCallers = callersOfPartitioned
		}
		for range hostCallers {
			c := &caller{f: f, n: n, rng: rand.New(rand.NewPCG(o.seed, uint64(n))), only: h}
			n++
			callers.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-stop:
						c.drop()
						return
					case <-time.After(time.Duration(5+c.rng.IntN(20)) * time.Millisecond):
					}
					kind := []platformtest.Kind{platformtest.KindSafe, platformtest.KindUnsafe, platformtest.KindOnce, platformtest.KindResume}[c.rng.IntN(4)]
					r := c.ask(kind, fmt.Sprintf("p%d-%d", c.n, k), nil)
					f.judge(r)
					mu.Lock()
					if !counted.IsZero() && r.began.After(counted) {
						count := &others
						if i < len(partitioned) {
							count = &cut
						}
						count.all++
						if r.status == 200 && r.whole {
							count.served++
						}
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Second)
	for _, h := range partitioned {
		defer f.disturbHost(h)()
		f.partition(h, service, fault)
	}
	time.Sleep(contact)
	mu.Lock()
	counted = time.Now()
	mu.Unlock()
	time.Sleep(judged)
	close(stop)
	callers.Wait()
	f.judgeRuns()
	t.Logf("%s: partitioned hosts served %d of %d first attempts, the others %d of %d", t.Name(), cut.served, cut.all, others.served, others.all)
	if cut.all == 0 || others.all == 0 {
		t.Fatal("no attempts were counted")
	}
	if others.share() < leastOfOthers {
		t.Errorf("hosts that aren't partitioned served %d of %d first attempts", others.served, others.all)
	}
	if cut.share() < leastServed*others.share() && float64(cut.all-cut.served) > freeFailures+freeShare*float64(cut.all+others.all) {
		t.Errorf("partitioned hosts served %d of %d first attempts, the others %d of %d", cut.served, cut.all, others.served, others.all)
	}
	for _, p := range f.problems {
		t.Error(p)
	}
}
