package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/buffers/buffertest"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// streamDeps are the dispatcher's dependencies as far as a stream of one attempt needs them.
type streamDeps struct {
	forward.Gate
	forward.Observer
	forward.Quotas
	forward.Origins
	forward.Outliers
	forward.Crashes
	forward.Advice
	forward.Budget
}

func (streamDeps) CountRequest(string)                     {}
func (streamDeps) Allow(string) bool                       { return false }
func (streamDeps) AllowTrial(state.InstanceID) bool        { return true }
func (streamDeps) Limit(state.InstanceID) (float64, bool)  { return 0, false }
func (streamDeps) BackoffUntil(state.InstanceID) time.Time { return time.Time{} }
func (streamDeps) CheckHeld([]quarantine.Digest) error     { return nil }
func (streamDeps) Admit([]quarantine.Digest, *quarantine.Trial) (*quarantine.Trial, error) {
	return nil, nil
}
func (streamDeps) Suspected(quarantine.Digest) bool                              { return false }
func (streamDeps) ReportAnswered(quarantine.Digest)                              {}
func (streamDeps) BodyEnded(string, forward.BodyEnd)                             {}
func (streamDeps) LongAnswer(string, forward.LongAnswerOutcome)                  {}
func (streamDeps) StreamEnded(string, forward.StreamEnd)                         {}
func (streamDeps) SilentRun(string, forward.SilentRunOutcome)                    {}
func (streamDeps) ReportSilent(state.InstanceID)                                 {}
func (streamDeps) ReportBroken(*state.Instance, quarantine.Suspect)              {}
func (streamDeps) Enter(context.Context, occupancy.Request) (r occupancy.Result) { return r }

// streamUpstream answers with streams of events of 1 KiB: without end, or of shortEvents for a URI that
// ends in "short".
type streamUpstream struct {
	forward.Upstream
	produced, aborted atomic.Int64
}

const shortEvents = 2000

func (u *streamUpstream) Send(_ context.Context, a *forward.Attempt) (forward.Response, error) {
	left := 1 << 40
	if bytes.HasSuffix([]byte(a.Request.URI), []byte("short")) {
		left = shortEvents
	}
	return &streamResponse{u: u, left: left}, nil
}

type streamResponse struct {
	u    *streamUpstream
	left int
	once sync.Once
}

var testEvent = []byte("id: 1\ndata: " + string(bytes.Repeat([]byte{'x'}, 1010)) + "\n\n")

func (r *streamResponse) Head() *forward.Head {
	return &forward.Head{Status: 200, EventStream: true, Signed: true}
}

func (r *streamResponse) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	r.u.produced.Add(int64(len(testEvent)))
	return copy(p, testEvent), nil
}

func (r *streamResponse) Finish()        {}
func (r *streamResponse) LinkLost() bool { return false }

func (r *streamResponse) Abort() { r.once.Do(func() { r.u.aborted.Add(1) }) }

// serveStreams starts a server that forwards to a streamUpstream.
func serveStreams(t *testing.T, maxBytes int64) (*Server, *streamUpstream, string) {
	t.Helper()
	up := &streamUpstream{}
	s, addr := serveUpstream(t, up, maxBytes)
	return s, up, addr
}

// serveUpstream starts a server that forwards to one runner.
func serveUpstream(t *testing.T, up forward.Upstream, maxBytes int64, set ...func(*Options)) (*Server, string) {
	t.Helper()
	deps := streamDeps{}
	fleet := placement.NewFleet(placement.Options{Clock: wallclock.Clock{}, FailureDomain: "d"})
	fleet.Update([]state.Instance{{ID: state.InstanceID{Name: "e"}, Service: "s", Addr: "e:1", FailureDomain: "d"}})
	d, err := forward.New(forward.Options{
		Upstream: up, Placer: fleet, Gate: deps, Budget: deps, Observer: deps, Outliers: deps, Crashes: deps, Quarantine: deps, Quotas: deps, Origins: deps, Advice: deps, Buffers: buffertest.New(t),
		Clock: wallclock.Clock{}, Log: slog.New(slog.DiscardHandler), SplitTokens: 600,
	})
	if err != nil {
		t.Fatal(err)
	}
	return serve(t, d.Forward, append(set, func(o *Options) {
		o.MaxHeaderBytes, o.MaxConnections, o.SlowReaderBytes = 20<<10, 1000, maxBytes
	})...)
}

// dialSlow opens a stream that is never read.
func dialSlow(t *testing.T, addr string, n int) {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "GET /p/%d HTTP/1.1\r\nHost: a.example\r\nX-Id: %d\r\n\r\n", n, n); err != nil {
		t.Fatal(err)
	}
}

// memoryInUse is the memory of the process's heap and stacks.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not within 4 s: " + what)
}

const slowCallers = 300

// Guards against memory that grows with what engines produce for callers that don't read: a stream must
// hold less than it is counted with, and the kernel no more than its send buffer.
func TestSlowReadersHoldBoundedMemory(t *testing.T) {
	is := is.New(t)
	s, up, addr := serveStreams(t, 1<<30)
	before := memoryInUse()
	for n := range slowCallers {
		dialSlow(t, addr, n)
	}
	eventually(t, "all callers are slow", func() bool { return s.SlowReaders().Count() == slowCallers })
	perStream := (memoryInUse() - before) / slowCallers
	t.Logf("%d bytes of heap and stack, %d held with sockets, %d produced per stream", perStream, s.SlowReaders().Held()/slowCallers, up.produced.Load()/slowCallers)
	is.True(perStream <= streamBytes(20<<10))
	is.True(s.SlowReaders().Held()/slowCallers <= streamBytes(20<<10)+2*slowSendBuffer)
	is.Equal(s.SlowReaders().Ended(), uint64(0))
}

// Guards against slow readers that together take a host's memory, and against a rule that cuts off callers
// that read.
func TestSlowestReadersEndBeyondTheBound(t *testing.T) {
	is := is.New(t)
	const bound = 10 << 20
	s, up, addr := serveStreams(t, bound)
	for n := range slowCallers {
		dialSlow(t, addr, n)
	}
	conn, br := dial(t, addr)
	status, body := exchange(t, conn, br, "GET /p/short HTTP/1.1\r\nHost: a.example\r\nX-Id: r\r\n\r\n")
	is.Equal(status, 200)
	is.Equal(len(body), shortEvents*len(testEvent))
	slow := s.SlowReaders()
	eventually(t, "the bound is kept", func() bool { return slow.Ended() > 0 && slow.Held() <= bound && slow.Count() > 0 })
	eventually(t, "their runs end", func() bool { return uint64(up.aborted.Load()) >= slow.Ended() })
	is.True(slow.Ended() < slowCallers)
}
