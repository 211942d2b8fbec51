// Package routing selects the route of a request by its host and the longest
// matching path prefix.
package routing

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/thymerack/thymerack/state"
)

// Table is an index over one version of the routing configuration. It is immutable
// and safe for concurrent use.
type Table struct {
	Version uint64 // version of Config
	Config  *state.RoutingConfig

	hosts     map[string]*hostRoutes
	services  map[string]*state.ServiceSpec
	customers *state.CustomerIndex
	levels    map[string]levelIndex
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*state.Route
	// lengths are the distinct lengths of the prefixes, longest first.
	lengths []int
}

// NewTable builds the table of a configuration, which must not be modified
// afterwards. A lookup costs one map access for each distinct prefix length,
// independent of the number of routes.
func NewTable(c *state.RoutingConfig) *Table {
	t := &Table{
		Version: c.Version, Config: c, hosts: map[string]*hostRoutes{}, services: map[string]*state.ServiceSpec{},
		customers: state.NewCustomerIndex(c.Customers), levels: newLevelIndexes(c),
	}
	for i := range c.Routes {
		t.add(&c.Routes[i])
	}
	for _, p := range t.hosts {
		slices.SortFunc(p.lengths, func(a, b int) int { return b - a })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

func (t *Table) add(r *state.Route) {
	host := strings.ToLower(r.Host)
	p := t.hosts[host]
	if p == nil {
		p = &hostRoutes{byPrefix: map[string]*state.Route{}}
		t.hosts[host] = p
	}
	p.byPrefix[r.Prefix] = r
	if !slices.Contains(p.lengths, len(r.Prefix)) {
		p.lengths = append(p.lengths, len(r.Prefix))
	}
}

// Route returns the route of a request, or nil if none matches. The host may include
// a port; a query string in the path is ignored.
func (t *Table) Route(host, path string) *state.Route {
	p := t.hosts[canonicalHost(host)]
	if p == nil {
		return nil
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, n := range p.lengths {
		if len(path) < n {
			continue
		}
		if r := p.byPrefix[path[:n]]; r != nil {
			return r
		}
	}
	return nil
}

// canonicalHost returns the host in lower case and without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the specification of a service, or nil.
func (t *Table) Service(name string) *state.ServiceSpec { return t.services[name] }

// NeedsKey reports whether requests on the route must present a customer's key.
func (t *Table) NeedsKey(r *state.Route) bool { return t.Config.Keyed && !r.Public }

// CustomerOfKey returns the customer that has a key with that digest, or nil.
func (t *Table) CustomerOfKey(d state.KeyDigest) *state.Customer { return t.customers.ByDigest(d) }

// Backend returns the service that receives a request of the route, chosen by the
// weights of the backends. The same request ID always gets the same service.
func Backend(r *state.Route, requestID string) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if len(r.Backends) == 1 || total <= 0 {
		return r.Backends[0].Service
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID)) // it never returns an error
	offset := int(h.Sum64() % uint64(total))
	for _, b := range r.Backends {
		if offset -= b.Weight; offset < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
