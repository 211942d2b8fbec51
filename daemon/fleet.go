package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/thymerack/thymerack/coordination/claim"
	"github.com/thymerack/thymerack/coordination/member"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/elsewhere"
	"github.com/thymerack/thymerack/transport/peer"
)

// maxLocated bounds the directory of answers that this host keeps for others.
const maxLocated = 100000

// newFleet makes the connections to other hosts and the membership.
func (d *Daemon) newFleet() error {
	key, err := readKey(d.settings.Peers.KeyFile)
	if err != nil {
		return err
	}
	if len(key) == 0 {
		d.log.Warn("hosts show each other no key; this is allowed on loopback only")
	}
	frame := d.settings.Peers.FrameBytes
	d.peers, err = peer.NewClient(peer.ClientOptions{Self: d.id, Key: key, MaxBodyBytes: frame, Log: d.log})
	if err != nil {
		return err
	}
	d.peerServer, err = peer.NewServer(peer.ServerOptions{Self: d.id, Key: key, MaxBodyBytes: frame, Log: d.log})
	if err != nil {
		return err
	}
	return d.newMembership()
}

// readKey reads the hosts' shared key; no file means no key.
func readKey(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("peers.key_file can't be read (%w); check the path and its permissions", err)
	}
	key := []byte(strings.TrimSpace(string(text)))
	if len(key) == 0 {
		return nil, fmt.Errorf("peers.key_file %s is empty; write the hosts' shared key into it", path)
	}
	return key, nil
}

func (d *Daemon) newMembership() error {
	heard := &heardStore{store: d.platform, clock: d.clock}
	s := d.settings
	var err error
	d.member, err = member.New(member.Options{
		Self: state.Member{
			ID: d.id, FailureDomain: s.Host.FailureDomain, PeerAddr: s.Peers.AdvertisedAddr(), CallerAddr: s.Callers.Listen, RegisteredAt: d.clock.Now(),
		},
		Store: heard, Peers: &fleetPeers{d.peers}, Keeper: d.keeper, Clock: d.clock, Seed: d.rnd.Uint64(),
		Seeds: s.Peers.SeedList(), GossipInterval: s.Peers.Interval, IsolatedAfter: s.Peers.IsolatedAfter,
		Relist: func(ctx context.Context) error {
			_, _, err := heard.List(ctx, store.KindOrder)
			return err
		},
		OnConfigVersion: d.hintConfig, Log: d.log,
	})
	if err != nil {
		return err
	}
	heard.member = d.member
	d.store = heard
	d.add("membership", d.member.Run)
	d.peerServer.Handle(peerapi.KindDigest, peer.HandleMsg(func(_ context.Context, from state.HostID, g member.Digest) (member.Digest, error) {
		return d.member.Receive(from, g), nil
	}))
	d.peerServer.Handle(peerapi.KindOrders, peer.HandleMsg(func(_ context.Context, _ state.HostID, r member.OrdersRequest) (member.OrdersReply, error) {
		return d.member.OrdersAfter(r), nil
	}))
	d.peerServer.Handle(peerapi.KindSponsor, peer.HandleMsg(func(_ context.Context, from state.HostID, r member.SponsorRequest) (member.SponsorView, error) {
		return d.member.Sponsor(from, r)
	}))
	return nil
}

func (d *Daemon) newElsewhere() error {
	var err error
	d.elsewhere, err = elsewhere.New(elsewhere.Options{
		Self: d.id, Fleet: d.member, Client: d.peers, Answers: d.answers, Log: d.log,
		Keep: 2 * state.MaxDeadline, MaxEntries: maxLocated,
	})
	if err != nil {
		return err
	}
	d.elsewhere.Mount(d.peerServer)
	return nil
}

// fleetPeers implements member.Peers over the peers' connections.
type fleetPeers struct{ client *peer.Client }

// Exchange implements member.Peers.
func (p *fleetPeers) Exchange(ctx context.Context, to state.Member, g member.Digest) (member.Digest, error) {
	return peer.CallMsg[member.Digest, member.Digest](ctx, p.client, to.PeerAddr, peerapi.KindDigest, g)
}

// Orders implements member.Peers.
func (p *fleetPeers) Orders(ctx context.Context, to state.Member, r member.OrdersRequest) (member.OrdersReply, error) {
	return peer.CallMsg[member.OrdersRequest, member.OrdersReply](ctx, p.client, to.PeerAddr, peerapi.KindOrders, r)
}

// Sponsor implements member.Peers.
func (p *fleetPeers) Sponsor(ctx context.Context, to state.Member, r member.SponsorRequest) (member.SponsorView, error) {
	return peer.CallMsg[member.SponsorRequest, member.SponsorView](ctx, p.client, to.PeerAddr, peerapi.KindSponsor, r)
}

// claimForwarder implements claim.Forwarder over the peers' connections.
type claimForwarder struct{ d *Daemon }

// Forward implements claim.Forwarder.
func (f *claimForwarder) Forward(ctx context.Context, to state.HostID, entries []claim.Entry) ([]claim.Result, error) {
	m, ok := f.d.member.Member(to)
	if !ok {
		return nil, fmt.Errorf("%w: the address of %s is not known", claim.ErrNotForwarded, to)
	}
	results, err := peer.CallMsg[[]claim.Entry, []claim.Result](ctx, f.d.peers, m.PeerAddr, peerapi.KindClaims, entries)
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) && !unreachable.MaybeSent {
		return nil, fmt.Errorf("%w: %w", claim.ErrNotForwarded, err)
	}
	return results, err
}

// handleClaims writes claims for other hosts.
func (d *Daemon) handleClaims(c *claim.Claimer) {
	d.peerServer.Handle(peerapi.KindClaims, peer.HandleMsg(func(ctx context.Context, _ state.HostID, entries []claim.Entry) ([]claim.Result, error) {
		return c.Commit(ctx, entries)
	}))
}
