package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/state"
)

// precedence orders the requests of a service: by the priority of the customer, or that of the route if
// the customer has none, and then by the priority of the route. Routes count only if the least urgent
// ones can wait.
type precedence struct{ priority, route int }

func (p precedence) compare(other precedence) int {
	return cmp.Or(cmp.Compare(p.priority, other.priority), cmp.Compare(p.route, other.route))
}

// levelIndex holds the level of each precedence of a service, and levels the number of its levels.
type levelIndex struct {
	level  map[precedence]int
	levels int
	priorityUse
}

// priorityUse says whose priorities order the prefills of a service.
type priorityUse struct{ routes, customers bool }

// minPatience is how many times longer the objective of the least urgent routes must be than that of the
// most urgent ones for their priorities to order prefills. With objectives alike, prompts that wait for
// more urgent ones become late themselves, and the order by size serves more of them in time.
const minPatience = 2

// newLevelIndexes returns the levels of the services that have generating routes. Of the precedences
// that exceed the number of levels, those share a level that follow each other and of which the fewest
// customers send requests: a few customers of high priority don't keep the routes of all others from
// having levels of their own.
func newLevelIndexes(c *state.RoutingConfig) map[string]levelIndex {
	customers := customerPriorities(c)
	out := map[string]levelIndex{}
	for service, routes := range generatingRoutes(c) {
		_, without := customers[noPriority]
		use := priorityUse{routes: patient(routes), customers: len(customers) > 1 || !without}
		counts := map[precedence]int{}
		for _, r := range routes {
			for priority, n := range customers {
				counts[use.precedence(r, priority)] += n
			}
		}
		out[service] = newLevelIndex(counts, use)
	}
	return out
}

// generatingRoutes returns the routes of each service that are answered by streams.
func generatingRoutes(c *state.RoutingConfig) map[string][]*state.Route {
	out := map[string][]*state.Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != state.RouteStream {
			continue
		}
		for _, b := range r.Backends {
			out[b.Service] = append(out[b.Service], r)
		}
	}
	return out
}

// patient reports whether the least urgent of the routes can wait for the most urgent ones.
func patient(routes []*state.Route) bool {
	byPriority := func(a, b *state.Route) int { return cmp.Compare(a.Priority, b.Priority) }
	most, least := slices.MinFunc(routes, byPriority).Priority, slices.MaxFunc(routes, byPriority).Priority
	var urgent, patient time.Duration
	for _, r := range routes {
		if r.Priority == most {
			urgent = max(urgent, r.Objective)
		}
		if r.Priority == least && (patient == 0 || r.Objective < patient) {
			patient = r.Objective
		}
	}
	return least > most && patient >= minPatience*urgent
}

// noPriority stands for customers without a priority.
const noPriority = -1

// customerPriorities counts the customers by their priority. Without customers, one sends all requests.
func customerPriorities(c *state.RoutingConfig) map[int]int {
	out := map[int]int{}
	for i := range c.Customers {
		if p := c.Customers[i].Priority; p != nil {
			out[max(0, *p)]++
		} else {
			out[noPriority]++
		}
	}
	if len(out) == 0 {
		out[noPriority] = 1
	}
	return out
}

// precedence returns that of a request on the route of a customer with the priority. A customer without
// one has the route's.
func (u priorityUse) precedence(r *state.Route, customerPriority int) precedence {
	var out precedence
	switch {
	case customerPriority != noPriority:
		out.priority = customerPriority
	case u.routes || u.customers:
		out.priority = r.Priority
	}
	if u.routes {
		out.route = r.Priority
	}
	return out
}

// newLevelIndex divides the precedences, with the number of customers of each, into levels.
func newLevelIndex(counts map[precedence]int, use priorityUse) levelIndex {
	type group struct {
		members []precedence
		count   int
	}
	var groups []group
	for p, n := range counts {
		groups = append(groups, group{[]precedence{p}, n})
	}
	slices.SortFunc(groups, func(a, b group) int { return a.members[0].compare(b.members[0]) })
	for len(groups) > contention.MaxLevels {
		least := 0
		for i := range len(groups) - 1 {
			if groups[i].count+groups[i+1].count <= groups[least].count+groups[least+1].count {
				least = i
			}
		}
		groups[least].members = append(groups[least].members, groups[least+1].members...)
		groups[least].count += groups[least+1].count
		groups = slices.Delete(groups, least+1, least+2)
	}
	out := levelIndex{map[precedence]int{}, len(groups), use}
	for level, g := range groups {
		for _, p := range g.members {
			out.level[p] = level
		}
	}
	return out
}

// Class returns the class of a request of the customer, which may be nil, on a route to a service. A
// route without an order of its own, as one of another table, has the last level.
func (t *Table) Class(service string, r *state.Route, customer *state.Customer) contention.Class {
	x := t.levels[service]
	priority := noPriority
	var out contention.Class
	if customer != nil {
		out.Customer = contention.CustomerHash(customer.Name)
		if customer.Priority != nil {
			priority = max(0, *customer.Priority)
		}
	}
	out.Levels = x.levels
	if level, known := x.level[x.precedence(r, priority)]; known {
		out.Level = level
	} else {
		out.Level = max(0, x.levels-1)
	}
	return out
}
