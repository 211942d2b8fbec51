package replay

import (
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/admit"
	"github.com/thymerack/thymerack/coordination/retry"
	"github.com/thymerack/thymerack/coordination/route"
	"github.com/thymerack/thymerack/coordination/snapshot"
)

// call is one request on its way through a host.
type call struct {
	host     *host
	request  *Request
	class    Class
	prefixes []uint64
	arrived  time.Time
	deadline time.Time
	back     bool // the caller was refused and came back

	work     snapshot.Work
	grant    *admit.Grant
	delay    *retry.Delay
	expected int
	given    int // tokens that the caller has
	lastAt   time.Time
	attempts int
	over     bool
	// current is the work under way, to be dropped when the caller leaves.
	current *attempt
}

// attempt is a sequence at an engine with the ticket that counts it.
type attempt struct {
	engine *engine
	seq    *sequence
	ticket *snapshot.Ticket
	choice route.Choice
	query  route.Query
	at     time.Time
	first  time.Time
}

// arrive starts a call.
func (h *host) arrive(r *Request, serial int) {
	c := &call{
		host: h, request: r, class: h.fleet.trace.class(r.Class),
		prefixes: r.prefixes(serial), arrived: h.fleet.loop.Now(),
	}
	c.submit()
}

func (c *call) submit() {
	f := c.host.fleet
	c.deadline = f.loop.Now().Add(c.class.Deadline)
	c.expected = c.host.outputs.Expected(c.request.Customer, c.request.Class, c.class.MaxTokens)
	c.host.budget.CountRequest(service)
	f.loop.after(c.class.Deadline, c.leave)
	q := c.query(route.PartWhole)
	c.work = snapshot.Work{
		Requests:      1,
		PrefillTokens: int64(max(1, c.request.PromptTokens-c.host.router.LongestCachedPrefix(&q))),
		DecodeTokens:  int64(c.expected),
	}
	c.host.meter.RecordArrival(service, c.work, c.class.Deadline)
	if f.setup.NoAdmission {
		c.start()
		return
	}
	ask := admit.Request{
		Service: service, Customer: c.request.Customer, Class: c.request.Class,
		Urgent: c.class.Urgent && !f.setup.NoUrgent, Weight: 1, Cost: c.work,
		Resubmitted: c.back && !f.setup.ForgetReturns,
		LongOutput:  int64(c.host.outputs.LongOutput(c.request.Customer, c.request.Class, c.class.MaxTokens)),
	}
	if !f.setup.NoRefusal {
		ask.Deadline = c.deadline
	}
	c.host.admitter.Submit(ask, c.decided)
}

func (c *call) decided(g *admit.Grant, err error) {
	if c.over {
		if g != nil {
			g.Done()
		}
		return
	}
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		c.refused(refused)
		return
	}
	c.grant = g
	c.host.meter.RecordAdmission(service, c.work)
	c.start()
}

func (c *call) refused(e *admit.RefusedError) {
	f := c.host.fleet
	c.over = true
	if c.back {
		f.result.cameBackRefused++
		return
	}
	f.result.class(c.class.Name).refused++
	f.result.customer(c.request.Customer, false)
	if f.setup.ComeBack {
		again := &call{host: c.host, request: c.request, class: c.class, prefixes: c.prefixes, back: true}
		f.loop.after(e.RetryAfter, func() {
			f.result.cameBack++
			again.submit()
		})
	}
}

// query is the routing question of the call as it stands.
func (c *call) query(p route.Part) route.Query {
	q := route.Query{
		Service: service, Model: model, Part: p,
		PromptTokens:   c.request.PromptTokens + c.given,
		ExpectedOutput: max(1, c.expected-c.given), FailureDomain: c.host.domain,
		Deadline: c.deadline, BlockTokens: blockTokens,
	}
	if !c.host.fleet.setup.NoPrefix {
		q.Prefixes = c.prefixes
	}
	return q
}

// start makes an attempt at all that is left of the answer.
func (c *call) start() {
	if c.over {
		return
	}
	c.attempts++
	c.host.fleet.result.attempts++
	for range maxAttempts {
		path, err := c.host.path(c)
		if err != nil {
			c.again()
			return
		}
		part := route.PartWhole
		if path.Split {
			part = route.PartPrefill
		}
		if c.send(part, path.Prefill, c.query(part)) {
			return
		}
	}
	c.again()
}

// send counts the work in at the chosen engine and gives it there; it is false
// when the engine takes no new work by now.
func (c *call) send(p route.Part, choice route.Choice, q route.Query) bool {
	h := c.host
	work := snapshot.Work{Requests: 1}
	if p != route.PartDecode {
		work.PrefillTokens = int64(max(1, q.PromptTokens-choice.CachedTokens))
	}
	if p != route.PartPrefill {
		work.DecodeTokens = int64(q.ExpectedOutput)
	}
	ticket := h.keeper.Enter(choice.Runner, work)
	if ticket == nil {
		return false
	}
	h.router.RecordSent(&q, &choice)
	a := &attempt{
		engine: h.fleet.engines[choice.Runner.Name], ticket: ticket, choice: choice, query: q, at: h.fleet.loop.Now(),
	}
	a.seq = c.sequence(p, a)
	c.current = a
	wait := hop
	if p == route.PartDecode {
		wait += time.Duration(float64(q.PromptTokens) / h.fleet.model.TransferTokensPerSecond * float64(time.Second))
	}
	h.fleet.loop.after(wait, func() { c.reach(a) })
	return true
}

func (c *call) sequence(p route.Part, a *attempt) *sequence {
	return &sequence{
		prefixes: c.prefixes, pending: a.query.PromptTokens, left: c.request.OutputTokens - c.given,
		priority: c.priority(a), prefillOnly: p == route.PartPrefill, imported: p == route.PartDecode,
		token:  func() { c.token(a) },
		done:   func() { c.done(a) },
		failed: func(error) { c.failed(a) },
	}
}

// priority is what engines order their waiting work by.
func (c *call) priority(a *attempt) int {
	f := c.host.fleet
	if f.setup.NoPriority {
		if c.class.Urgent {
			return 1
		}
		return 0
	}
	decode := time.Duration(a.query.ExpectedOutput) * c.host.router.TokenInterval(a.choice.Runner.Name, f.model.MaxBatch/2)
	return route.Priority(c.class.Urgent, c.deadline, decode)
}

func (c *call) reach(a *attempt) {
	if c.over || c.current != a {
		return
	}
	if err := a.engine.submit(a.seq); err != nil {
		c.failed(a)
	}
}

// token takes in one token of the answer.
func (c *call) token(a *attempt) {
	now := c.host.fleet.loop.Now()
	k := c.host.fleet.result.class(c.class.Name)
	if a.first.IsZero() {
		a.first = now
		a.ticket.PrefillDone()
		c.learnFirst(a, now)
	}
	if c.given == 0 {
		c.prefilled()
		k.firstToken(now.Sub(c.arrived))
	} else {
		k.gap(now.Sub(c.lastAt))
	}
	c.given++
	c.lastAt = now
}

func (c *call) learnFirst(a *attempt, now time.Time) {
	if !c.host.fleet.setup.NoLearning {
		c.host.router.RecordFirstToken(a.choice.Runner.Name, a.choice.FirstToken, now.Sub(a.at))
	}
}

// prefilled gives the admission room of the prompt back.
func (c *call) prefilled() {
	if c.grant != nil {
		c.grant.FirstToken()
	}
}

// done ends an attempt that went well.
func (c *call) done(a *attempt) {
	now := c.host.fleet.loop.Now()
	a.ticket.Done()
	c.reported(a, true)
	if a.seq.prefillOnly {
		c.learnFirst(a, now)
		c.prefilled()
		c.decode()
		return
	}
	if !c.host.fleet.setup.NoLearning {
		c.host.router.RecordDecode(c.host.keeper.View(), a.choice.Runner.Name, c.request.OutputTokens, now.Sub(a.first))
	}
	c.host.outputs.Learn(c.request.Customer, c.request.Class, c.request.OutputTokens)
	c.end(outcomeGood)
}

// decode goes on with the second half of a split path.
func (c *call) decode() {
	q := c.query(route.PartDecode)
	for range maxAttempts {
		choice, err := c.host.decoder(c, &q)
		if err != nil {
			break
		}
		if c.send(route.PartDecode, choice, q) {
			return
		}
	}
	c.again()
}

// failed ends an attempt whose engine is gone and tries another.
func (c *call) failed(a *attempt) {
	if c.over {
		return
	}
	a.ticket.Done()
	c.reported(a, false)
	c.again()
}

// again waits for the next attempt, if the budget allows one.
func (c *call) again() {
	c.current = nil
	if !c.host.budget.Allow(service) {
		c.end(outcomeFailed)
		return
	}
	if c.delay == nil {
		c.delay = c.host.delays.Start()
	}
	c.host.fleet.loop.after(c.delay.Next(), c.start)
}

func (c *call) reported(a *attempt, ok bool) {
	c.host.fleet.health(a.engine, c.host, ok)
}

// leave is what the caller does at the deadline.
func (c *call) leave() {
	if c.over {
		return
	}
	if a := c.current; a != nil {
		a.engine.cancel(a.seq)
		a.ticket.Done()
	}
	c.end(outcomeLate)
}

func (c *call) end(o outcome) {
	c.over = true
	if c.grant != nil {
		c.grant.Done()
	}
	r := c.host.fleet.result
	if c.back {
		if o == outcomeGood {
			r.cameBackGood++
		}
		return
	}
	r.class(c.class.Name).count(o)
	r.customer(c.request.Customer, o == outcomeGood)
}
