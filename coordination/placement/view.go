package placement

import (
	"maps"

	"github.com/thymerack/thymerack/state"
)

// view is an immutable snapshot of the listed instances. Its successors share what a change leaves as
// it is, so that the cost of a change doesn't grow with the list.
type view struct {
	byPool map[Pool]*poolRunners
	byID   *cowMap[state.InstanceID, *Runner]
	byAddr *cowMap[string, *Runner]
	// noted are the versions that the store has noted, as pools.
	noted map[Pool]bool
}

func newView() *view {
	return &view{
		byPool: map[Pool]*poolRunners{},
		byID:   newCowMap[state.InstanceID, *Runner](func(id state.InstanceID) string { return id.Name }),
		byAddr: newCowMap[string, *Runner](func(addr string) string { return addr }),
	}
}

// Pool is a set of runners among which one is chosen: those of a service, or of one version of their software
// if Version isn't "". Noted leaves those of versions out that the store hasn't noted; see Fleet.SetNoted.
type Pool struct {
	Service, Version string
	Noted            bool
}

// poolsOf returns the pools that a runner is in.
func (v *view) poolsOf(r *Runner) []Pool {
	service, version := r.Instance.Service, r.Instance.Version
	own := Pool{Service: service, Version: version}
	switch {
	case version == "":
		return []Pool{own, {Service: service, Noted: true}}
	case v.noted[own]:
		return []Pool{{Service: service}, own, {Service: service, Noted: true}}
	default:
		return []Pool{{Service: service}, own}
	}
}

// withNoted returns the view after a change of the noted versions of a service.
func (v *view) withNoted(service string, versions []string) *view {
	noted := maps.Clone(v.noted)
	if noted == nil {
		noted = map[Pool]bool{}
	}
	maps.DeleteFunc(noted, func(p Pool, _ bool) bool { return p.Service == service })
	for _, version := range versions {
		noted[Pool{Service: service, Version: version}] = true
	}
	out := *v
	out.noted, out.byPool = noted, maps.Clone(v.byPool)
	var members []*Runner
	if all := v.byPool[Pool{Service: service}]; all != nil {
		for _, r := range all.all.all() {
			if r.Instance.Version == "" || noted[Pool{Service: service, Version: r.Instance.Version}] {
				members = append(members, r)
			}
		}
	}
	out.byPool[Pool{Service: service, Noted: true}] = newPoolRunners().with(nil, members)
	return &out
}

// poolRunners holds the instances of a pool that accept work.
type poolRunners struct {
	all index
	// prefill and decode hold the engines that have the role; an engine of both roles is in both.
	prefill, decode index
	// prefillOnly is the number of engines that only compute prompts.
	prefillOnly int
	// prefillDomains is the number of engines in prefill by failure domain.
	prefillDomains map[string]int
}

func newPoolRunners() *poolRunners {
	return &poolRunners{all: newIndex(nil), prefill: newIndex(nil), decode: newIndex(nil)}
}

// with returns the runners of a pool after a change; removed must be among them.
func (s *poolRunners) with(removed, added []*Runner) *poolRunners {
	removedPrefill, addedPrefill := withoutRole(removed, state.RoleDecode), withoutRole(added, state.RoleDecode)
	return &poolRunners{
		all:            s.all.with(removed, added),
		prefill:        s.prefill.with(removedPrefill, addedPrefill),
		prefillDomains: countDomains(s.prefillDomains, removedPrefill, addedPrefill),
		decode:         s.decode.with(withoutRole(removed, state.RolePrefill), withoutRole(added, state.RolePrefill)),
		prefillOnly:    s.prefillOnly - countRole(removed, state.RolePrefill) + countRole(added, state.RolePrefill),
	}
}

// countDomains returns the numbers of runners by failure domain after a change.
func countDomains(before map[string]int, removed, added []*Runner) map[string]int {
	out := make(map[string]int, len(before))
	maps.Copy(out, before)
	for _, r := range removed {
		out[r.Instance.FailureDomain]--
	}
	for _, r := range added {
		out[r.Instance.FailureDomain]++
	}
	maps.DeleteFunc(out, func(_ string, n int) bool { return n == 0 })
	return out
}

// withoutRole returns the runners that don't have the role alone.
func withoutRole(runners []*Runner, role state.Role) []*Runner {
	var out []*Runner
	for _, r := range runners {
		if r.Instance.Role != role {
			out = append(out, r)
		}
	}
	return out
}

func countRole(runners []*Runner, role state.Role) int {
	return len(runners) - len(withoutRole(runners, role))
}

// with returns the view after a change. removed are runners of this view, whose instances may be set
// again in added.
func (v *view) with(removed, added []*Runner) *view {
	byID, byAddr := v.byID.edit(), v.byAddr.edit()
	changes := map[Pool]*poolChange{}
	for _, r := range removed {
		byID.remove(r.Instance.ID)
		if byAddr.m.get(r.Instance.Addr) == r {
			byAddr.remove(r.Instance.Addr)
		}
		v.noteChange(changes, r, func(c *poolChange) { c.removed = append(c.removed, r) })
	}
	for _, r := range added {
		byID.set(r.Instance.ID, r)
		byAddr.set(r.Instance.Addr, r)
		v.noteChange(changes, r, func(c *poolChange) { c.added = append(c.added, r) })
	}
	next := &view{byPool: make(map[Pool]*poolRunners, len(v.byPool)), byID: byID.m, byAddr: byAddr.m, noted: v.noted}
	maps.Copy(next.byPool, v.byPool)
	for pool, c := range changes {
		before := v.byPool[pool]
		if before == nil {
			before = newPoolRunners()
		}
		after := before.with(c.removed, c.added)
		next.byPool[pool] = after
		if after.all.size == 0 && pool.Version != "" {
			delete(next.byPool, pool) // versions come and go
		}
	}
	return next
}

// poolChange is the change of one pool: the runners that accepted work before, and those that do after it.
type poolChange struct{ removed, added []*Runner }

// noteChange notes a change of a runner in each of its pools, unless it is draining.
func (v *view) noteChange(changes map[Pool]*poolChange, r *Runner, note func(c *poolChange)) {
	if r.Instance.Draining {
		return
	}
	for _, pool := range v.poolsOf(r) {
		if changes[pool] == nil {
			changes[pool] = &poolChange{}
		}
		note(changes[pool])
	}
}
