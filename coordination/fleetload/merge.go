package fleetload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// ownerSample is the last sample of an owner.
type ownerSample struct {
	Sample
	// age is the time since the sample was taken; 0 if the owner has answered in this round.
	age time.Duration
}

// merge adds up samples. missing is the number of owners without a usable sample; each counts as the
// mean of the owners that have answered in this round.
func merge(samples []ownerSample, missing int) Summary {
	all, fresh := rows{}, rows{}
	var plain []Sample
	answered := 0
	for _, s := range samples {
		all.add(s.Domains, 1)
		plain = append(plain, s.Sample)
		if s.age == 0 {
			fresh.add(s.Domains, 1)
			answered++
		}
	}
	out := Summary{Speeds: mergeSpeeds(samples), WorkingSet: workingSet(plain), MeanPart: meanParts(plain)}
	if owners := len(samples) + missing; owners > 0 {
		out.Answered = float64(answered) / float64(owners)
	}
	if missing > 0 && answered > 0 {
		all.add(fresh.list(), float64(missing)/float64(answered))
		for service, tokens := range out.WorkingSet {
			out.WorkingSet[service] = scaled(tokens, float64(len(samples)+missing)/float64(len(samples)))
		}
	}
	out.Domains = all.list()
	return out
}

// rows holds the load by service and failure domain.
type rows map[[2]string]*DomainLoad

// add adds loads, multiplied by a factor.
func (r rows) add(loads []DomainLoad, factor float64) {
	for _, l := range loads {
		key := [2]string{l.Service, l.FailureDomain}
		if r[key] == nil {
			r[key] = &DomainLoad{Service: l.Service, FailureDomain: l.FailureDomain}
		}
		sum := r[key]
		sum.Engines += scaled(l.Engines, factor)
		sum.Prefill += l.Prefill * factor
		sum.LatePrefill += l.LatePrefill * factor
		sum.Decoding += scaled(l.Decoding, factor)
		sum.DecodeTokens += scaled(l.DecodeTokens, factor)
	}
}

// list returns the loads, ordered by service and failure domain.
func (r rows) list() []DomainLoad {
	out := make([]DomainLoad, 0, len(r))
	for _, l := range r {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b DomainLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return out
}

func scaled(n int, factor float64) int { return int(math.Round(float64(n) * factor)) }

// mergeSpeeds returns the throughputs of all engines in the samples, ordered by engine. Of an engine that
// several owners report, it takes the report of the owner that had the last request. Messages have whole
// seconds; at the same second the lower throughput is taken, so that it doesn't alternate between
// summaries.
func mergeSpeeds(samples []ownerSample) []EngineSpeed {
	latest := map[state.InstanceID]EngineSpeed{}
	for _, s := range samples {
		for _, e := range s.Speeds {
			e.Idle += s.age
			if other, known := latest[e.Engine]; !known || cmp.Or(cmp.Compare(e.Idle, other.Idle), cmp.Compare(e.Speed, other.Speed)) < 0 {
				latest[e.Engine] = e
			}
		}
	}
	return slices.SortedFunc(maps.Values(latest), compareEngines)
}
