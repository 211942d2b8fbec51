// Package fanouttest provides a fanout.Node for tests of packages that publish notices.
package fanouttest

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/state"
)

// noPeers implements fanout.Peers for a host without peers: every call fails.
type noPeers struct{}

func (noPeers) Fetch(context.Context, string, fanout.Request) (fanout.Response, error) {
	return fanout.Response{}, context.Canceled
}

func (noPeers) SendNotice(context.Context, string, fanout.Notice) error { return context.Canceled }

// NewNode returns a node without peers. It receives only the notices that it publishes itself and
// those that the test delivers.
func NewNode(t *testing.T) *fanout.Node {
	t.Helper()
	n, err := fanout.New(fanout.Options{
		Self: state.Peer{Addr: "h"}, RunID: "h-1", Hosts: func() []state.Peer { return nil }, Copies: map[string]*follow.Mirror{"a": nil},
		Peers: noPeers{}, Clock: clocktest.Bubble{}, Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler), Delays: propagation.New(propagation.Bounds{}),
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}
