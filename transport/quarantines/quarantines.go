// Package quarantines carries quarantine notices between hosts: crashes of runners and the requests
// suspected of causing them.
package quarantines

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
	"github.com/thymerack/thymerack/transport/peer"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// topic is the fanout topic of the notices.
const topic fanout.Topic = "quarantine"

// notice is a quarantine.Notice on the wire. Answered and Trials hold digests.
type notice struct {
	Crashes  []crash       `msgpack:"c,omitempty"`
	Held     []heldRequest `msgpack:"h,omitempty"`
	Answered [][]byte      `msgpack:"a,omitempty"`
	Trials   [][]byte      `msgpack:"t,omitempty"`
}

// crash is a quarantine.Crash: the crash of one run of a runner, as noticed by Host. Born and AtMS
// are the times of the run's start and of the crash, in Unix milliseconds.
type crash struct {
	Runner   string    `msgpack:"n"`
	Born     int64     `msgpack:"b,omitempty"`
	Host     string    `msgpack:"h"`
	AtMS     int64     `msgpack:"t"`
	Suspects []suspect `msgpack:"s"`
	// Trial is quarantine.Evidence.Trial.
	Trial bool `msgpack:"o,omitempty"`
}

// suspect is a request that was running on the runner when it crashed.
type suspect struct {
	Digest    []byte `msgpack:"d"`
	RequestID string `msgpack:"i"`
	// AgeMS is how long ago the request was sent to the runner, in milliseconds. An age is sent
	// because the clocks of hosts differ.
	AgeMS          int64 `msgpack:"g,omitempty"`
	LongRunning    bool  `msgpack:"l,omitempty"`
	AnsweredBefore bool  `msgpack:"p,omitempty"`
}

// heldRequest is a quarantined request with the crashes counted against it.
type heldRequest struct {
	Digest  []byte  `msgpack:"d"`
	Crashes []crash `msgpack:"c"`
}

// errDigestSize reports a digest of the wrong size, as sent by a host of another version.
var errDigestSize = errors.New("quarantines: a digest of another size; run the same version on all hosts")

// Publish sends a notice to all hosts.
func Publish(ctx context.Context, n *fanout.Node, q quarantine.Notice) error {
	body, err := msgpack.Marshal(encode(q))
	if err != nil {
		return err
	}
	n.Publish(ctx, topic, body)
	return nil
}

// Subscribe calls handle with the notices of all hosts, including this one.
func Subscribe(n *fanout.Node, handle func(quarantine.Notice), log *slog.Logger) {
	n.Subscribe(topic, func(body []byte) {
		var m notice
		err := packed.Decode(body, &m)
		var q quarantine.Notice
		if err == nil {
			q, err = m.decode()
		}
		if err != nil {
			log.Warn("invalid quarantine notice", "cause", err.Error())
			return
		}
		handle(q)
	})
}

// sendResponse is the empty response to a notice sent by Send.
type sendResponse struct{}

// Register makes s pass the notices that peers send by Send to handle.
func Register(s *peer.Server, handle func(quarantine.Notice)) {
	s.Handle(peerapi.KindCrash, peer.HandleMsg(func(_ context.Context, _ state.HostID, m notice) (sendResponse, error) {
		q, err := m.decode()
		if err != nil {
			return sendResponse{}, err
		}
		handle(q)
		return sendResponse{}, nil
	}))
}

// Send sends a notice to the host at addr. It is for hosts without a fanout node, which can't
// use Publish.
func Send(ctx context.Context, c *peer.Client, addr string, q quarantine.Notice) error {
	_, err := peer.CallMsg[notice, sendResponse](ctx, c, addr, peerapi.KindCrash, encode(q))
	return err
}

func encode(q quarantine.Notice) notice {
	var m notice
	for _, c := range q.Crashes {
		out := crash{Runner: c.Run.Name, Born: c.Run.Born, Host: c.Host, AtMS: c.At.UnixMilli()}
		for _, s := range c.Suspects {
			out.Suspects = append(out.Suspects, suspect{s.Digest[:], s.RequestID, wallclock.Since(s.SentAt).Milliseconds(), s.LongRunning, s.AnsweredBefore})
		}
		m.Crashes = append(m.Crashes, out)
	}
	for _, h := range q.Held {
		out := heldRequest{Digest: h.Digest[:]}
		for _, e := range h.Evidence {
			out.Crashes = append(out.Crashes, crash{
				Runner: e.Runner, Born: e.Born, Host: e.Host, AtMS: e.At.UnixMilli(),
				Suspects: []suspect{{Digest: h.Digest[:], RequestID: e.RequestID}}, Trial: e.Trial,
			})
		}
		m.Held = append(m.Held, out)
	}
	for _, d := range q.Answered {
		m.Answered = append(m.Answered, d[:])
	}
	for _, d := range q.Trials {
		m.Trials = append(m.Trials, d[:])
	}
	return m
}

func (m notice) decode() (quarantine.Notice, error) {
	var q quarantine.Notice
	for _, c := range m.Crashes {
		out := quarantine.Crash{Run: state.InstanceID{Name: c.Runner, Born: c.Born}, Host: c.Host, At: time.UnixMilli(c.AtMS)}
		for _, s := range c.Suspects {
			d, err := decodeDigest(s.Digest)
			if err != nil {
				return q, err
			}
			out.Suspects = append(out.Suspects, quarantine.Suspect{Digest: d, RequestID: s.RequestID, SentAt: sendTime(s.AgeMS), LongRunning: s.LongRunning, AnsweredBefore: s.AnsweredBefore})
		}
		q.Crashes = append(q.Crashes, out)
	}
	for _, h := range m.Held {
		d, err := decodeDigest(h.Digest)
		if err != nil {
			return q, err
		}
		q.Held = append(q.Held, quarantine.HeldRequest{Digest: d, Evidence: h.evidence()})
	}
	var err error
	if q.Answered, err = decodeDigests(m.Answered); err != nil {
		return q, err
	}
	q.Trials, err = decodeDigests(m.Trials)
	return q, err
}

func (h heldRequest) evidence() []quarantine.Evidence {
	var out []quarantine.Evidence
	for _, c := range h.Crashes {
		e := quarantine.Evidence{Runner: c.Runner, Born: c.Born, Host: c.Host, At: time.UnixMilli(c.AtMS), Trial: c.Trial}
		if len(c.Suspects) > 0 {
			e.RequestID = c.Suspects[0].RequestID
		}
		out = append(out, e)
	}
	return out
}

// maxRequestAge bounds the ages that peers report. No request runs for so long.
const maxRequestAge = time.Hour

// sendTime returns the time by this host's clock at which a request of the given age was sent.
func sendTime(ageMS int64) time.Time {
	age := min(max(0, ageMS), maxRequestAge.Milliseconds())
	return wallclock.Now().Add(-time.Duration(age) * time.Millisecond)
}

func decodeDigests(raw [][]byte) ([]quarantine.Digest, error) {
	var out []quarantine.Digest
	for _, r := range raw {
		d, err := decodeDigest(r)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

func decodeDigest(raw []byte) (quarantine.Digest, error) {
	var d quarantine.Digest
	if len(raw) != len(d) {
		return d, errDigestSize
	}
	return quarantine.Digest(raw), nil
}
