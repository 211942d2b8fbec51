package daemon

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/thymerack/thymerack/coordination/explain"
	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/front"
	"github.com/thymerack/thymerack/transport/peer"
)

// Bounds of one question.
const (
	// maxAsked bounds the hosts asked at once for what they remember.
	maxAsked = 64
	// askTimeout bounds the answer of one host.
	askTimeout = 2 * time.Second
)

// explainQuestion asks a host for its records about a subject.
type explainQuestion struct {
	Subject string `msgpack:"s"`
}

// explainAnswer holds them.
type explainAnswer struct {
	Decisions []state.Decision `msgpack:"d"`
}

func (d *Daemon) handleExplain() {
	d.peerServer.Handle(peerapi.KindExplain, peer.HandleMsg(func(_ context.Context, _ state.HostID, q explainQuestion) (explainAnswer, error) {
		return explainAnswer{Decisions: d.book.Find(q.Subject)}, nil
	}))
}

// WhyRequest implements operators.Backend: from the hosts' memory first, and
// from the batches at the platform for a host that is gone. An id made by a host
// names it; for a caller's own id the operator names the host.
func (b *backend) WhyRequest(ctx context.Context, id, host string) (operatorapi.Why, error) {
	why := b.ask(ctx, id)
	if host == "" {
		host = front.HostOfID(id)
	}
	if len(why.Decisions) == 0 && host != "" {
		found, err := explain.Search(ctx, b.d.store, host, id, timeOfID(id), explainInterval)
		if err != nil {
			return why, fmt.Errorf("no live host remembers the request and the platform's batches can't be read (%w); try again later", err)
		}
		why.Decisions = found
	}
	why.Sentences = sentences(why.Decisions)
	return why, nil
}

// WhyEngine implements operators.Backend.
func (b *backend) WhyEngine(ctx context.Context, engine string) (operatorapi.Why, error) {
	u, err := b.d.engineNamed(engine)
	if err != nil {
		return operatorapi.Why{}, err
	}
	why := b.ask(ctx, engine)
	if o, err := b.d.desk.Get(ctx, engine); err == nil {
		why.Sentences = append(why.Sentences, fmt.Sprintf("%s of %s is %s under fence %d: %s", engine, u.Service, o.State, o.Fence, o.Reason))
	}
	why.Sentences = append(why.Sentences, sentences(why.Decisions)...)
	return why, nil
}

// ask collects what live hosts remember about a subject.
func (b *backend) ask(ctx context.Context, subject string) operatorapi.Why {
	out := operatorapi.Why{Subject: subject, At: b.now(), Decisions: b.d.book.Find(subject), AskedHosts: 1}
	type reply struct {
		host string
		got  explainAnswer
		err  error
	}
	asked := 0
	replies := make(chan reply, maxAsked)
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	for _, h := range b.d.member.Hosts() {
		m, ok := b.d.member.Member(h)
		if h == b.d.id || !ok || asked == maxAsked {
			continue
		}
		asked++
		go func() {
			got, err := peer.CallMsg[explainQuestion, explainAnswer](ctx, b.d.peers, m.PeerAddr, peerapi.KindExplain, explainQuestion{subject})
			replies <- reply{h.Name, got, err}
		}()
	}
	for range asked {
		r := <-replies
		if r.err != nil {
			out.Silent = append(out.Silent, r.host)
			continue
		}
		out.Decisions = append(out.Decisions, r.got.Decisions...)
	}
	out.AskedHosts += asked
	slices.SortStableFunc(out.Decisions, func(x, y state.Decision) int { return x.At.Compare(y.At) })
	return out
}

// timeOfID returns when an id made by a host was made.
func timeOfID(id string) time.Time {
	_, text, _ := strings.Cut(id, "~")
	u, err := uuid.Parse(text)
	if err != nil || u.Version() != 7 {
		return time.Time{}
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// sentences says each record in plain words.
func sentences(records []state.Decision) []string {
	var out []string
	for _, d := range records {
		line := fmt.Sprintf("%s %s decided %s: %s", d.At.Format(time.TimeOnly+".000"), d.Host, verb(d), d.Why)
		for _, c := range d.Candidates {
			line += "\n    " + candidate(c, d.Chosen)
		}
		out = append(out, line)
	}
	return out
}

func verb(d state.Decision) string {
	if d.Chosen == "" {
		return string(d.Kind)
	}
	return string(d.Kind) + " -> " + d.Chosen
}

func candidate(c state.Candidate, chosen string) string {
	mark := " "
	if c.Name == chosen {
		mark = "*"
	}
	if c.Rejected != "" {
		return fmt.Sprintf("%s %s left out: %s", mark, c.Name, c.Rejected)
	}
	return fmt.Sprintf("%s %s first token in %.0f ms, %d prompt tokens cached, known %d ms ago", mark, c.Name, c.PredictedFirstTokenMillis, c.CachedTokens, c.KnowledgeAgeMillis)
}
