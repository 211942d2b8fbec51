package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

// servesAfter is how long after the store answers again a host must serve its callers.
const servesAfter = time.Second

// Guards against hosts that start while the store is silent and serve nobody long after it is back, since they wait for
// answers to calls that the silence has swallowed.
func TestHostsServeSoonAfterTheStoreIsBack(t *testing.T) {
	bin := build(t)
	for n, silences := range [][]time.Duration{{8 * time.Second}, {9 * time.Second}, {4500 * time.Millisecond, 4500 * time.Millisecond}} {
		t.Run(fmt.Sprint(silences), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			f := newFleet(options{seed: uint64(721 + n), hosts: 3, callers: 3, bin: bin, dir: dir})
			if err := f.build(); err != nil {
				t.Fatal(err)
			}
			defer f.stop()
			f.settle()
			f.setStoreLinks(linkLost)
			var restarted sync.WaitGroup
			for _, h := range f.hosts {
				restarted.Go(func() {
					if err := h.kill(500 * time.Millisecond); err != nil {
						t.Error(err)
					}
				})
			}
			for i, d := range silences {
				f.setStoreLinks(linkLost)
				time.Sleep(d)
				f.setStoreLinks(linkSound)
				if i < len(silences)-1 {
					time.Sleep(500 * time.Millisecond)
				}
			}
			back := time.Now()
			restarted.Wait()
			for i, h := range f.hosts {
				c := &caller{f: f, n: i, rng: rand.New(rand.NewPCG(1, uint64(i))), only: h}
				if took := c.untilServed(back); took > servesAfter {
					t.Errorf("host %s serves %s after the store is back", h.addrs.Name, took)
				}
				c.drop()
			}
			keepLogs(t, dir)
		})
	}
}

// setStoreLinks sets the links of all hosts to the store.
func (f *fleet) setStoreLinks(l linkFault) {
	for _, h := range f.hosts {
		h.store.set(l)
	}
}

// untilServed asks the caller's host until it serves a request, and returns how long that is after a time.
func (c *caller) untilServed(since time.Time) time.Duration {
	for n := 0; time.Since(since) < recovery; n++ {
		r := c.ask(platformtest.KindUnsafe, fmt.Sprintf("b%d-%d", c.n, n), nil)
		if r.status == 200 && r.whole {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(since)
}
