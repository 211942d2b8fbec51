package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

const (
	// listedLate is how long after a runner's own word its leaving is listed.
	listedLate = 3 * time.Second
	// knownWithin is the time in which a host must go by an answer that it has passed on.
	knownWithin = 500 * time.Millisecond
	// limitWindow, limitFactor and limitSlack are how a limit is judged.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limits are what runners name, in requests a second.
var limits = []float64{0.5, 3, 8.4, 20}

// asks has a runner ask something of the hosts for a while. It excuses nothing.
func asks(name string, long time.Duration, what func(rng *rand.Rand) platformtest.Asking) action {
	return action{name: name, planned: true, do: func(f *fleet, rng *rand.Rand) error {
		r := f.present(rng)
		r.Ask(what(rng))
		time.Sleep(long)
		r.Ask(platformtest.Asking{})
		return nil
	}}
}

// asking are the actions of runners that ask something of the hosts.
var asking = []action{
	asks("runner names a limit", 8*time.Second, func(rng *rand.Rand) platformtest.Asking {
		return platformtest.Asking{Limit: limits[rng.IntN(len(limits))]}
	}),
	asks("runner wants rest", time.Second, func(rng *rand.Rand) platformtest.Asking {
		return platformtest.Asking{Rest: time.Duration(500+rng.IntN(2000)) * time.Millisecond}
	}),
	{name: "runner says that it leaves", planned: true, do: func(f *fleet, rng *rand.Rand) error {
		r := f.present(rng)
		r.Ask(platformtest.Asking{Leaving: true})
		time.Sleep(listedLate)
		return f.leave(r, true)
	}},
}

// heard is an arrival with the process that sent it and when its caller began and had the answer.
type heard struct {
	platformtest.Arrival
	host         string
	began, ended time.Time
	// answered says that the caller got this runner's whole answer.
	answered bool
}

// hear joins what a runner got with what callers saw, by the ids of requests.
func (f *fleet) hear(r *runner, results map[string]result, last map[string]string) []heard {
	var out []heard
	for _, a := range r.Arrivals() {
		got, known := results[a.ID]
		if !known {
			continue // a copy of a request that ends its runners
		}
		out = append(out, heard{a, got.host, got.began, got.ended, got.status == 200 && got.whole && last[a.ID] == r.ID})
	}
	return out
}

// judgeAsking checks that hosts go by what runners ask.
func (f *fleet) judgeAsking() {
	results := map[string]result{}
	for _, r := range f.results {
		results[r.id] = r
	}
	last, lastAt := map[string]string{}, map[string]time.Time{}
	f.runnersMu.Lock()
	runners := slices.Clone(f.runners)
	f.runnersMu.Unlock()
	for _, r := range runners {
		for _, a := range r.Arrivals() {
			if a.At.After(lastAt[a.ID]) {
				last[a.ID], lastAt[a.ID] = r.ID, a.At
			}
		}
	}
	for _, r := range runners {
		arrivals := f.hear(r, results, last)
		f.judgeLeaving(r, arrivals)
		f.judgeRest(r, arrivals)
		f.judgeLimit(r, arrivals)
	}
}

// judgeLeaving: nothing excuses a process that has passed on an answer that says so.
func (f *fleet) judgeLeaving(r *runner, arrivals []heard) {
	told := map[string]time.Time{}
	for _, a := range arrivals {
		if at, known := told[a.host]; a.Asked.Leaving && a.answered && (!known || a.ended.Before(at)) {
			told[a.host] = a.ended
		}
	}
	late := 0
	for _, a := range arrivals {
		if at, known := told[a.host]; known && a.began.After(at.Add(knownWithin)) {
			late++
			f.problem("request %s reached runner %s of host %s %s after that had passed on that it leaves", a.ID, r.ID, a.host, a.At.Sub(at))
		}
	}
	if len(told) > 0 {
		f.note("runner %s told %d hosts that it leaves; %d requests too late", r.ID, len(told), late)
	}
}

// judgeRest: none in a rest, while nothing was disturbed.
func (f *fleet) judgeRest(r *runner, arrivals []heard) {
	turnedAway, during := 0, 0
	for _, a := range arrivals {
		if a.Asked.Rest == 0 {
			continue
		}
		turnedAway++
		from, until := a.At.Add(knownWithin), a.At.Add(a.Asked.Rest)
		for _, b := range arrivals {
			if b.host == a.host && b.At.After(from) && b.At.Before(until) && f.calm(b.host, a.At, b.At, false) {
				during++
				f.problem("request %s reached runner %s from host %s %s after it had asked that for %s of rest", b.ID, r.ID, b.host, b.At.Sub(a.At), a.Asked.Rest)
			}
		}
	}
	if turnedAway > 0 {
		f.note("runner %s turned %d requests away and asked for rest; %d in rests", r.ID, turnedAway, during)
	}
}

// judgeLimit: what processes sent that had passed on an answer with the limit, in each window.
func (f *fleet) judgeLimit(r *runner, arrivals []heard) {
	for _, limit := range limits {
		told := map[string]time.Time{}
		var counted []time.Time
		most := 0
		for _, a := range arrivals {
			if a.Asked.Limit != limit {
				continue
			}
			if at, known := told[a.host]; a.answered && (!known || a.ended.Before(at)) {
				told[a.host] = a.ended
			}
		}
		for _, a := range arrivals {
			at, known := told[a.host]
			if a.Asked.Limit != limit || !known || a.At.Before(at.Add(knownWithin)) {
				continue
			}
			counted = append(counted, a.At)
			counted = slices.DeleteFunc(counted, func(t time.Time) bool { return a.At.Sub(t) > limitWindow })
			if f.calm("", counted[0], a.At, false) {
				most = max(most, len(counted))
			}
		}
		if len(told) > 0 {
			f.note("runner %s named %.1f a second to %d hosts; at most %d in %s", r.ID, limit, len(told), most, limitWindow)
		}
		if bound := limitFactor*limit*limitWindow.Seconds() + limitSlack; float64(most) > bound {
			f.problem("runner %s named %.1f a second and got %d requests in %s", r.ID, limit, most, limitWindow)
		}
	}
}
