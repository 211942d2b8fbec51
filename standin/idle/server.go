package idle

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
)

// Server serves the runners of a list, each at its own address.
type Server struct {
	lag    time.Duration
	byPort map[int]*runner
	counts counts
}

// NewServer takes the rows of engines and services; rows of hosts are left out.
// An engine has the model of its service's name. lag is the age of the load
// reports.
func NewServer(rows []state.Listed, lag time.Duration) (*Server, error) {
	s := &Server{lag: lag, byPort: map[int]*runner{}}
	for _, row := range rows {
		if row.Kind == state.ListedHost {
			continue
		}
		addr, err := net.ResolveTCPAddr("tcp", row.Addr)
		if err != nil {
			return nil, fmt.Errorf("address of runner %q: %w; write it as ip:port", row.Name, err)
		}
		s.byPort[addr.Port] = newRunner(row, row.Service)
	}
	if len(s.byPort) == 0 {
		return nil, errors.New("the list names no engine and no service; write one with standin fleet")
	}
	return s, nil
}

// Usage returns what hosts spent on the runners since the start.
func (s *Server) Usage() Usage { return s.counts.usage(len(s.byPort)) }

// Run listens at every runner's address and serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listeners, err := s.listen()
	defer closeAll(listeners)
	if err != nil {
		return err
	}
	server := &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	var group conc.WaitGroup
	for _, l := range listeners {
		group.Go(func() { _ = server.Serve(l) })
	}
	<-ctx.Done()
	closeAll(listeners)
	err = server.Shutdown()
	group.Wait()
	return err
}

func (s *Server) listen() ([]net.Listener, error) {
	var out []net.Listener
	for _, r := range s.byPort {
		l, err := net.Listen("tcp", r.row.Addr)
		if err != nil {
			return out, fmt.Errorf("listen at %s for %s: %w; choose free ports", r.row.Addr, r.row.Name, err)
		}
		out = append(out, countedListener{l, &s.counts})
	}
	return out, nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

// handle finds the runner by the port that the call came to.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.counts.calls.Add(1)
	addr, ok := ctx.LocalAddr().(*net.TCPAddr)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	r := s.byPort[addr.Port]
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetStatusCode(fasthttp.StatusOK)
	case "/v1/load":
		writeJSON(ctx, r.load(time.Now(), s.lag))
	case "/v1/cache/events":
		writeJSON(ctx, engineapi.CacheEvents{Events: []engineapi.CacheEvent{}})
	case "/v1/orders":
		s.order(ctx, r)
	case "/stats":
		writeJSON(ctx, s.Usage())
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		writeJSON(ctx, engineapi.Problem{Error: "this stand-in is idle and takes no work; use standin engine"})
	}
}

func (s *Server) order(ctx *fasthttp.RequestCtx, r *runner) {
	if !ctx.IsPost() {
		writeJSON(ctx, r.show())
		return
	}
	var o engineapi.OrderRequest
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		writeJSON(ctx, engineapi.Problem{Error: err.Error()})
		return
	}
	if !r.order(o) {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		writeJSON(ctx, engineapi.Problem{Error: "the order's fence is old; drop it and read the order object again"})
		return
	}
	writeJSON(ctx, r.show())
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}
