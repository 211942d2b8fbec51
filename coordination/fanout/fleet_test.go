package fanout

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

const (
	// kindConfig has one object, "main", whose value is a version number; kindThings has r0 to r19.
	kindConfig = "config"
	kindThings = "things"
	// testFetchWait is the time that a fetch waits at a relay, a quarter of propagationBound.
	testFetchWait = time.Second
	// propagationBound is the time within which a change must be in force.
	propagationBound = 4 * time.Second
	testDomains      = 5
	// testSettle is the Settle option of all copies: for how long a restored store may lack what
	// it lost, until that is written again.
	testSettle = 2 * time.Second
)

var kinds = []string{kindConfig, kindThings}

// fleet is a number of hosts with one store and a network, with faults that tests set.
type fleet struct {
	t     *testing.T
	store *storetest.Platform
	hosts []*host

	mu sync.Mutex
	// The faults are by host address. Unresponsive hosts neither answer calls nor make any;
	// partitioned ones don't reach the store and notice it only by a timeout; refused ones get an
	// error from the store.
	unresponsive map[string]bool
	partitioned  map[string]bool
	refused      map[string]bool
	// down makes the store refuse all hosts.
	down bool
	// calls counts the calls to the store by host.
	calls map[string]int
	// callCount is the number of calls to the store since takeCallCount was called last.
	callCount int
	// fetchCount is the number of fetches between hosts since takeFetchCount was called last.
	fetchCount int
	// fullCopyTime is how long a host is busy with each response that has full copies; it sends one
	// after the other.
	fullCopyTime time.Duration
	// delays are the Delays of all hosts.
	delays propagation.Delays
	// configure changes the options of a host's copy; nil for none.
	configure func(h *host, kind string, o *follow.Options)
	// watchesDropped ends all waiting watches with an error when it is closed.
	watchesDropped chan struct{}
}

// host is a Node with its copies.
type host struct {
	*Node
	f    *fleet
	self state.Peer
	// list is the host's list of all hosts.
	list   []state.Peer
	copies map[string]*follow.Mirror
	log    hostLog
	// received are the bodies of the notices that the host got.
	received []string
	// inForce is the highest version of the configuration that the host has had.
	inForce atomic.Int64
	stop    context.CancelFunc
	ended   chan struct{}
	// sending is held while the host is busy with a response.
	sending chan struct{}
}

// partitionDetection is how long a call of a partitioned host takes to fail.
const partitionDetection = 3 * time.Second

// newFleet returns a fleet of n hosts whose watches wait at the store for at most 20 s.
func newFleet(t *testing.T, n int) *fleet { return newFleetWithWatchWait(t, n, 20*time.Second) }

// newFleetWithWatchWait returns a fleet of n hosts whose watches wait at the store for at most wait.
func newFleetWithWatchWait(t *testing.T, n int, wait time.Duration) *fleet {
	return newConfiguredFleet(t, n, wait, propagation.New(propagation.Bounds{InForce: propagationBound}), nil)
}

// newConfiguredFleet returns a fleet of n hosts whose copies have their options changed by configure.
func newConfiguredFleet(t *testing.T, n int, wait time.Duration, delays propagation.Delays, configure func(h *host, kind string, o *follow.Options)) *fleet {
	f := &fleet{
		t: t, store: storetest.NewPlatform(wait), delays: delays, configure: configure,
		unresponsive: map[string]bool{}, partitioned: map[string]bool{}, refused: map[string]bool{}, calls: map[string]int{}, watchesDropped: make(chan struct{}),
	}
	f.store.SetScript(f.script)
	for i := range n {
		f.hosts = append(f.hosts, f.newHost(i))
	}
	for _, h := range f.hosts {
		h.list = f.peers()
	}
	f.write(kindConfig, "main", "1")
	for i := range 20 {
		f.write(kindThings, fmt.Sprint("r", i), "ready")
	}
	return f
}

func (f *fleet) peers() []state.Peer {
	var out []state.Peer
	for _, h := range f.hosts {
		out = append(out, h.self)
	}
	return out
}

// newHost returns the host number i, which isn't started; one in twenty is strong (class 5).
func (f *fleet) newHost(i int) *host {
	class := 1
	if i/testDomains%20 == 0 {
		class = 5
	}
	h := &host{sending: make(chan struct{}, 1), f: f, self: state.Peer{Addr: fmt.Sprint("h", i), Class: class, FailureDomain: fmt.Sprint("d", i%testDomains)}}
	h.copies = map[string]*follow.Mirror{}
	outage := &follow.RetryGroup{}
	for _, kind := range kinds {
		var newer func(a, b store.Object) bool
		if kind == kindConfig {
			newer = func(a, b store.Object) bool { return versionOf(a) > versionOf(b) }
		}
		o := follow.Options{
			Newer: newer, Delays: f.delays,
			Store: faultyStore{f.store.Client(h.self.Addr), f, h.self.Addr}, Clock: clocktest.Bubble{}, Log: h.log.logger(),
			Kind: kind, OnChange: h.applyConfig, RetryGroup: outage, Notify: func() { h.WakeFollowers() }, RecoveryTime: testSettle,
		}
		if f.configure != nil {
			f.configure(h, kind, &o)
		}
		m, err := follow.New(o)
		if err != nil {
			f.t.Fatal(err)
		}
		h.copies[kind] = m
	}
	n, err := New(Options{
		Self: h.self, RunID: h.self.Addr + "-1", Hosts: func() []state.Peer { return h.list }, Copies: h.copies, Peers: network{f, h.self.Addr},
		Clock: clocktest.Bubble{}, Rand: rand.New(rand.NewPCG(7, uint64(i))), Log: h.log.logger(), Delays: f.delays,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	h.Node = n
	n.Subscribe("test", func(body []byte) {
		f.mu.Lock()
		defer f.mu.Unlock()
		h.received = append(h.received, string(body))
	})
	return h
}

// hostLog is the log of a host, with the times of the bubble.
type hostLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *hostLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *hostLog) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// since returns the lines that were logged after a time.
func (l *hostLog) since(t time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out strings.Builder
	for line := range strings.Lines(l.text.String()) {
		at, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
		if logged, err := time.Parse(time.RFC3339Nano, at); err == nil && logged.After(t) {
			out.WriteString(line)
		}
	}
	return out.String()
}

// applyConfig puts the configuration of a copy in force if its version is higher.
func (h *host) applyConfig(c follow.Copy) {
	for _, o := range c.Objects {
		if version := versionOf(o); version > h.inForce.Load() {
			h.inForce.Store(version)
		}
	}
}

// versionOf returns the version of the configuration object, 0 for any other object.
func versionOf(o store.Object) int64 {
	version, err := strconv.ParseInt(string(o.Value), 10, 64)
	if o.Name != "main" || err != nil {
		return 0
	}
	return version
}

func (h *host) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.ended = cancel, make(chan struct{})
	go func() {
		defer close(h.ended)
		h.Run(ctx)
	}()
}

func (h *host) end() {
	h.stop()
	<-h.ended
}

func (f *fleet) start() {
	for _, h := range f.hosts {
		h.start()
	}
}

func (f *fleet) end() {
	for _, h := range f.hosts {
		h.end()
	}
}

func (f *fleet) set(fault map[string]bool, addr string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault[addr] = on
}

func (f *fleet) isSet(fault map[string]bool, addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fault[addr]
}

// operator is the caller whose calls to the store aren't counted and never fail.
const operator = "operator"

// write creates or replaces an object as the operator.
func (f *fleet) write(kind, name, value string) {
	c := f.store.Client(operator)
	var version uint64
	if o, err := c.Get(context.Background(), kind, name); err == nil {
		version = o.Version
	}
	if _, err := c.Put(context.Background(), kind, name, version, []byte(value)); err != nil {
		f.t.Fatal(err)
	}
}

// remove deletes an object as the operator.
func (f *fleet) remove(kind, name string) {
	c := f.store.Client(operator)
	o, err := c.Get(context.Background(), kind, name)
	if err == nil {
		err = c.Delete(context.Background(), kind, name, o.Version)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// script counts the hosts' calls to the store, and refuses those of hosts that are set to be refused.
func (f *fleet) script(c storetest.Call) storetest.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Caller == operator {
		return storetest.None
	}
	f.callCount++
	f.calls[c.Caller]++
	if f.down || f.refused[c.Caller] {
		return storetest.Refuse
	}
	return storetest.None
}

// takeCallCount returns the number of the hosts' calls to the store since the last takeCallCount.
func (f *fleet) takeCallCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.callCount
	f.callCount = 0
	return out
}

// staleHosts returns the responsive hosts whose copy of an object doesn't have the value, "" meaning
// that the object is absent.
func (f *fleet) staleHosts(kind, name, value string) []string {
	var out []string
	for _, h := range f.hosts {
		if f.isSet(f.unresponsive, h.self.Addr) {
			continue
		}
		found := ""
		for _, o := range h.copies[kind].Export().Objects {
			if o.Name == name {
				found = string(o.Value)
			}
		}
		if found != value {
			out = append(out, h.self.Addr)
		}
	}
	return out
}

// relays returns the hosts that follow the store.
func (f *fleet) relays() []*host {
	var out []*host
	for _, h := range f.hosts {
		if h.FollowsStore() {
			out = append(out, h)
		}
	}
	return out
}

var errNoAnswer = errors.New("no answer")

// faultyStore is the store as one host reaches it, with the faults of the fleet.
type faultyStore struct {
	*storetest.Client
	f    *fleet
	addr string
}

func (s faultyStore) List(ctx context.Context, kind string) ([]store.Object, uint64, error) {
	if err := s.reach(ctx); err != nil {
		return nil, 0, err
	}
	return s.Client.List(ctx, kind)
}

func (s faultyStore) Watch(ctx context.Context, kind string, after uint64) (store.Batch, error) {
	if err := s.reach(ctx); err != nil {
		return store.Batch{}, err
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.f.onWatchesDropped(cancel)()
	b, err := s.Client.Watch(bounded, kind, after)
	if err != nil && ctx.Err() == nil {
		return b, &store.UnavailableError{Cause: errNoAnswer}
	}
	if err == nil {
		err = s.reach(ctx) // a partition that began meanwhile drops the answer, too
	}
	return b, err
}

// Poll implements follow.Poller.
func (s faultyStore) Poll(ctx context.Context, kind string, after uint64) (store.Batch, error) {
	if err := s.reach(ctx); err != nil {
		return store.Batch{}, err
	}
	bounded, cancel := context.WithTimeout(ctx, 5*time.Millisecond)
	defer cancel()
	b, err := s.Client.Watch(bounded, kind, after)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return store.Batch{Revision: after}, nil
	}
	return b, err
}

// onWatchesDropped calls drop when all watches are dropped, until the returned function is called.
func (f *fleet) onWatchesDropped(drop func()) (done func()) {
	f.mu.Lock()
	dropped := f.watchesDropped
	f.mu.Unlock()
	over := make(chan struct{})
	go func() {
		select {
		case <-dropped:
			drop()
		case <-over:
		}
	}()
	return func() { close(over) }
}

// dropWatches drops the store's history and ends all waiting watches.
func (f *fleet) dropWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.watchesDropped)
	f.watchesDropped = make(chan struct{})
	f.store.DropHistory()
}

// reach fails after partitionDetection if the host is partitioned from the store or unresponsive.
func (s faultyStore) reach(ctx context.Context) error {
	if !s.f.isSet(s.f.partitioned, s.addr) && !s.f.isSet(s.f.unresponsive, s.addr) {
		return nil
	}
	if err := (clocktest.Bubble{}).Sleep(ctx, partitionDetection); err != nil {
		return err
	}
	return &store.UnavailableError{Cause: errNoAnswer}
}

// network implements Peers for the host at address from.
type network struct {
	f    *fleet
	from string
}

// networkDelay is the delay of a message in one direction.
const networkDelay = time.Millisecond

// takeFetchCount returns the number of fetches between hosts since its last call.
func (f *fleet) takeFetchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.fetchCount
	f.fetchCount = 0
	return out
}

// Fetch implements Peers.
func (n network) Fetch(ctx context.Context, addr string, req Request) (Response, error) {
	n.f.mu.Lock()
	n.f.fetchCount++
	n.f.mu.Unlock()
	to, err := n.reach(ctx, addr)
	if err != nil {
		return Response{}, err
	}
	resp := to.Serve(ctx, req)
	if n.f.isSet(n.f.unresponsive, addr) {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	to.send(resp)
	if ctx.Err() != nil {
		return Response{}, ctx.Err()
	}
	return resp, (clocktest.Bubble{}).Sleep(ctx, networkDelay)
}

// send takes the time that the host needs to send a response, whether or not it is still awaited.
func (h *host) send(resp Response) {
	if h.f.fullCopyTime == 0 || !resp.Changes[kindThings].Full {
		return
	}
	h.sending <- struct{}{}
	time.Sleep(h.f.fullCopyTime)
	<-h.sending
}

// SendNotice implements Peers.
func (n network) SendNotice(ctx context.Context, addr string, notice Notice) error {
	to, err := n.reach(ctx, addr)
	if err == nil {
		to.Deliver(notice)
	}
	return err
}

// reach returns the host at addr after networkDelay. It waits until ctx ends if either host is
// unresponsive.
func (n network) reach(ctx context.Context, addr string) (*host, error) {
	if err := (clocktest.Bubble{}).Sleep(ctx, networkDelay); err != nil {
		return nil, err
	}
	if n.f.isSet(n.f.unresponsive, addr) || n.f.isSet(n.f.unresponsive, n.from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	for _, h := range n.f.hosts {
		if h.self.Addr == addr {
			return h, nil
		}
	}
	return nil, errors.New("connection refused")
}

// summarize describes hosts for failure messages.
func summarize(hosts []string) string {
	return fmt.Sprintf("%d hosts: %s", len(hosts), strings.Join(hosts[:min(5, len(hosts))], " "))
}
