package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

// options are one run's size.
type options struct {
	seed    uint64
	hosts   int
	callers int
	// length is how long disturbances go on.
	length time.Duration
	bin    string
	dir    string
	// fatal lets a request come that ends whatever runs it, and asking has runners ask
	// something of the hosts in their answers.
	fatal, asking bool
	// parts lets requests come that end whatever runs them because of one part of their prompts.
	parts bool
	// restored has the store come back from older copies more often.
	restored bool
	// leaving has runners leave in quick series while single hosts lose the store for a moment.
	leaving bool
	// partitioned has single hosts lose their links to runners in series.
	partitioned bool
	// unframed has runners end answers with their connections, and crash with an orderly close.
	unframed bool
	// versions has runners of several versions replace each other, and callers take broken streams up at any host.
	versions bool
	// silent has runners fall silent for a second in series and go on, beside configurations that change time-outs
	// and limits, and callers keep their connections.
	silent bool
	// endless has runners send answers without end, and links to the store lose what is sent.
	endless bool
	// malformed has runners send bytes that are no answers.
	malformed bool
	// large adds callers that send bodies at the limit over kept connections, and kills hosts one at a time more often.
	large bool
}

// largeCallers are the callers for each host that send large bodies.
const largeCallers = 48

// allCallers counts the callers, those that send large bodies included.
func (o options) allCallers() int {
	if o.large {
		return o.callers + largeCallers*o.hosts
	}
	return o.callers
}

// fleet is one deployment with its callers.
type fleet struct {
	o       options
	rng     *rand.Rand
	store   *platformtest.Store
	ledger  *platformtest.Ledger
	duties  *platformtest.Duties
	keys    *keyring
	hosts   []*host
	version atomic.Uint64
	began   time.Time
	// writing is held while the operator writes.
	writing sync.Mutex

	runnersMu sync.Mutex
	runners   []*runner
	nextID    int
	// software is the version of runners that replace leaving ones.
	software string

	mu       sync.Mutex
	spans    []*span
	results  []result
	problems []string
	// takenUp counts the broken streams that callers took up, and notTakenUp those that were refused.
	takenUp, notTakenUp int
	// mostResident is the most memory that a host took, in bytes; only watchMemory uses it until the end.
	mostResident int64
	// silentUntil is when runners have ceased to fall silent.
	silentUntil time.Time
	inForce     map[string]uint64
	written     map[uint64]time.Time
	log         []string
}

// runner is one instance behind its own link.
type runner struct {
	*platformtest.Runner
	link   *proxy
	domain string
	gone   bool
	// endsInOrder is set if the runner closes its connections in order when it crashes.
	endsInOrder bool
	// removed is set once its entry is removed.
	removed bool
	// listedStage is the role that the list tells.
	listedStage string
}

// ip is a loopback address of the run's own, so that runs side by side don't meet.
func (f *fleet) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+f.o.seed%200, 1+f.o.seed/200%200, n)
}

// orderlyEnd is the time in which the ends of a crashed runner's connections reach the hosts.
const orderlyEnd = 50 * time.Millisecond

const (
	// recovery is how long after the last disturbance requests may still fail.
	recovery = 8 * time.Second
	// proof is how long requests are counted after that.
	proof = 2 * time.Second
)

// newFleet returns a fleet that isn't built.
func newFleet(o options) *fleet {
	return &fleet{
		o: o, rng: rand.New(rand.NewPCG(o.seed, 1)), ledger: platformtest.NewLedger(), keys: newKeyring(o.allCallers()),
		inForce: map[string]uint64{}, written: map[uint64]time.Time{}, began: time.Now(), software: "v1",
	}
}

// play runs one seed and returns what broke.
func play(o options) ([]string, []string, error) {
	f := newFleet(o)
	if err := f.build(); err != nil {
		return nil, nil, err
	}
	stopped := false
	defer func() {
		if !stopped {
			f.stop()
		}
	}()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range o.allCallers() {
		c := &caller{f: f, n: n, rng: rand.New(rand.NewPCG(o.seed, uint64(n)+100)), large: n >= o.callers}
		callers.Go(func() { c.run(stop) })
	}
	if o.fatal || o.parts {
		callers.Go(f.fatalRequest)
	}
	callers.Go(func() { f.watchMemory(stop) })
	f.settle()
	f.trouble()
	f.settle()
	time.Sleep(recovery)
	proven := time.Now()
	time.Sleep(proof)
	close(stop)
	callers.Wait()
	f.judgeRuns()
	f.judgeFatal()
	f.judgeAsking()
	f.judgeDuties()
	f.judgeSilent()
	f.recovered(proven)
	f.stop()
	stopped = true
	f.note("a host took %d MB of memory at most", f.mostResident>>20)
	f.note("%d streams went on at a runner; callers took %d up again and %d were refused", f.ledger.Resumed(), f.takenUp, f.notTakenUp)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.problems, f.log, nil
}

func (f *fleet) build() error {
	var err error
	if f.store, err = platformtest.NewStore(net.JoinHostPort(f.ip(1), "0")); err != nil {
		return err
	}
	if f.duties, err = platformtest.NewDuties(net.JoinHostPort(f.ip(1), "0"), f.heldBack); err != nil {
		return err
	}
	f.putConfig()
	for range 3 {
		if err := f.addRunner(platformtest.ServicePlain, "", f.software); err != nil {
			return err
		}
	}
	for i := range 6 {
		stage := "decode"
		if i < 2 {
			stage = "prefill"
		}
		if err := f.addRunner(platformtest.ServiceEngines, stage, f.software); err != nil {
			return err
		}
	}
	for i := range f.o.hosts {
		if err := f.addHost(i); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) addHost(i int) error {
	link, err := newProxy(net.JoinHostPort(f.ip(1), "0"), f.store.Addr())
	if err != nil {
		return err
	}
	a := platformtest.HostAddrs{
		Name: fmt.Sprint("host-", i), IP: f.ip(10 + i), Domain: fmt.Sprint("domain-", i%3), Store: link.addr(), Duties: f.duties.Addr(),
		Seeds: []string{net.JoinHostPort(f.ip(10), "1"), net.JoinHostPort(f.ip(11), "1")},
	}
	h := &host{addrs: a, bin: f.o.bin, dir: f.o.dir, store: link, problem: f.problem}
	f.hosts = append(f.hosts, h)
	return h.start()
}

// awaitReady waits until every host answers callers.
func (f *fleet) awaitReady() error {
	for _, h := range f.hosts {
		limit := time.Now().Add(10 * time.Second)
		for {
			c, err := net.DialTimeout("tcp4", h.addrs.Caller(), time.Second)
			if err == nil {
				_ = c.Close()
				break
			}
			if time.Now().After(limit) {
				return fmt.Errorf("host %s does not listen: %w; read %s", h.addrs.Name, err, filepath.Join(f.o.dir, h.addrs.Name+".log"))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(300 * time.Millisecond)
	return nil
}

func (f *fleet) putConfig() {
	f.writing.Lock()
	defer f.writing.Unlock()
	v := f.version.Load() + 1
	f.mu.Lock()
	f.written[v] = time.Now()
	f.mu.Unlock()
	f.storeConfig(v)
	f.version.Store(v)
}

func (f *fleet) storeConfig(version uint64) {
	c := platformtest.KeyedConfig(version, f.keys.present(), []string{"domain-0", "domain-1", "domain-2"})
	if f.o.silent {
		f.variant(version).Apply(c)
	}
	f.store.Put(platformtest.KindConfig, platformtest.ConfigName, c)
}

// unlist removes a runner's entry.
func (f *fleet) unlist(r *runner) {
	f.runnersMu.Lock()
	defer f.runnersMu.Unlock()
	r.removed = true
	f.store.Remove(platformtest.KindInstances, r.ID)
}

func (f *fleet) addRunner(service, stage, version string) error {
	_, err := f.newRunner(service, stage, version)
	return err
}

// newRunner starts and lists a runner.
func (f *fleet) newRunner(service, stage, version string) (*runner, error) {
	f.runnersMu.Lock()
	defer f.runnersMu.Unlock()
	f.nextID++
	r, err := platformtest.NewRunner(fmt.Sprintf("i-%d", f.nextID), service, stage, net.JoinHostPort(f.ip(2), "0"), f.ledger)
	if err != nil {
		return nil, err
	}
	link, err := newProxy(net.JoinHostPort(f.ip(2), "0"), r.Addr())
	if err != nil {
		return nil, err
	}
	r.SetVersion(version)
	if f.o.silent {
		r.SetPace(longPace)
	}
	out := &runner{Runner: r, link: link, domain: fmt.Sprint("domain-", f.nextID%3), endsInOrder: f.o.unframed && f.nextID%2 == 0}
	r.OnFatal(func() {
		if err := f.crash(out); err != nil {
			f.problem("a runner that a request ended is not replaced: %v", err)
		}
	})
	f.runners = append(f.runners, out)
	f.list(out)
	return out, nil
}

func (f *fleet) list(r *runner) {
	r.listedStage, _ = r.Entry("", "")["stage"].(string)
	f.store.Put(platformtest.KindInstances, r.ID, r.Entry(r.link.addr(), r.domain))
}

// relist keeps the engines' roles in the list up to date, as their heartbeats do.
func (f *fleet) relist(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		f.runnersMu.Lock()
		for _, r := range f.runners {
			stage, _ := r.Entry("", "")["stage"].(string)
			if !r.gone && !r.Silent() && r.listedStage != stage {
				f.list(r)
			}
		}
		f.runnersMu.Unlock()
	}
}

// present returns a living runner.
func (f *fleet) present(rng *rand.Rand) *runner {
	f.runnersMu.Lock()
	defer f.runnersMu.Unlock()
	var living []*runner
	for _, r := range f.runners {
		if !r.gone {
			living = append(living, r)
		}
	}
	return living[rng.IntN(len(living))]
}

// retire marks a runner as gone; it is false if it was so before.
func (f *fleet) retire(r *runner) bool {
	f.runnersMu.Lock()
	defer f.runnersMu.Unlock()
	was := r.gone
	r.gone = true
	return !was
}

// leave has a runner drain and end while another takes its part. Its entry says so, or, without a word,
// is removed.
func (f *fleet) leave(r *runner, word bool) error {
	if !f.retire(r) {
		return nil
	}
	stage, _ := r.Entry("", "")["stage"].(string)
	if err := f.addRunner(r.Service, stage, f.currentSoftware()); err != nil {
		return err
	}
	r.Drain()
	if word {
		f.list(r)
	} else {
		f.unlist(r)
	}
	time.AfterFunc(platformtest.Drain+4*time.Second, func() {
		f.unlist(r)
		r.Crash()
		r.link.close()
	})
	return nil
}

// currentSoftware is the version of runners that replace leaving ones.
func (f *fleet) currentSoftware() string {
	f.runnersMu.Lock()
	defer f.runnersMu.Unlock()
	return f.software
}

// rollOut has some runners leave, one after the other, while others of the given version take their part.
func (f *fleet) rollOut(version string, rng *rand.Rand) error {
	f.runnersMu.Lock()
	f.software = version
	f.runnersMu.Unlock()
	for range 2 + rng.IntN(4) {
		if err := f.leave(f.present(rng), true); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
	return nil
}

// crash ends a runner at once; another takes its part after a while.
func (f *fleet) crash(r *runner) error {
	if !f.retire(r) {
		return nil
	}
	stage, _ := r.Entry("", "")["stage"].(string)
	if r.endsInOrder {
		r.CrashInOrder()
		time.Sleep(orderlyEnd) // its link resets what it hasn't passed on
	} else {
		r.Crash()
	}
	r.link.close()
	time.Sleep(time.Second)
	f.unlist(r)
	return f.addRunner(r.Service, stage, r.Version())
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		h.stop()
	}
	f.runnersMu.Lock()
	defer f.runnersMu.Unlock()
	for _, r := range f.runners {
		r.Crash()
		r.link.close()
	}
	f.store.Close()
	f.duties.Close()
}
