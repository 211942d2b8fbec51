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
	// releaseCallers are more than the engines of one version have slots, so that some streams wait while another version comes.
	releaseCallers = 100
	// noteWritten is the time in which hosts that have started together note the version that serves.
	noteWritten = 3 * time.Second
	// releaseJudged is how long callers go on after all hosts were killed.
	releaseJudged = 6 * time.Second
)

// Guards against streams that are joined from two versions of the runners' software: a version serves before the store has noted it,
// and is gone when all hosts are back from a loss of their memory.
func TestStreamsAreNotJoinedAfterAllHostsWereKilled(t *testing.T) {
	bin := build(t)
	for _, seed := range []uint64{731, 732} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			f := newFleet(options{seed: seed, hosts: 3, callers: releaseCallers, bin: bin, dir: dir, versions: true})
			if err := f.build(); err != nil {
				t.Fatal(err)
			}
			defer f.stop()
			f.settle()
			for _, r := range f.runners {
				r.SetPace(furtherPace)
			}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for n := range releaseCallers {
				c := &caller{f: f, n: n, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
				callers.Go(func() { c.runStreams(stop) })
			}
			time.Sleep(noteWritten)
			if err := f.killAmidRelease(f.rng); err != nil {
				t.Error(err)
			}
			time.Sleep(releaseJudged)
			close(stop)
			callers.Wait()
			f.judgeRuns()
			t.Logf("%d broken streams were taken up, %d of them refused", f.takenUp, f.notTakenUp)
			if f.takenUp < releaseCallers/4 {
				t.Errorf("only %d broken streams were taken up", f.takenUp)
			}
			for _, p := range f.problems {
				t.Error(p)
			}
			keepLogs(t, dir)
		})
	}
}

// runStreams asks for streams until stop is closed, and takes up those that break.
func (c *caller) runStreams(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			c.drop()
			return
		case <-time.After(time.Duration(5+c.rng.IntN(20)) * time.Millisecond):
		}
		c.takeUp(c.ask(platformtest.KindResume, fmt.Sprintf("c%d-%d", c.n, i), nil))
	}
}
