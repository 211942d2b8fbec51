package connlease

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// Item asks for connections to one runner.
type Item struct {
	Runner state.InstanceID
	// Want is how many connections the borrower wants of the lender altogether, Held how many it has of it now, at
	// most Want, and Used how many of those it can't return yet.
	Want, Held, Used int
}

// Request asks a lender for connections.
type Request struct {
	// Seq is higher than that of the borrower's earlier requests to the lender.
	Seq   uint64
	Items []Item
}

// Response tells how many connections the borrower has of the lender, in the order of the request's items. It is empty if
// the lender has handled a later request.
type Response struct{ Granted []int }

// borrower is one run of a host that has sent requests.
type borrower struct {
	seq   uint64
	heard time.Time
}

// borrowerTTL is how long a borrower is remembered after its last request. All its leases have ended by then.
const borrowerTTL = time.Minute

// Grant answers another host's request. When it returns, this host uses nothing of what it has lent.
func (t *Table) Grant(from state.HostID, req Request) Response {
	out, lowered := t.grantAll(from, req)
	for _, r := range lowered {
		t.o.CloseIdle(r.instance, t.Limit(r.instance))
	}
	return out
}

// grantAll answers a request, and returns the runners at which this host has lent more than before.
func (t *Table) grantAll(from state.HostID, req Request) (out Response, lowered []*runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Clock.Now()
	b := t.borrowers[from]
	if b == nil {
		b = &borrower{}
		t.borrowers[from] = b
	}
	if req.Seq <= b.seq {
		return Response{}, nil
	}
	b.seq, b.heard = req.Seq, now
	out.Granted = make([]int, len(req.Items))
	for n, item := range req.Items {
		i := t.o.Instance(item.Runner)
		if i == nil {
			continue
		}
		r := t.runner(i)
		r.sum(now)
		before := r.lentSum
		out.Granted[n] = t.grant(r, from, item, now)
		r.changed()
		r.sum(now)
		if r.lentSum > before {
			lowered = append(lowered, r)
		}
	}
	return out, lowered
}

// grant lends connections to one runner, and returns how many the borrower has then; t.mu is held and the sums of r are up
// to date.
func (t *Table) grant(r *runner, to state.HostID, item Item, now time.Time) int {
	part := t.o.Part(t.o.Self, r.instance)
	prior := r.lent[to].n
	others := r.lentSum - prior
	lendable := part.Total - part.Floor - others
	free := part.Total - max(part.Floor, min(part.Total, r.demand())) - others
	if t.isStarting(now) {
		free = item.Held
	}
	granted := max(0, min(item.Want, lendable, max(free, min(item.Used, prior))))
	// The borrower has lowered what it uses to Want. If the answer is lost, it goes on with what it had.
	counted := max(granted, min(prior, item.Want))
	if counted == 0 {
		delete(r.lent, to)
		return 0
	}
	r.lent[to] = loan{counted, now.Add(leaseTTL + lenderSlack)}
	return granted
}

// forgetBorrowers removes the borrowers that have sent nothing for borrowerTTL; t.mu is held.
func (t *Table) forgetBorrowers(now time.Time) {
	for id, b := range t.borrowers {
		if now.Sub(b.heard) > borrowerTTL {
			delete(t.borrowers, id)
		}
	}
}
