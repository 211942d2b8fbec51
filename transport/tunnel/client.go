package tunnel

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/state"
)

// replyTimeout is how long a host may take to connect to a runner and reply, beside the time of its own
// attempt.
const replyTimeout = 100 * time.Millisecond

// ClientOptions configures a Client. All fields are required.
type ClientOptions struct {
	Self state.HostID
	// Dial connects to another host's server of tunnels.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Addr returns the address of that server of a host.
	Addr func(peer state.Peer) (string, error)
	// DialTimeout bounds the other host's attempt to connect to a runner.
	DialTimeout time.Duration
	Log         *slog.Logger
}

// Client opens tunnels. It is safe for concurrent use.
type Client struct{ o ClientOptions }

// NewClient returns an error if an option is missing.
func NewClient(o ClientOptions) (*Client, error) {
	if o.Self.Zero() || o.Dial == nil || o.Addr == nil || o.DialTimeout <= 0 || o.Log == nil {
		return nil, errors.New("tunnel: a field of ClientOptions is missing; set all of them")
	}
	return &Client{o}, nil
}

// NotConnectedError says that the other host didn't connect to the runner.
type NotConnectedError struct {
	Peer  string
	Reply reach.Reply
}

// Error implements error.
func (e *NotConnectedError) Error() string {
	why := string(e.Reply.Evidence)
	if e.Reply.Refused {
		why = "it makes no connections for others now"
	}
	return fmt.Sprintf("host %s didn't connect to the runner (%s); ask another host", e.Peer, why)
}

// Open asks another host to connect to a runner. replied is false if the host can't be reached.
func (c *Client) Open(ctx context.Context, peer state.Peer, i *state.Instance) (conn *Conn, reply reach.Reply, replied bool, err error) {
	addr, err := c.o.Addr(peer)
	if err != nil {
		return nil, reply, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.DialTimeout+replyTimeout)
	defer cancel()
	raw, err := c.o.Dial(ctx, addr)
	if err != nil {
		return nil, reply, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	id := strconv.FormatUint(rand.Uint64(), 16)
	got, err := ask(raw, Request{Version: version, ID: id, From: c.o.Self.Name, Runner: i.ID.Name, Born: i.ID.Born})
	if !stop() {
		return nil, reply, false, ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, reply, false, err
	}
	reply = got.reach()
	if !got.Connected {
		_ = raw.Close()
		return nil, reply, true, &NotConnectedError{Peer: peer.Addr, Reply: reply}
	}
	c.o.Log.Info("connected to a runner through another host", "tunnel", id, "instance", i.ID, "peer", peer.Addr, "failure_domain", peer.FailureDomain, "load", reply.Load)
	return newConn(raw, id, peer.Addr), reply, true, nil
}

// ask sends the request and reads the reply.
func ask(raw net.Conn, q Request) (Reply, error) {
	var reply Reply
	if err := writeMessage(raw, q); err != nil {
		return reply, err
	}
	err := readMessage(raw, &reply)
	return reply, err
}
