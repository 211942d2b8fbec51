package quota

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

// proposalResult is what the replicas decided together.
type proposalResult int

const (
	// proposalUndecided means that too few replicas answered.
	proposalUndecided proposalResult = iota
	proposalGranted
	proposalDenied
)

// proposal is one request to all replicas of a quota.
type proposal struct {
	l        *Limiter
	req      Request
	replicas []string
	answers  chan answer
	// granted, denied and failed are the replicas by their answers.
	granted, denied, failed []string
	waits                   []time.Duration
	// settled is closed once all replicas have answered and are charged alike.
	settled chan struct{}
}

// answer is the answer of one replica.
type answer struct {
	addr    string
	verdict Verdict
	err     error
}

// propose asks all replicas for the units of a request.
func (l *Limiter) propose(req Request, replicas []string) *proposal {
	p := &proposal{l: l, req: req, replicas: replicas, answers: make(chan answer, len(replicas)), settled: make(chan struct{})}
	for _, addr := range replicas {
		if addr == l.o.Self {
			p.answers <- answer{addr: addr, verdict: l.o.Ledger.Take(req)}
			continue
		}
		go p.ask(addr)
	}
	return p
}

// ask asks another host. The call isn't canceled with the request: its answer says whether the
// replica has to be refunded.
func (p *proposal) ask(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	verdict, err := p.l.o.Peers.Take(ctx, addr, p.req)
	p.answers <- answer{addr, verdict, err}
}

// majority is the number of replicas that must grant the request.
func (p *proposal) majority() int { return len(p.replicas)/2 + 1 }

// pending is the number of replicas that haven't answered yet.
func (p *proposal) pending() int {
	return len(p.replicas) - len(p.granted) - len(p.denied) - len(p.failed)
}

// collect waits until the answers decide the request or ctx ends, and leaves the remaining answers
// to settle. wait is the time after which the units of a denied request are available.
func (p *proposal) collect(ctx context.Context) (result proposalResult, wait time.Duration) {
	for p.undecided() && ctx.Err() == nil {
		select {
		case a := <-p.answers:
			p.add(a)
		case <-ctx.Done():
		}
	}
	switch {
	case len(p.replicas) > 0 && len(p.granted) >= p.majority():
		result = proposalGranted
	case len(p.denied) > len(p.replicas)-p.majority():
		result, wait = proposalDenied, p.wait()
	}
	go p.settle(result == proposalGranted)
	return result, wait
}

// undecided reports whether a majority may still grant the request, and hasn't yet.
func (p *proposal) undecided() bool {
	return p.pending() > 0 && len(p.granted) < p.majority() && len(p.granted)+p.pending() >= p.majority()
}

func (p *proposal) add(a answer) {
	switch {
	case a.err != nil:
		p.failed = append(p.failed, a.addr)
	case a.verdict.Granted:
		p.granted = append(p.granted, a.addr)
	default:
		p.denied = append(p.denied, a.addr)
		p.waits = append(p.waits, a.verdict.Wait)
	}
}

// wait returns the time after which a majority of the replicas has the units.
func (p *proposal) wait() time.Duration {
	waits := slices.Sorted(slices.Values(p.waits))
	return waits[min(p.majority()-len(p.granted), len(waits))-1]
}

// settle takes the remaining answers and makes the replicas that answered agree: they are all
// charged if the request was granted, and none is otherwise. A replica that didn't answer may
// differ until its bucket is full.
func (p *proposal) settle(granted bool) {
	defer close(p.settled)
	for p.pending() > 0 {
		p.add(<-p.answers)
	}
	if granted {
		p.adjust(p.denied, p.l.o.Ledger.Charge, p.l.o.Peers.Charge)
		return
	}
	p.adjust(p.granted, p.l.o.Ledger.Refund, p.l.o.Peers.Refund)
}

// refund gives back the units of a granted request at all replicas that are charged.
func (p *proposal) refund() {
	<-p.settled
	p.adjust(slices.Concat(p.granted, p.denied), p.l.o.Ledger.Refund, p.l.o.Peers.Refund)
}

// adjust charges or refunds the request at replicas, locally or by a call.
func (p *proposal) adjust(replicas []string, local func(Request), remote func(context.Context, string, Request) error) {
	var group conc.WaitGroup
	for _, addr := range replicas {
		if addr == p.l.o.Self {
			local(p.req)
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), adjustTimeout)
			defer cancel()
			if err := remote(ctx, addr, p.req); err != nil {
				p.l.o.Log.Debug("replica of a quota not adjusted", "replica", addr, "customer", p.req.Customer, "cause", err.Error())
			}
		})
	}
	group.Wait()
}
