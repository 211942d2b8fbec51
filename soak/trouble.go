package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

// action is one thing done to the fleet. planned ones disturb nothing.
type action struct {
	name    string
	planned bool
	// runners says that it disturbs no host and not the store.
	runners bool
	// late says that it may hold calls under the lease of the duties back.
	late bool
	// config says that it writes configurations.
	config bool
	// noted says that it notes what it disturbs itself.
	noted bool
	do    func(f *fleet, rng *rand.Rand) error
}

// lasting makes an action of a fault that is set and taken back.
func lasting(name string, set func(f *fleet, rng *rand.Rand) (heal func())) action {
	return action{name: name, do: func(f *fleet, rng *rand.Rand) error {
		heal := set(f, rng)
		time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
		heal()
		return nil
	}}
}

// atRunner makes an action of a fault of one runner that is set and taken back.
func atRunner(name string, set func(r *runner, rng *rand.Rand) (heal func())) action {
	return action{name: name, noted: true, do: func(f *fleet, rng *rand.Rand) error {
		r := f.present(rng)
		defer f.begin(span{runner: r.ID})()
		return lasting(name, func(*fleet, *rand.Rand) func() { return set(r, rng) }).do(f, rng)
	}}
}

// holding marks an action that may hold calls under the lease of the duties back.
func holding(a action) action {
	a.late = true
	return a
}

func (f *fleet) anyHost(rng *rand.Rand) *host { return f.hosts[rng.IntN(len(f.hosts))] }

var hostKilled = action{name: "host killed", do: func(f *fleet, rng *rand.Rand) error {
	return f.anyHost(rng).kill(time.Duration(rng.IntN(1500)) * time.Millisecond)
}}

// actions are all that may happen to a fleet.
var actions = []action{
	{name: "config change", planned: true, config: true, do: func(f *fleet, _ *rand.Rand) error { f.putConfig(); return nil }},
	{name: "config storm", planned: true, config: true, do: func(f *fleet, rng *rand.Rand) error {
		for range 5 + rng.IntN(10) {
			f.putConfig()
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		return nil
	}},
	{name: "key revoked", planned: true, config: true, do: func(f *fleet, rng *rand.Rand) error { f.revokeKey(rng); return nil }},
	holding(lasting("interface of the duties in trouble", func(f *fleet, rng *rand.Rand) func() {
		faults := []platformtest.DutiesFault{platformtest.DutiesSlow, platformtest.DutiesSilent, platformtest.DutiesBusy, platformtest.DutiesDry}
		f.duties.SetFault(faults[rng.IntN(len(faults))])
		return func() { f.duties.SetFault(platformtest.DutiesSound) }
	})),
	{name: "host terminated", planned: true, do: func(f *fleet, rng *rand.Rand) error { return f.anyHost(rng).terminate() }},
	{name: "settings reloaded", planned: true, do: func(f *fleet, rng *rand.Rand) error {
		f.anyHost(rng).signal(syscall.SIGHUP)
		return nil
	}},
	{name: "runner leaves", planned: true, do: func(f *fleet, rng *rand.Rand) error { return f.leave(f.present(rng), true) }},
	{name: "runner crashes", noted: true, do: func(f *fleet, rng *rand.Rand) error {
		r := f.present(rng)
		defer f.begin(span{runners: true, runner: r.ID})()
		return f.crash(r)
	}},
	hostKilled,
	holding(lasting("host paused", func(f *fleet, rng *rand.Rand) func() {
		h := f.anyHost(rng)
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	})),
	lasting("host cut off from the store", func(f *fleet, rng *rand.Rand) func() {
		link := f.anyHost(rng).store
		link.set([]linkFault{linkSilent, linkOneWay, linkReset, linkDelayed}[rng.IntN(4)])
		return func() { link.set(linkSound) }
	}),
	atRunner("link to a runner in trouble", func(r *runner, rng *rand.Rand) func() {
		link := r.link
		link.set([]linkFault{linkSilent, linkOneWay, linkReset, linkDelayed}[rng.IntN(4)])
		return func() { link.set(linkSound) }
	}),
	lasting("store in trouble", func(f *fleet, rng *rand.Rand) func() {
		faults := []platformtest.StoreFault{platformtest.StoreBusy, platformtest.StoreSilent, platformtest.StoreSlow, platformtest.StoreForgetful}
		f.store.SetFault(faults[rng.IntN(len(faults))])
		return func() { f.store.SetFault(platformtest.StoreSound) }
	}),
	atRunner("runner in trouble", func(r *runner, rng *rand.Rand) func() {
		faults := []platformtest.RunnerFault{platformtest.RunnerSlow, platformtest.RunnerSheds, platformtest.RunnerLoses, platformtest.RunnerCuts, platformtest.RunnerDoubles}
		r.SetFault(faults[rng.IntN(len(faults))])
		return func() { r.SetFault(platformtest.RunnerSound) }
	}),
	{name: "store forgets its history", do: func(f *fleet, _ *rand.Rand) error { f.store.Forget(); return nil }},
	{name: "all hosts killed", do: func(f *fleet, rng *rand.Rand) error {
		if rng.IntN(3) > 0 {
			return nil // now and then is enough
		}
		return f.killAll()
	}},
}

// killAmidRelease has runners of a further version come, serve and go while the store takes no writes, and all hosts lose their memory
// with them.
func (f *fleet) killAmidRelease(rng *rand.Rand) error {
	f.store.SetFault(platformtest.StoreReadOnly)
	defer f.store.SetFault(platformtest.StoreSound)
	version := fmt.Sprint("v", 4+rng.IntN(9))
	var further []*runner
	for range furtherRunners {
		r, err := f.newRunner(platformtest.ServiceEngines, "decode", version)
		if err != nil {
			return err
		}
		r.SetPace(furtherPace)
		further = append(further, r)
	}
	time.Sleep(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
	for _, r := range further {
		f.retire(r)
		f.unlist(r)
	}
	err := f.killAll()
	for _, r := range further {
		r.Crash()
		r.link.close()
	}
	return err
}

const (
	// furtherRunners are the runners of the further version, as many as there are other engines that decode.
	furtherRunners = 4
	// furtherPace is their pause between two events, so long that many streams are under way when the hosts are killed.
	furtherPace = 100 * time.Millisecond
)

// killAll kills all hosts at the same time.
func (f *fleet) killAll() error {
	var all sync.WaitGroup
	for _, h := range f.hosts {
		all.Go(func() {
			if err := h.kill(0); err != nil {
				f.problem("%v", err)
			}
		})
	}
	all.Wait()
	return nil
}

// restored has the store come back from an older copy.
var restored = action{name: "store restored", do: func(f *fleet, rng *rand.Rand) error { f.restoreStore(rng); return nil }}

// versions has runners of other versions take over, and streams break off meanwhile.
var versions = []action{
	{name: "runners of a version replaced", planned: true, do: func(f *fleet, rng *rand.Rand) error {
		return f.rollOut(fmt.Sprint("v", 1+rng.IntN(3)), rng)
	}},
	{name: "all hosts killed amid a release", do: func(f *fleet, rng *rand.Rand) error {
		if time.Since(f.began) > f.o.length/2 {
			return nil // the hosts report usage once they have held the lease for some windows
		}
		return f.killAmidRelease(rng)
	}},
	{name: "runners break answers off", runners: true, do: lasting("", func(f *fleet, rng *rand.Rand) func() {
		var broken []*runner
		for range 8 {
			broken = append(broken, f.present(rng))
		}
		for _, r := range broken {
			r.SetFault(platformtest.RunnerCuts)
		}
		return func() {
			for _, r := range broken {
				r.SetFault(platformtest.RunnerSound)
			}
		}
	}).do},
}

// endless has a runner send answers without end, and hosts lose what they send to the store.
var endless = []action{
	atRunner("runner sends answers without end", func(r *runner, _ *rand.Rand) func() {
		r.SetFault(platformtest.RunnerEndless)
		return func() { r.SetFault(platformtest.RunnerSound) }
	}),
	lasting("calls to the store lost", func(f *fleet, rng *rand.Rand) func() {
		link := f.anyHost(rng).store
		link.set(linkLost)
		return func() { link.set(linkSound) }
	}),
}

// malformed has a runner send bytes that are no answers.
var malformed = atRunner("runner sends no answers", func(r *runner, _ *rand.Rand) func() {
	r.SetFault(platformtest.RunnerMalformed)
	return func() { r.SetFault(platformtest.RunnerSound) }
})

// unframed has a runner end its answers with their connections, and break some off so.
var unframed = action{name: "runner answers without framing", runners: true, do: lasting("", func(f *fleet, rng *rand.Rand) func() {
	r := f.present(rng)
	r.SetFault(platformtest.RunnerUnframed)
	return func() { r.SetFault(platformtest.RunnerSound) }
}).do}

// trouble plays a seeded series; some seeds have planned work only. Actions of a
// series overlap; two at one host wait for each other.
func (f *fleet) trouble() {
	var wait sync.WaitGroup
	relisting := make(chan struct{})
	go f.relist(relisting)
	defer close(relisting)
	end := time.Now().Add(f.o.length)
	plannedOnly := f.o.seed%4 == 0 || f.o.silent && f.o.seed%2 == 0
	may := actions
	if f.o.asking {
		may = slices.Concat(actions, asking, asking)
	}
	if f.o.leaving {
		may = slices.Concat(may, slices.Repeat(leaving, len(actions)/2))
	}
	if f.o.versions {
		may = slices.Concat(may, slices.Repeat(versions, len(actions)/4))
	}
	if f.o.endless {
		may = slices.Concat(may, slices.Repeat(endless, len(actions)/4))
	}
	if f.o.malformed {
		may = slices.Concat(may, slices.Repeat([]action{malformed}, len(actions)/2))
	}
	if f.o.large {
		may = slices.Concat(may, slices.Repeat([]action{hostKilled}, len(actions)/2))
	}
	if f.o.unframed {
		may = slices.Concat(may, slices.Repeat([]action{unframed}, len(actions)/2))
	}
	if f.o.partitioned {
		may = slices.Concat(may, slices.Repeat(partitions, len(actions)/2))
	}
	if f.o.restored {
		may = slices.Concat(may, slices.Repeat([]action{restored}, len(actions)/2))
	}
	if f.o.silent {
		wait.Go(func() { f.silences(end) })
	}
	for n := uint64(0); time.Now().Before(end); n++ {
		time.Sleep(time.Duration(200+f.rng.IntN(900)) * time.Millisecond)
		a := may[f.rng.IntN(len(may))]
		if plannedOnly && !a.planned || a.config && f.o.silent && f.withoutConfigs(end) {
			continue
		}
		f.note("%6.2f s: %s", time.Since(f.began).Seconds(), a.name)
		rng := rand.New(rand.NewPCG(f.o.seed, n+1000))
		wait.Go(func() { f.act(a, rng) })
	}
	wait.Wait()
}

func (f *fleet) act(a action, rng *rand.Rand) {
	if !a.planned && !a.noted {
		defer f.disturb(a.runners, a.late)()
	}
	if err := a.do(f, rng); err != nil {
		f.problem("%s: %v", a.name, err)
	}
}

func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, fmt.Sprintf(format, args...))
}
