package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// table returns the table of one host with a route for each prefix.
func table(prefixes ...string) *Table {
	c := &state.RoutingConfig{Version: 3}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, state.Route{Name: p, Host: "A.example", Prefix: p, Backends: []state.Backend{{Service: "s", Weight: 1}}})
	}
	return NewTable(c)
}

func TestRouteSelectsTheLongestPrefix(t *testing.T) {
	tb := table("/a/", "/a/b/", "/a/b/c/", "/x/")
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/a/z", "/a/"},
		{"a.example", "/a/b/z?q=/a/b/c/", "/a/b/"},
		{"a.example:8080", "/a/b/c/", "/a/b/c/"},
		{"A.EXAMPLE", "/x/", "/x/"},
		{"a.example", "/a", ""},
		{"a.example", "/ab/", ""},
		{"b.example", "/a/z", ""},
		{"a.example", "/a/b?x=/", "/a/"},
	} {
		is := is.New(t)
		r := tb.Route(c.host, c.path)
		if c.want == "" {
			is.True(r == nil)
			continue
		}
		is.True(r != nil)
		is.Equal(r.Name, c.want)
	}
}

func TestBackendSplitsARouteByWeight(t *testing.T) {
	is := is.New(t)
	r := &state.Route{Backends: []state.Backend{{Service: "a", Weight: 900}, {Service: "b", Weight: 100}, {Service: "c", Weight: 0}}}
	got := map[string]int{}
	const n = 10_000
	for i := range n {
		id := fmt.Sprintf("request-%d", i)
		service := Backend(r, id)
		got[service]++
		is.Equal(service, Backend(r, id)) // the same request goes to the same service
	}
	is.True(got["b"] > n/20 && got["b"] < n/5)
	is.Equal(got["c"], 0)
}

func BenchmarkRouteAmongThousand(b *testing.B) {
	var prefixes []string
	for i := range 1000 {
		prefixes = append(prefixes, fmt.Sprintf("/p%04d/", i))
	}
	tb := table(prefixes...)
	for b.Loop() {
		if tb.Route("a.example", "/p0500/x") == nil {
			b.Fatal("no route")
		}
	}
}
