package front

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/wallclock"
)

const (
	testKey    = "key"
	testSHA256 = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"
	testTokens = 20
)

// gatedDispatcher gives one token, or answers a call, for each pass it gets.
type gatedDispatcher struct{ pass chan struct{} }

func (g *gatedDispatcher) Generate(ctx context.Context, _ *dispatch.Request, _ *dispatch.Completion, sink dispatch.Sink) error {
	for i := range testTokens {
		select {
		case <-g.pass:
			sink.Append(fmt.Sprintf("t%d ", i))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	sink.Finish("stop")
	return nil
}

func (g *gatedDispatcher) Call(context.Context, *dispatch.Request, upstream.Call) (upstream.Answer, error) {
	<-g.pass
	return upstream.Answer{Status: http.StatusOK, Body: []byte("done")}, nil
}

func (g *gatedDispatcher) Running() int64 { return 0 }

// Small stand-ins for the rest of the server's surroundings.
type (
	nobodyElsewhere struct{}
	noEstimates     struct{}
	noObserver      struct{}
	builtIn         struct{}
)

func (nobodyElsewhere) Announce(string) {}

func (nobodyElsewhere) Fetch(_ context.Context, id, _ string, _ int) (RemoteChunk, error) {
	return RemoteChunk{}, &UnknownAnswerError{ID: id}
}

func (noEstimates) Expected(_, _ string, maxTokens int) int { return maxTokens }
func (noEstimates) Learn(_, _ string, _ int)                {}

func (noObserver) FirstToken(_, _ string, _ time.Duration)    {}
func (noObserver) BetweenTokens(_, _ string, _ time.Duration) {}
func (noObserver) Whole(_, _ string, _ time.Duration, _ bool) {}
func (noObserver) Refused(string)                             {}

func (builtIn) Classify(in ClassifyInput) string { return in.Class }
func (builtIn) Admit(ClassifyInput) string       { return "" }

// startServer serves on loopback and returns the server and its address.
func startServer(t *testing.T, d Dispatcher) (*Server, string) {
	t.Helper()
	k := snapshot.NewKeeper()
	k.SetConfig(&state.Config{
		Version:   1,
		Services:  []state.Service{{Name: "llm", Kind: state.KindEngine, Models: []string{"m"}}, {Name: "app", Kind: state.KindService}},
		Classes:   []state.Class{{Name: "chat", DeadlineMillis: 60000}},
		Customers: []state.Customer{{Name: "depot", KeySHA256: testSHA256, Class: "chat"}},
	})
	s, err := New(Options{
		Host: "h1", FailureDomain: "p", Keeper: k, Dispatcher: d, Estimator: noEstimates{},
		Answers:   answer.NewRegistry(wallclock.Clock{}, time.Minute, 50*time.Millisecond),
		Elsewhere: nobodyElsewhere{}, Observer: noObserver{}, Policies: builtIn{}, Log: slog.New(slog.DiscardHandler),
		Limits:        Limits{BodyBytes: 1 << 16, HeaderBytes: 4096, MaxTokens: 100, Connections: 1000},
		ProbeInterval: time.Minute, Isolated: func() bool { return false }, Ready: func() bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	return s, ln.Addr().String()
}

func ask(addr, path, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	return http.DefaultClient.Do(req)
}

// streamed reads a stream to its end and returns its text; cut if the end mark
// doesn't come.
func streamed(r *http.Response) string {
	defer r.Body.Close()
	var text strings.Builder
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String()
		}
		var c callerapi.Completion
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 {
			return "unreadable: " + data
		}
		text.WriteString(c.Choices[0].Text)
	}
	return "cut after " + text.String()
}

func whole(r *http.Response) string {
	defer r.Body.Close()
	var c callerapi.Completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Choices) != 1 {
		return fmt.Sprint("unreadable: ", err)
	}
	return c.Choices[0].Text
}

// TestHoldsShutdownCutsNothing stops a host with streams, whole answers and calls
// in every state, and looks only at what the callers get.
func TestHoldsShutdownCutsNothing(t *testing.T) {
	is := is.New(t)
	d := &gatedDispatcher{pass: make(chan struct{})}
	s, addr := startServer(t, d)
	const each = 8
	answers := make(chan string, 3*each)
	var callers sync.WaitGroup
	start := func(path, body string, read func(*http.Response) string) {
		for range each {
			callers.Go(func() {
				r, err := ask(addr, path, body)
				if err != nil {
					answers <- err.Error()
					return
				}
				answers <- read(r)
			})
		}
	}
	start("/v1/completions", `{"model":"m","prompt":"p","stream":true}`, streamed)
	start("/v1/completions", `{"model":"m","prompt":"p"}`, whole)
	start("/services/app/x", ``, func(r *http.Response) string {
		defer r.Body.Close()
		text, _ := io.ReadAll(r.Body)
		return string(text)
	})
	// Every model request counts twice while it runs: its work and its caller.
	for s.InFlight() < 5*each {
		time.Sleep(time.Millisecond)
	}
	const passesBefore = 100
	for range passesBefore {
		d.pass <- struct{}{}
	}

	s.Unready()
	ready, err := http.Get("http://" + addr + "/readyz")
	is.NoErr(err)
	is.Equal(ready.StatusCode, http.StatusServiceUnavailable)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	for s.phase.Load() != phaseRefusing {
		time.Sleep(time.Millisecond)
	}
	late, err := ask(addr, "/v1/completions", `{"model":"m","prompt":"late"}`)
	is.NoErr(err)
	is.Equal(late.StatusCode, http.StatusServiceUnavailable)
	is.Equal(late.Header.Get(callerapi.HeaderOutcome), callerapi.OutcomeNotRun)

	// Each model answer takes testTokens passes, each call one.
	const passes = 2*each*testTokens + each
	for range passes - passesBefore {
		select {
		case d.pass <- struct{}{}:
		case err := <-drained:
			t.Fatalf("the host stopped with requests in flight: %v", err)
		}
	}
	is.NoErr(<-drained)
	is.NoErr(s.Close())
	callers.Wait()
	close(answers)
	var want strings.Builder
	for i := range testTokens {
		fmt.Fprintf(&want, "t%d ", i)
	}
	got := map[string]int{}
	for a := range answers {
		got[a]++
	}
	is.Equal(got, map[string]int{want.String(): 2 * each, "done": each})
}

// TestCloseEndsConnectionsWithoutARequest: a caller that has connected and sent
// nothing yet, as HTTP clients do ahead of need, doesn't hold up the end.
func TestCloseEndsConnectionsWithoutARequest(t *testing.T) {
	is := is.New(t)
	s, addr := startServer(t, &gatedDispatcher{})
	silent, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer silent.Close()
	ready, err := http.Get("http://" + addr + "/readyz") // accepted after the silent one
	is.NoErr(err)
	is.NoErr(ready.Body.Close())

	is.NoErr(s.Drain(t.Context()))
	is.NoErr(s.Close())
	_, err = silent.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
}
