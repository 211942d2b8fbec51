package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/standin/engine"
	"github.com/thymerack/thymerack/standin/serving"
	"github.com/thymerack/thymerack/state"
)

// served is an engine behind HTTP.
type served struct {
	*engine.Engine
	addr string
}

// serve runs an engine and its server until the test ends.
func serve(t *testing.T, o engine.Options) served {
	t.Helper()
	e := start(t, o)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serving.Serve(ctx, engine.NewServer(e).App(), listener) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return served{e, listener.Addr().String()}
}

// fast are an engine's options with steps that take next to no time.
func fast(name string) engine.Options {
	o := options(name)
	o.PrefillTokensPerSecond = 1e9
	o.DecodeBase = time.Microsecond
	o.DecodePerSequence = 0
	o.KVBytesPerSecond = 1e15
	return o
}

// stuck are the options of an engine that never gets to a second token.
func stuck(name string) engine.Options {
	o := fast(name)
	o.DecodeBase = time.Hour
	return o
}

func (s served) post(t *testing.T, path string, body any) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+s.addr+path, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// stream asks for a stream and returns its chunks, whether the end mark came,
// and the error of the body.
func (s served) stream(t *testing.T, r engineapi.GenerateRequest) ([]engineapi.Chunk, bool, error) {
	t.Helper()
	r.Stream = true
	body, err := io.ReadAll(s.post(t, "/v1/completions", r).Body)
	var chunks []engineapi.Chunk
	for line := range strings.Lines(string(body)) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == engineapi.DoneMark {
			return chunks, true, err
		}
		var c engineapi.Chunk
		if e := json.Unmarshal([]byte(data), &c); e != nil {
			t.Fatal(e)
		}
		chunks = append(chunks, c)
	}
	return chunks, false, err
}

func TestStreamHoldsEveryTokenAndTheEndMark(t *testing.T) {
	is := is.New(t)
	s := serve(t, fast("e1"))
	chunks, ended, err := s.stream(t, ask("hello", "a1"))
	is.NoErr(err)
	is.True(ended)
	is.Equal(len(chunks), 10)
	for i, c := range chunks {
		is.Equal(c.Seq, i)
		is.Equal(c.Attempt, "a1")
	}
	is.Equal(*chunks[9].Choices[0].FinishReason, "length")
}

func TestFaultsOfStreams(t *testing.T) {
	is := is.New(t)
	s := serve(t, fast("e1"))
	with := func(f engine.Fault) ([]engineapi.Chunk, bool, error) {
		is.NoErr(s.SetFault(engine.Fault{Fault: engine.FaultReset}))
		is.NoErr(s.SetFault(f))
		return s.stream(t, ask("hello", "a1"))
	}
	chunks, ended, _ := with(engine.Fault{Fault: engine.FaultDoubleEvents})
	is.Equal(len(chunks), 20)
	is.True(ended)

	chunks, ended, _ = with(engine.Fault{Fault: engine.FaultReorderEvents})
	is.Equal([]int{chunks[0].Seq, chunks[1].Seq}, []int{1, 0})
	is.Equal(len(chunks), 10)
	is.True(ended)

	chunks, _, _ = with(engine.Fault{Fault: engine.FaultWrongAnswer})
	is.True(chunks[0].Attempt != "a1")

	chunks, ended, err := with(engine.Fault{Fault: engine.FaultCutAfter, Tokens: 3, Clean: true})
	is.Equal(len(chunks), 3)
	is.True(!ended)
	is.NoErr(err)

	_, ended, err = with(engine.Fault{Fault: engine.FaultCutAfter, Tokens: 3})
	is.True(!ended)
	is.True(err != nil) // the connection broke
}

// TestCutStreamHoldsTheEventsBefore: what an engine gave out before it breaks off
// reaches the caller, head and events alike.
func TestCutStreamHoldsTheEventsBefore(t *testing.T) {
	is := is.New(t)
	s := serve(t, fast("e1"))
	is.NoErr(s.SetFault(engine.Fault{Fault: engine.FaultCutAfter, Tokens: 3}))
	const rounds = 200
	for range rounds {
		chunks, ended, err := s.stream(t, ask("hello", "a1"))
		is.Equal(len(chunks), 3)
		is.True(!ended)
		is.True(err != nil) // the connection broke
	}
}

func TestOrderCutsStreamsWithoutEndMark(t *testing.T) {
	is := is.New(t)
	s := serve(t, stuck("e1"))
	r := ask("hello", "a1")
	r.Stream = true
	body := s.post(t, "/v1/completions", r).Body
	one := make([]byte, 1)
	_, err := io.ReadFull(body, one) // the first token is on its way
	is.NoErr(err)
	order := engineapi.OrderRequest{Engine: "e1", Fence: 1, Target: state.Target{Role: state.RoleDecode, Model: model}}
	is.Equal(s.post(t, "/v1/orders", order).StatusCode, http.StatusOK)
	rest, err := io.ReadAll(body)
	is.True(err != nil)
	is.True(!strings.Contains(string(rest), engineapi.DoneMark))
	is.Equal(s.post(t, "/v1/completions", r).StatusCode, http.StatusServiceUnavailable)
}

func TestLostCallerCancels(t *testing.T) {
	is := is.New(t)
	s := serve(t, stuck("e1"))
	r := ask("hello", "a1")
	r.Stream = true
	is.NoErr(s.post(t, "/v1/completions", r).Body.Close())
	for s.Show().InFlight > 0 {
		// The engine looks at the connection every few milliseconds.
		is.NoErr(t.Context().Err())
	}
	is.Equal(s.Stats().Cancelled, int64(1))
}

func TestKVCacheGoesFromEngineToEngine(t *testing.T) {
	is := is.New(t)
	first, second := serve(t, fast("e1")), serve(t, fast("e2"))
	r := ask(words("w", 500), "a1")
	var kv engineapi.PrefillAnswer
	is.NoErr(json.NewDecoder(first.post(t, "/v1/prefill", r).Body).Decode(&kv))
	is.Equal(kv.PromptTokens, 500)

	r.KVSource, r.KVHandle = first.addr, kv.Handle
	chunks, ended, err := second.stream(t, r)
	is.NoErr(err)
	is.True(ended)
	is.Equal(len(chunks), 10)
	is.Equal(second.Stats().PrefillTokens, int64(1))

	r.Prompt = "another prompt"
	is.Equal(second.post(t, "/v1/completions", r).StatusCode, http.StatusGone)
	r.KVHandle = "gone"
	is.Equal(second.post(t, "/v1/completions", r).StatusCode, http.StatusGone)
}
