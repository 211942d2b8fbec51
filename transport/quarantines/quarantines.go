// Package quarantines carries what hosts tell each other of requests that crash runners.
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

// topic is that of the notices.
const topic fanout.Topic = "quarantine"

// notice is a quarantine.Notice.
type notice struct {
	Crashes  []crash       `msgpack:"c,omitempty"`
	Held     []heldRequest `msgpack:"h,omitempty"`
	Answered [][]byte      `msgpack:"a,omitempty"`
}

// crash is the end of one run of a runner.
type crash struct {
	Runner   string    `msgpack:"n"`
	Born     int64     `msgpack:"b,omitempty"`
	Host     string    `msgpack:"h"`
	AtMS     int64     `msgpack:"t"`
	Suspects []suspect `msgpack:"s"`
}

// suspect is a request that ran there.
type suspect struct {
	Digest    []byte `msgpack:"d"`
	RequestID string `msgpack:"i"`
	// AgeMS is how long ago it was sent to the runner.
	AgeMS          int64 `msgpack:"g,omitempty"`
	LongRunning    bool  `msgpack:"l,omitempty"`
	AnsweredBefore bool  `msgpack:"p,omitempty"`
}

// heldRequest is a request that is heldRequest, with the crashes that speak against it.
type heldRequest struct {
	Digest  []byte  `msgpack:"d"`
	Crashes []crash `msgpack:"c"`
}

// errDigestSize says that a digest has the wrong size.
var errDigestSize = errors.New("quarantines: a digest of another size; run the same version on all hosts")

// Publish tells all hosts.
func Publish(ctx context.Context, n *fanout.Node, q quarantine.Notice) error {
	body, err := msgpack.Marshal(encode(q))
	if err != nil {
		return err
	}
	n.Publish(ctx, topic, body)
	return nil
}

// Subscribe takes what all hosts tell, this one too.
func Subscribe(n *fanout.Node, handle func(quarantine.Notice), log *slog.Logger) {
	n.Subscribe(topic, func(body []byte) {
		var m notice
		err := packed.Decode(body, &m)
		var q quarantine.Notice
		if err == nil {
			q, err = m.decode()
		}
		if err != nil {
			log.Warn("notice of crashes not readable", "cause", err.Error())
			return
		}
		handle(q)
	})
}

// sendResponse answers a notice that was sent to one host.
type sendResponse struct{}

// Register lets the server take what peers tell by Tell.
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

// Send tells the host at addr, where hosts have no notices for all.
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
				Suspects: []suspect{{Digest: h.Digest[:], RequestID: e.RequestID}},
			})
		}
		m.Held = append(m.Held, out)
	}
	for _, d := range q.Answered {
		m.Answered = append(m.Answered, d[:])
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
	for _, raw := range m.Answered {
		d, err := decodeDigest(raw)
		if err != nil {
			return q, err
		}
		q.Answered = append(q.Answered, d)
	}
	return q, nil
}

func (h heldRequest) evidence() []quarantine.Evidence {
	var out []quarantine.Evidence
	for _, c := range h.Crashes {
		e := quarantine.Evidence{Runner: c.Runner, Born: c.Born, Host: c.Host, At: time.UnixMilli(c.AtMS)}
		if len(c.Suspects) > 0 {
			e.RequestID = c.Suspects[0].RequestID
		}
		out = append(out, e)
	}
	return out
}

// maxRequestAge is above the age of every request that can have run at a crash.
const maxRequestAge = time.Hour

// sendTime is when a request of that age was sent.
func sendTime(ageMS int64) time.Time {
	age := min(max(0, ageMS), maxRequestAge.Milliseconds())
	return wallclock.Now().Add(-time.Duration(age) * time.Millisecond)
}

func decodeDigest(raw []byte) (quarantine.Digest, error) {
	var d quarantine.Digest
	if len(raw) != len(d) {
		return d, errDigestSize
	}
	return quarantine.Digest(raw), nil
}
