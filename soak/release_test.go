package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/origin"
	"github.com/thymerack/thymerack/platform/platformtest"
)

const (
	// releaseCallers are more than the engines of one version have slots, so that some streams wait while another version comes.
	releaseCallers = 100
	// noteWritten is the time in which hosts that have started together note the version that serves.
	noteWritten = 3 * time.Second
	// releaseJudged is how long callers go on after all hosts were killed.
	releaseJudged = 6 * time.Second
	// leastTakenUpAll and leastTakenUpOne are how many streams must break and be taken up for a play to show anything, if all hosts
	// or one of three are killed.
	leastTakenUpAll = releaseCallers / 4
	leastTakenUpOne = leastTakenUpAll / 3
	// outOfStepTime is how long a host is out of step while runners of a version come.
	outOfStepTime = 3 * time.Second
)

// Guards against streams that are joined from two versions of the runners' software: a version serves before the store has noted it,
// and is gone when all hosts are back from a loss of their memory.
func TestStreamsAreNotJoinedAfterAllHostsWereKilled(t *testing.T) {
	bin := build(t)
	for _, seed := range []uint64{731, 732} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRelease(t, bin, seed, leastTakenUpAll, func(f *fleet) error { return f.killAmidRelease(f.rng) })
		})
	}
}

// Guards against streams that are joined at a host that is out of step while a version comes: it stands still, or is cut off from the
// store. The streams began at other hosts, one of which is killed as the host is back.
func TestStreamsAreNotJoinedAtAHostOutOfStep(t *testing.T) {
	bin := build(t)
	for seed, disturb := range map[uint64]func(h *host) (end func()){
		741: func(h *host) func() {
			h.signal(syscall.SIGSTOP)
			return func() { h.signal(syscall.SIGCONT) }
		},
		742: func(h *host) func() {
			h.store.set(linkSilent)
			return func() { h.store.set(linkSound) }
		},
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRelease(t, bin, seed, leastTakenUpOne, func(f *fleet) error {
				outOfStep, killed := f.hosts[0], f.hosts[1]
				defer f.disturbHost(outOfStep)()
				end := disturb(outOfStep)
				defer end()
				for range furtherRunners {
					r, err := f.newRunner(platformtest.ServiceEngines, "decode", "v2")
					if err != nil {
						return err
					}
					r.SetPace(furtherPace)
				}
				time.Sleep(outOfStepTime)
				return killed.kill(0)
			})
		})
	}
}

// playRelease has callers ask for streams, and take up those that break, around a disturbance, and judges what they got.
// At least leastTakenUp streams must have been taken up.
func playRelease(t *testing.T, bin string, seed uint64, leastTakenUp int, disturb func(f *fleet) error) {
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
	t.Logf("noted before the disturbance: %s", f.store.Spec(origin.Kind, platformtest.ServiceEngines))
	if err := disturb(f); err != nil {
		t.Error(err)
	}
	time.Sleep(releaseJudged)
	close(stop)
	callers.Wait()
	f.judgeRuns()
	t.Logf("%d broken streams were taken up, %d of them refused", f.takenUp, f.notTakenUp)
	if f.takenUp < leastTakenUp {
		t.Errorf("only %d broken streams were taken up", f.takenUp)
	}
	for _, p := range f.problems {
		t.Error(p)
	}
	keepLogs(t, dir)
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
