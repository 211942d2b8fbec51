package origin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
)

const (
	// maxAge is how old streams are that callers take up, and maxLag how late a host gets a list.
	maxAge = 20 * time.Second
	maxLag = time.Second
	// maxDelay bounds the one-way delay between two hosts.
	maxDelay = 3 * time.Millisecond
	// storeDelay is the time of a read at the store.
	storeDelay = 4 * time.Millisecond
	service    = "llm"
)

// testFleet is a number of hosts that begin streams at runners of several versions and take up each other's.
type testFleet struct {
	// seed decides all draws, see intN.
	seed  uint64
	hosts []*testHost

	mu sync.Mutex
	// listed is the list at the store, and notes are its objects.
	listed  []string
	goneAt  map[string]time.Time
	notes   map[string]store.Object
	streams []testStream
	// wrong and refused are the streams that would have gone on at another version, and those of unknown version;
	// resumed are all others.
	wrong            []string
	refused, resumed int
	// unnamed has callers take streams up without naming them.
	unnamed bool
	// storeDown cuts all hosts off from the store, and readOnly has it refuse writes after some time.
	storeDown, readOnly bool
	// reads counts the reads at the store, and epoch its restorations.
	reads atomic.Int64
	epoch atomic.Uint64
}

type testStream struct {
	id, version string
	began       time.Time
}

// testHost is one host; a restart replaces the fields below mu.
type testHost struct {
	f    *testFleet
	addr string

	mu sync.Mutex
	// side is the side of a partition on which the host is; storeCut cuts it off from the store.
	side     int
	storeCut bool
	// wakesAt is when the host's process runs again after it has stood still.
	wakesAt time.Time
	up      bool
	run     int
	listed  []string
	// provenAt is when the list was the store's.
	provenAt time.Time
	table    *Table
	registry *Registry
	stop     context.CancelFunc
	// choice are the noted versions that the choice of runners knows.
	choice []string
	// stopFollowing ends the host's watch of the list only.
	stopFollowing context.CancelFunc
}

func newTestFleet(seed uint64, n int, versions ...string) *testFleet {
	f := &testFleet{seed: seed, listed: versions, goneAt: map[string]time.Time{}, notes: map[string]store.Object{}}
	for i := range n {
		f.hosts = append(f.hosts, &testHost{f: f, addr: fmt.Sprint("host-", i)})
	}
	for _, h := range f.hosts {
		h.start()
	}
	time.Sleep(maxAge + 2*maxLag)
	return f
}

// intN draws a number below n. It follows from the seed, the virtual time and who draws, so that a seed gives the same
// run in whichever order the goroutines of one moment come.
func (f *testFleet) intN(n int, who ...any) int {
	key := xxhash.Sum64String(fmt.Sprint(time.Now().UnixNano(), who))
	return rand.New(rand.NewPCG(f.seed, key)).IntN(n)
}

// duration draws a duration that isn't 0: one who draws again at the same time would draw the same for ever.
func (f *testFleet) duration(most time.Duration, who ...any) time.Duration {
	return time.Duration(1 + f.intN(int(most), who...))
}

func (f *testFleet) anyHost(who ...any) *testHost { return f.hosts[f.intN(len(f.hosts), who...)] }

func (f *testFleet) host(addr string) *testHost {
	return f.hosts[slices.IndexFunc(f.hosts, func(h *testHost) bool { return h.addr == addr })]
}

// replicas are the hosts of the highest scores.
func (f *testFleet) replicas(id string) []string {
	var out []string
	for _, h := range f.hosts {
		out = append(out, h.addr)
	}
	slices.SortFunc(out, func(a, b string) int {
		if xxhash.Sum64String(id+a) < xxhash.Sum64String(id+b) {
			return -1
		}
		return 1
	})
	return out[:min(ReplicaCount, len(out))]
}

// setListed changes the list of the store; hosts that reach it get it within maxLag.
func (f *testFleet) setListed(versions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.listed {
		if !slices.Contains(versions, v) {
			f.goneAt[v] = time.Now()
		}
	}
	f.listed = versions
}

// served is how long runners go on to serve once they aren't listed.
const served = 4 * time.Second

// serves reports whether a version has runners that serve.
func (f *testFleet) serves(version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.listed, version) || time.Since(f.goneAt[version]) < served
}

// start starts the host's process, which knows nothing.
func (h *testHost) start() {
	clock, log := clocktest.Bubble{}, slog.New(slog.DiscardHandler)
	ctx, stop := context.WithCancel(context.Background())
	followCtx, stopFollowing := context.WithCancel(ctx)
	history, table := NewHistory(clock), NewTable(clock)
	ledger, err := NewLedger(LedgerOptions{
		Self: h.addr, Store: testStore{h: h}, History: history, Writes: func(n int) bool { return slices.Contains(h.f.writers(n), h) && h.listFresh() },
		Epoch: h.f.epoch.Load, Hosts: func() int { return len(h.f.hosts) }, OnNoted: h.setChoice, Clock: clock, Log: log,
	})
	if err != nil {
		panic(err)
	}
	registry, err := New(Options{
		Self: h.addr, Table: table, History: history, Peers: testPeers{h}, Replicas: h.f.replicas, Ledger: ledger,
		Observer: noObserver{}, Clock: clock, Log: log,
	})
	if err != nil {
		panic(err)
	}
	h.mu.Lock()
	h.run++
	h.up, h.listed, h.provenAt, h.table, h.registry, h.stop, h.stopFollowing = true, nil, time.Time{}, table, registry, stop, stopFollowing
	h.mu.Unlock()
	go ledger.Run(ctx)
	go h.follow(followCtx, registry)
}

// follow keeps the host's list up to date while it reaches the store.
func (h *testHost) follow(ctx context.Context, r *Registry) {
	for ctx.Err() == nil {
		if h.reachesStore() {
			h.f.mu.Lock()
			listed, at := slices.Clone(h.f.listed), time.Now()
			h.f.mu.Unlock()
			time.Sleep(h.f.duration(maxLag/2, h.addr, "answer"))
			h.awaitWake()
			h.mu.Lock()
			changed := !slices.Equal(h.listed, listed)
			h.listed, h.provenAt = listed, at
			h.mu.Unlock()
			if changed && ctx.Err() == nil {
				r.Update(Listing{service: listed})
			}
		}
		time.Sleep(h.f.duration(maxLag/2, h.addr, "pause"))
	}
}

// setChoice takes the versions that the choice of runners is told.
func (h *testHost) setChoice(_ string, noted []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.choice = noted
}

func (h *testHost) chosen() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.choice
}

func (h *testHost) reachesStore() bool {
	h.f.mu.Lock()
	down := h.f.storeDown
	h.f.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	return !down && !h.storeCut && h.up
}

func (h *testHost) listFresh() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.provenAt) <= 2*maxLag
}

func (h *testHost) isUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

// standStill stops the host's process for a duration. What arrives meanwhile is read when it runs again.
func (h *testHost) standStill(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakesAt = time.Now().Add(d)
}

// awaitWake returns once the host's process runs.
func (h *testHost) awaitWake() {
	for {
		h.mu.Lock()
		left := time.Until(h.wakesAt)
		h.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (h *testHost) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up = false
	h.stop()
}

// restart kills the host and starts it again after a second.
func (h *testHost) restart() {
	if !h.isUp() {
		return
	}
	h.kill()
	time.Sleep(time.Second)
	h.start()
}

// writers returns the first n hosts that are up.
func (f *testFleet) writers(n int) []*testHost {
	var out []*testHost
	for _, h := range f.hosts {
		if h.isUp() && len(out) < n {
			out = append(out, h)
		}
	}
	return out
}

func (f *testFleet) stop() {
	for _, h := range f.hosts {
		h.kill()
	}
	time.Sleep(10 * copyTimeout) // calls under way end
}

// begin begins a stream at a host, at a version of its list that still has runners: those that leave serve for a while.
func (f *testFleet) begin(id string) {
	h := f.anyHost(id, "host")
	h.awaitWake()
	h.mu.Lock()
	registry, listed, run := h.registry, h.listed, h.run
	h.mu.Unlock()
	if !h.isUp() || len(listed) == 0 {
		return
	}
	for noted := registry.o.Ledger.Noted(service); ; noted = registry.o.Ledger.Noted(service) {
		if len(noted) > 0 {
			listed = noted
			break
		}
		if !registry.AwaitNoted(context.Background(), service) {
			break
		}
	}
	version := listed[f.intN(len(listed), id, "version")]
	if !f.serves(version) {
		return
	}
	w := registry.Begin(Record{ID: id, Service: service, Version: version, Attempt: 1})
	time.Sleep(f.duration(20*time.Millisecond, id, "event")) // until its first event
	w.Wait(context.Background())
	h.mu.Lock()
	delivered := h.up && h.run == run
	h.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if delivered {
		f.streams = append(f.streams, testStream{id, version, time.Now()})
	}
}

// resume takes a stream up at a host, and comes back once after a refusal: a host that began streams just before a second
// version was listed writes them to their replicas when its list has that version.
func (f *testFleet) resume(caller string) {
	f.mu.Lock()
	if len(f.streams) == 0 {
		f.mu.Unlock()
		return
	}
	s := f.streams[f.intN(len(f.streams), caller, "stream")]
	f.mu.Unlock()
	if time.Since(s.began) > maxAge-streamSlack {
		return
	}
	if f.tryResume(caller, s) {
		return
	}
	time.Sleep(max(RetryAfter, maxLag))
	if !f.tryResume(caller, s) {
		f.mu.Lock()
		f.refused++
		f.mu.Unlock()
	}
}

// tryResume takes a stream up at any host. It is false if that refused.
func (f *testFleet) tryResume(caller string, s testStream) bool {
	h := f.anyHost(caller, "host")
	h.awaitWake()
	h.mu.Lock()
	registry, run, ready := h.registry, h.run, h.up && len(h.listed) > 0
	h.mu.Unlock()
	if !ready {
		return true // it takes no requests
	}
	q := Query{ID: s.id, Service: service, MaxAge: maxAge}
	f.mu.Lock()
	if f.unnamed {
		q.ID = ""
	}
	f.mu.Unlock()
	version, err := registry.Version(context.Background(), q)
	h.mu.Lock()
	lives := h.up && h.run == run
	h.mu.Unlock()
	if !lives {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil:
		return false
	case version != s.version:
		f.wrong = append(f.wrong, fmt.Sprintf("%s began at %s %s ago, and goes on at %s at %s", s.id, s.version, time.Since(s.began), version, h.addr))
	default:
		f.resumed++
	}
	return true
}

// streamSlack is the time by which the oldest streams are younger than maxAge.
const streamSlack = 5 * time.Second

// load begins and takes up streams for a duration.
func (f *testFleet) load(name string, d time.Duration) {
	var group sync.WaitGroup
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		id := fmt.Sprint(name, "-", n)
		group.Go(func() { f.begin(id) })
		group.Go(func() { f.resume("caller of " + id) })
		time.Sleep(f.duration(40*time.Millisecond, name))
	}
	group.Wait()
}

// testStore is the store as a host reaches it.
type testStore struct {
	store.Store
	h *testHost
}

func (s testStore) Get(_ context.Context, _, name string) (store.Object, error) {
	if !s.h.reachesStore() {
		return store.Object{}, &store.UnavailableError{Cause: errLost}
	}
	s.h.f.reads.Add(1)
	time.Sleep(storeDelay)
	s.h.f.mu.Lock()
	o, found := s.h.f.notes[name]
	s.h.f.mu.Unlock()
	s.h.awaitWake()
	if !found {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (s testStore) Put(_ context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	if !s.h.reachesStore() {
		return 0, &store.UnavailableError{Cause: errLost}
	}
	if s.h.f.isReadOnly() {
		time.Sleep(refusalDelay)
		return 0, &store.UnavailableError{Cause: errLost}
	}
	s.h.f.mu.Lock()
	defer s.h.f.mu.Unlock()
	o := s.h.f.notes[name]
	if o.Version != ifVersion {
		return 0, &store.ConflictError{Kind: kind, Name: name, Expected: ifVersion, Actual: o.Version}
	}
	s.h.f.notes[name] = store.Object{Kind: kind, Name: name, Version: o.Version + 1, Value: value}
	return o.Version + 1, nil
}

var errLost = errors.New("no answer")

// refusalDelay is how long the store takes to refuse a write.
const refusalDelay = 1500 * time.Millisecond

func (f *testFleet) isReadOnly() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readOnly
}

func (f *testFleet) setReadOnly(readOnly bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readOnly = readOnly
}

// testPeers are the peers of one host.
type testPeers struct{ from *testHost }

func (p testPeers) call(ctx context.Context, addr string, handle func(h *testHost)) error {
	f := p.from.f
	target := f.host(addr)
	time.Sleep(f.duration(maxDelay, p.from.addr, addr, "there"))
	p.from.mu.Lock()
	side, up := p.from.side, p.from.up
	p.from.mu.Unlock()
	target.mu.Lock()
	reached, wakesAt := up && target.up && target.side == side, target.wakesAt
	target.mu.Unlock()
	if !reached {
		<-ctx.Done()
		return errLost
	}
	if left := time.Until(wakesAt); left > 0 {
		time.AfterFunc(left, func() { handle(target) })
		<-ctx.Done()
		return errLost
	}
	handle(target)
	time.Sleep(f.duration(maxDelay, p.from.addr, addr, "back"))
	return nil
}

func (p testPeers) Write(ctx context.Context, addr string, records []Record) error {
	return p.call(ctx, addr, func(h *testHost) {
		h.mu.Lock()
		table := h.table
		h.mu.Unlock()
		for _, r := range records {
			table.Put(r)
		}
	})
}

func (p testPeers) Find(ctx context.Context, addr string, q Query) (out Finding, err error) {
	found := make(chan Finding, 1) // nobody reads it if the host wakes too late
	err = p.call(ctx, addr, func(h *testHost) {
		h.mu.Lock()
		registry := h.registry
		h.mu.Unlock()
		found <- registry.Find(q)
	})
	if err == nil {
		out = <-found
	}
	return out, err
}

type noObserver struct{}

func (noObserver) VersionAsked(string, Source) {}
func (noObserver) OriginWritten(string, bool)  {}
func (noObserver) BegunUnnoted(string)         {}

// rollOut replaces the version by another one, sometimes back.
func (f *testFleet) rollOut() {
	time.Sleep(5*time.Second + f.duration(15*time.Second, "roll-out begins"))
	f.mu.Lock()
	before := f.listed[0]
	f.mu.Unlock()
	after := fmt.Sprint("v", 1+f.intN(3, "roll-out"))
	if after == before {
		return
	}
	f.setListed(before, after)
	time.Sleep(5*time.Second + f.duration(10*time.Second, "roll-out ends"))
	f.setListed(after)
}

// disturbHosts kills a host, or now and then all.
func (f *testFleet) disturbHosts() {
	time.Sleep(f.duration(4*time.Second, "kill"))
	if f.intN(8, "kill one") > 0 {
		f.anyHost("killed").restart()
		return
	}
	f.restartAll()
}

// partition cuts hosts off from the others for some seconds, some of them from the store as well.
func (f *testFleet) partition() {
	time.Sleep(f.duration(8*time.Second, "partition begins"))
	for _, h := range f.hosts {
		side, cut := f.intN(2, h.addr, "side"), f.intN(3, h.addr, "cut") == 0
		h.mu.Lock()
		h.side, h.storeCut = side, cut
		h.mu.Unlock()
	}
	time.Sleep(f.duration(6*time.Second, "partition ends"))
	for _, h := range f.hosts {
		h.mu.Lock()
		h.side, h.storeCut = 0, false
		h.mu.Unlock()
	}
}

// pauseHost has a host stand still for some seconds.
func (f *testFleet) pauseHost() {
	time.Sleep(f.duration(4*time.Second, "host stands still"))
	f.anyHost("stands still").standStill(f.duration(4*time.Second, "host wakes"))
}

// disturbStore has the store down for some seconds, or refuse writes.
func (f *testFleet) disturbStore() {
	time.Sleep(f.duration(20*time.Second, "store goes down"))
	set := f.setStoreDown
	if f.intN(2, "store refuses writes") == 0 {
		set = f.setReadOnly
	}
	set(true)
	time.Sleep(f.duration(5*time.Second, "store is back"))
	set(false)
}

func (f *testFleet) setStoreDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = down
}

// restartAll kills all hosts at once and starts them again.
func (f *testFleet) restartAll() { f.restart(func(int) bool { return true }) }

// restart kills the hosts whose numbers are chosen at once and starts them again.
func (f *testFleet) restart(chosen func(i int) bool) {
	var group sync.WaitGroup
	for i, h := range f.hosts {
		if chosen(i) {
			group.Go(h.restart)
		}
	}
	group.Wait()
}

// repeat plays each of the disturbances again and again, beside each other, until end is called.
func repeat(plays ...func()) (end func()) {
	var group sync.WaitGroup
	stop := make(chan struct{})
	for _, play := range plays {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					play()
				}
			}
		})
	}
	return func() {
		close(stop)
		group.Wait()
	}
}
