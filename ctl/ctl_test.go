package ctl

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"

	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/operators"
)

// fakeBackend is a host with one engine and a configuration at version 7, in
// force at one of two hosts until the second look.
type fakeBackend struct {
	operators.Backend
	looks   int
	silent  bool
	written []byte
}

func (f *fakeBackend) Status(context.Context) operatorapi.Status {
	return operatorapi.Status{Host: state.HostID{Name: "h1"}, FailureDomain: "hall-nord", Ready: true, Standing: "member", ConfigVersion: 7}
}

func (f *fakeBackend) Upstreams(context.Context) []operatorapi.Upstream {
	return []operatorapi.Upstream{{Upstream: state.Upstream{Name: "e1", Service: "llm"}, Drained: true, Breaker: "closed", ReportAgeMillis: -1}}
}

func (f *fakeBackend) Config(context.Context) (operatorapi.ConfigObject, error) {
	return operatorapi.ConfigObject{Version: 7, Value: []byte(`{"services":[],"classes":[],"customers":[]}`)}, nil
}

func (f *fakeBackend) Edit(_ context.Context, base uint64, value []byte) (uint64, error) {
	if base != 7 {
		return 0, &operators.Error{Status: http.StatusConflict, Kind: "edit_conflict", Message: "the edit was made on version 6, but version 7 is present; read that one"}
	}
	f.written = value
	return 8, nil
}

func (f *fakeBackend) ConfigStatus(context.Context) operatorapi.ConfigStatus {
	f.looks++
	second := operatorapi.HostConfig{Host: state.HostID{Name: "h2"}, Version: 7, Answers: !f.silent}
	if f.looks > 1 && !f.silent {
		second.Version = 8
	}
	return operatorapi.ConfigStatus{Accepted: 8, Hosts: []operatorapi.HostConfig{{Host: state.HostID{Name: "h1"}, Version: 8, Answers: true}, second}}
}

func (f *fakeBackend) Request(_ context.Context, engine string, r operatorapi.OrderRequest) (state.Order, error) {
	if engine != "e1" {
		return state.Order{}, &operators.Error{Status: http.StatusNotFound, Kind: "unknown_engine", Message: "no engine; see thymectl upstreams"}
	}
	return state.Order{Engine: engine, State: state.OrderDraining, Fence: 3, Desired: state.Target{Role: r.Role, Model: "m"}}, nil
}

func (f *fakeBackend) WhyRequest(_ context.Context, id, _ string) (operatorapi.Why, error) {
	return operatorapi.Why{Subject: id, Sentences: []string{"it went to e1: it has the lowest predicted time"}, Silent: []string{"h2"}}, nil
}

func (f *fakeBackend) Metrics(w io.Writer) { _, _ = io.WriteString(w, "thymerack_ready 1\n") }

// serve mounts the operators' calls on loopback and returns the address.
func serve(t *testing.T, b operators.Backend, tokenFile string) string {
	t.Helper()
	tokens, err := operators.NewTokens(tokenFile)
	if err != nil {
		t.Fatal(err)
	}
	api, err := operators.New(b, tokens)
	if err != nil {
		t.Fatal(err)
	}
	app := fiber.New()
	api.Mount(app)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() { _ = app.ShutdownWithTimeout(time.Second) })
	return ln.Addr().String()
}

// ctl runs a command line and returns its output and exit code.
func ctl(t *testing.T, addr, token, in string, words ...string) (string, int) {
	t.Helper()
	var f Flags
	p, err := arg.NewParser(arg.Config{}, &f)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Parse(words); err != nil {
		return err.Error(), ExitUsage
	}
	var out bytes.Buffer
	tool := &Tool{Client: NewClient(addr, token), Out: &out, Progress: &out, In: strings.NewReader(in), JSON: f.Output == "json"}
	err = tool.Run(t.Context(), f)
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), ExitCode(err)
}

func TestCommands(t *testing.T) {
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name  string
		words []string
		says  string
		code  int
	}{
		{"status", []string{"status"}, "host h1/ in hall-nord, member", ExitOK},
		{"upstreams", []string{"upstreams"}, "drained", ExitOK},
		{"json", []string{"-o", "json", "upstreams"}, `"report_age_ms": -1`, ExitOK},
		{"bad output", []string{"-o", "yaml", "status"}, "use table or json", ExitUsage},
		{"no command", nil, "see thymectl --help", ExitUsage},
		{"apply waits until it is in force everywhere", []string{"config", "apply", config, "--base", "7"}, "version 8 is in force", ExitOK},
		{"apply on an old version", []string{"config", "apply", config, "--base", "6"}, "version 7 is present", ExitConflict},
		{"apply without a version", []string{"config", "apply", config}, "BASE is required", ExitUsage},
		{"missing file", []string{"config", "apply", config + "x", "--base", "7"}, "check the path", ExitUsage},
		{"role", []string{"role", "e1", "decode"}, "draining, to become decode", ExitOK},
		{"unknown engine", []string{"drain", "e9"}, "see thymectl upstreams", ExitFailed},
		{"why", []string{"why", "request", "r1"}, "host h2 did not answer", ExitOK},
		{"policies that are no list", []string{"policy", "apply", config, "--base", "7"}, "not a list of policies", ExitUsage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			out, code := ctl(t, serve(t, &fakeBackend{}, ""), "", "", c.words...)
			is.Equal(code, c.code)
			if !strings.Contains(out, c.says) {
				t.Errorf("%q does not say %q", out, c.says)
			}
		})
	}
}

func TestEditThatIsNotInForceEverywhereSaysWhere(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{silent: true}
	out, code := ctl(t, serve(t, b, ""), "", `{"a":1}`, "config", "edit", "--base", "7", "--wait", "1ms")
	is.Equal(code, ExitNotEverywhere)
	is.True(strings.Contains(out, "h2 (silent)"))
	is.Equal(string(b.written), `{"a":1}`)
}

func TestOperatorsNeedAToken(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "tokens")
	is.NoErr(os.WriteFile(file, []byte("first\nsecond\n"), 0o600))
	addr := serve(t, &fakeBackend{}, file)
	_, code := ctl(t, addr, "second", "", "status")
	is.Equal(code, ExitOK)
	out, code := ctl(t, addr, "third", "", "status")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(out, "--token"))
	_, err := operators.NewTokens(file + "x")
	is.True(err != nil)
}

func TestUnreachableHost(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	out, code := ctl(t, addr, "", "", "status")
	is.Equal(code, ExitUnreachable)
	is.True(strings.Contains(out, "--host"))
}
