package routed

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/fleetload"
	"github.com/thymerack/thymerack/coordination/scale"
	"github.com/thymerack/thymerack/protocol/loadapi"
	"github.com/thymerack/thymerack/protocol/operatorapi"
	"github.com/thymerack/thymerack/state"
)

// serveLoad answers `GET /load`. The document is encoded after all state has been copied, without a
// lock.
func (h *Host) serveLoad(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	if !h.isReady() {
		writeLoad(ctx, fasthttp.StatusServiceUnavailable, operatorapi.Problem{
			Kind: "not_ready", Error: "the host has no configuration, list of runners or list of hosts yet; ask again once it is ready, or ask another host",
		})
		return
	}
	writeLoad(ctx, fasthttp.StatusOK, h.loadStatus())
}

func writeLoad(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

// loadStatus returns what this host knows of the load of engines.
func (h *Host) loadStatus() loadapi.Load {
	out := loadapi.Load{Host: h.settings.Host, FailureDomain: h.settings.FailureDomain, Owner: h.ownerStatus()}
	if age, received := h.load.listener.Age(); received {
		out.Notice = noticeStatus(h.load.listener.Current(), age)
	}
	if s, known := h.load.collector.Summary(); known {
		out.Fleet = fleetStatus(s, h.clock.Now(), h.prefillEngines)
	}
	if h.scaler == nil {
		return out
	}
	for _, spec := range h.scalableServices() {
		if s, known := h.scaler.Status(spec.Name); known && len(out.Capacity) < loadapi.MaxServices {
			out.Capacity = append(out.Capacity, capacityStatus(spec.Name, s, h.fleet.Size(spec.Name)))
		}
	}
	return out
}

// ownerStatus returns the state of the engines whose counts this host owns.
func (h *Host) ownerStatus() loadapi.Owner {
	engines, count := h.tracker.Busiest(loadapi.MaxEngines, func(id state.InstanceID) bool { return h.listedInstance(id) != nil })
	names := customerNames(h.config.Table().Config.Customers) // isReady says that there is a table
	out := loadapi.Owner{EngineCount: count, Engines: []loadapi.Engine{}, Services: servicesStatus(h.tracker.Contention(), names)}
	for _, e := range engines {
		i := h.listedInstance(e.Engine)
		if i == nil { // removed from the list meanwhile
			continue
		}
		out.Engines = append(out.Engines, loadapi.Engine{
			Name: e.Engine.Name, Service: i.Service, FailureDomain: i.FailureDomain, Role: i.Role,
			Waiting: e.Waiting[:], UntilEmptyMillis: e.UntilEmpty.Milliseconds(),
			Speed: rounded(e.Speed), SlowPeriod: e.InSlowPeriod, Decoding: e.Decoding,
		})
	}
	return out
}

// customerNames returns the names of customers by their hash.
func customerNames(customers []state.Customer) map[uint64]string {
	out := make(map[uint64]string, len(customers))
	for i := range customers {
		name := customers[i].Name
		hash := contention.CustomerHash(name)
		if other := out[hash]; other != "" && other != name {
			name = other + ", " + name
		}
		out[hash] = name
	}
	return out
}

// servicesStatus returns the use of engines by customers; names holds their names by hash.
func servicesStatus(statuses map[string]contention.Status, names map[uint64]string) []loadapi.Service {
	out := []loadapi.Service{}
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		if len(out) == loadapi.MaxServices {
			break
		}
		status := statuses[name]
		s := loadapi.Service{Name: name, Waiting: status.Waiting[:], FairShare: rounded(status.Share), Customers: []loadapi.Customer{}}
		for _, c := range status.Customers {
			row := loadapi.Customer{Demand: rounded(c.Demand), Granted: rounded(c.Granted), Ahead: c.Ahead}
			if c.Customer != 0 {
				row.Name, row.Hash = names[c.Customer], strconv.FormatUint(c.Customer, 16)
			}
			s.Customers = append(s.Customers, row)
		}
		out = append(out, s)
	}
	return out
}

// noticeStatus returns what was received in load notices.
func noticeStatus(r *fleetload.Received, age time.Duration) *loadapi.Notice {
	out := &loadapi.Notice{AgeMillis: age.Milliseconds(), Term: r.Term, Number: r.Number, Speeds: []loadapi.EngineSpeed{}, LocalPrefixes: []string{}}
	for id, speed := range r.Speeds {
		out.Speeds = append(out.Speeds, loadapi.EngineSpeed{Engine: id.Name, Speed: rounded(speed)})
	}
	deviation := func(s loadapi.EngineSpeed) float64 { return fleetload.EngineSpeed{Speed: s.Speed}.Deviation() }
	slices.SortFunc(out.Speeds, func(a, b loadapi.EngineSpeed) int {
		return cmp.Or(cmp.Compare(deviation(b), deviation(a)), strings.Compare(a.Engine, b.Engine))
	})
	out.Speeds = out.Speeds[:min(loadapi.MaxSpeeds, len(out.Speeds))]
	out.LocalPrefixes = slices.AppendSeq(out.LocalPrefixes, maps.Keys(r.LocalPrefixes))
	slices.Sort(out.LocalPrefixes)
	out.LocalPrefixes = out.LocalPrefixes[:min(loadapi.MaxServices, len(out.LocalPrefixes))]
	return out
}

// fleetStatus returns the summary of the load at a time. prefillEngines returns the number of a
// service's engines in prefill by failure domain.
func fleetStatus(s fleetload.Summary, now time.Time, prefillEngines func(service string) map[string]int) *loadapi.Fleet {
	out := &loadapi.Fleet{AgeMillis: now.Sub(s.TakenAt).Milliseconds(), Answered: rounded(s.Answered), Domains: []loadapi.DomainLoad{}, WorkingSet: []loadapi.WorkingSet{}}
	engines := map[string]map[string]int{}
	for _, l := range s.Domains[:min(loadapi.MaxDomains, len(s.Domains))] {
		if engines[l.Service] == nil {
			engines[l.Service] = prefillEngines(l.Service)
		}
		n := engines[l.Service][l.FailureDomain]
		out.Domains = append(out.Domains, loadapi.DomainLoad{
			Service: l.Service, FailureDomain: l.FailureDomain, PrefillEngines: n, Prefill: rounded(l.Prefill), LatePrefill: rounded(l.LatePrefill),
			Headroom: rounded(float64(n) - l.Prefill), ActiveEngines: l.Engines, Decoding: l.Decoding, DecodeTokens: l.DecodeTokens,
		})
	}
	for _, service := range slices.Sorted(maps.Keys(s.WorkingSet)) {
		if len(out.WorkingSet) < loadapi.MaxServices {
			out.WorkingSet = append(out.WorkingSet, loadapi.WorkingSet{Service: service, Tokens: s.WorkingSet[service], MeanPart: s.MeanPart[service]})
		}
	}
	return out
}

// prefillEngines returns the number of a service's engines that do prefill and accept work, by failure
// domain.
func (h *Host) prefillEngines(service string) map[string]int {
	out := map[string]int{}
	for _, r := range h.fleet.Runners(service) {
		if r.Instance.Role != state.RoleDecode {
			out[r.Instance.FailureDomain]++
		}
	}
	return out
}

// capacityStatus returns the required number of a service's runners, of which listed are in the list.
func capacityStatus(service string, s scale.Status, listed int) loadapi.Capacity {
	age := int64(-1)
	if !s.TakenAt.IsZero() {
		age = s.Age.Milliseconds()
	}
	return loadapi.Capacity{
		Service: service, Listed: listed, Required: s.Required, Configured: s.Configured, PrefillEngines: s.PrefillEngines, DecodeEngines: s.DecodeEngines,
		PeakPrefill: rounded(s.PeakPrefill), PeakDecoding: rounded(s.PeakDecoding), PeakDecodeTokens: rounded(s.PeakDecodeTokens),
		AgeMillis: age, Answered: rounded(s.Answered), Unusable: s.Unusable, LastChange: s.LastChange,
	}
}

// rounded rounds to three decimals. A value that JSON can't represent becomes 0.
func rounded(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return math.Round(x*1000) / 1000
}
