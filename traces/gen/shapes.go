package main

import "math/rand/v2"

// length is a range of token counts.
type length struct{ low, high int }

func (l length) draw(r *rand.Rand) int { return l.low + r.IntN(l.high-l.low+1) }

// class is one kind of request of a deployment.
type class struct {
	name           string
	deadlineMillis int
	urgent         bool
	maxTokens      int
	// prefix is the shared beginning of the prompts, own the rest of each.
	prefix, own, output length
	// documents is the number of different beginnings at a time, lifeSeconds
	// how long one is used.
	documents   int
	lifeSeconds float64
	// rates are requests a second in each phase.
	rates map[phase]float64
}

// phase names a mix of requests.
type phase int

const (
	quiet phase = iota
	longPrompts
	longOutputs
	above // more than the fleet can take
	full  // about what the fleet can take
)

// deployment is one user's workload.
type deployment struct {
	name           string
	customers      int
	customerPrefix string
	classes        []class
}

// rostering is the rostering office: whole rota books with a short verdict,
// drivers' questions, and short texts for dispatchers.
func rostering() deployment {
	return deployment{name: "rostering", customers: 24, customerPrefix: "d", classes: []class{
		{
			name: "rota", deadlineMillis: 10000, maxTokens: 128,
			prefix: length{2500, 5000}, own: length{1000, 3000}, output: length{20, 60},
			documents: 24, lifeSeconds: 30,
			rates: map[phase]float64{quiet: 6, longPrompts: 20, longOutputs: 3, above: 25, full: 16},
		},
		{
			name: "driver", deadlineMillis: 9000, maxTokens: 512,
			prefix: length{128, 128}, own: length{60, 400}, output: length{120, 320},
			documents: 1, lifeSeconds: 1e9,
			rates: map[phase]float64{quiet: 9, longPrompts: 4, longOutputs: 32, above: 44, full: 28},
		},
		{
			name: "dispatch", deadlineMillis: 3000, urgent: true, maxTokens: 64,
			prefix: length{192, 192}, own: length{50, 200}, output: length{15, 40},
			documents: 1, lifeSeconds: 1e9,
			rates: map[phase]float64{quiet: 2, longPrompts: 2, longOutputs: 2, above: 4, full: 3},
		},
	}}
}

// hay is the hay exchange: lot dossiers against shared rules with a stamp of a
// verdict, price replies for farmers, and bid texts.
func hay() deployment {
	return deployment{name: "hay", customers: 30, customerPrefix: "c", classes: []class{
		{
			name: "dossier", deadlineMillis: 12000, maxTokens: 64,
			prefix: length{2500, 2500}, own: length{4000, 8500}, output: length{10, 30},
			documents: 3, lifeSeconds: 1e9,
			rates: map[phase]float64{quiet: 3.5, longPrompts: 8.5, longOutputs: 1.5, above: 11, full: 7.5},
		},
		{
			name: "price", deadlineMillis: 10000, maxTokens: 512,
			prefix: length{256, 256}, own: length{60, 300}, output: length{150, 350},
			documents: 1, lifeSeconds: 1e9,
			rates: map[phase]float64{quiet: 7, longPrompts: 5, longOutputs: 30, above: 26, full: 17},
		},
		{
			name: "bid", deadlineMillis: 3000, urgent: true, maxTokens: 64,
			prefix: length{192, 192}, own: length{80, 300}, output: length{15, 40},
			documents: 1, lifeSeconds: 1e9,
			rates: map[phase]float64{quiet: 2, longPrompts: 2, longOutputs: 2, above: 4, full: 3},
		},
	}}
}

// event is something that happens to the fleet.
type event struct {
	atMillis int
	what     string
	engine   string
}

// span is a phase and how long it lasts.
type span struct {
	seconds float64
	phase   phase
}

// shape is the course of a trace.
type shape struct {
	name    string
	seconds float64
	spans   []span
	events  []event
	// flood is the rate of the flooding customer between floodFrom and floodTo.
	flood, floodFrom, floodTo float64
}

func (s *shape) phaseAt(t float64) phase {
	for _, p := range s.spans {
		if t < p.seconds {
			return p.phase
		}
		t -= p.seconds
	}
	return quiet
}

func (s *shape) rate(c *class, t float64) float64 { return c.rates[s.phaseAt(t)] }

func (s *shape) floodRate(t float64) float64 {
	if t >= s.floodFrom && t < s.floodTo {
		return s.flood
	}
	return 0
}

// shapes returns the courses that both deployments are recorded in.
func shapes() []shape {
	list := []shape{
		{name: "calm", spans: []span{{180, quiet}}},
		{name: "shift", spans: []span{{60, longPrompts}, {60, longOutputs}, {60, longPrompts}}},
		{name: "peak", spans: []span{{40, quiet}, {50, above}, {40, quiet}}},
		{
			name: "lost", spans: []span{{30, quiet}, {70, full}, {30, quiet}},
			events: []event{{50000, "lost", "engine-03"}, {85000, "back", "engine-03"}},
		},
		{
			name: "slow", spans: []span{{30, quiet}, {70, full}, {30, quiet}},
			events: []event{{40000, "slow", "engine-03"}, {90000, "well", "engine-03"}, {40000, "slow", "engine-07"}, {90000, "well", "engine-07"}},
		},
		{name: "flood", spans: []span{{150, quiet}}, flood: 50, floodFrom: 40, floodTo: 90},
	}
	for i := range list {
		for _, p := range list[i].spans {
			list[i].seconds += p.seconds
		}
	}
	return list
}
