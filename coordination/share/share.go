// Package share divides limits that all hosts together must keep among the hosts. Each host computes
// its part from the list of hosts alone, without messages; the parts of all hosts add up to less than
// the limit, also where a limit is smaller than the number of hosts.
package share

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// reserve is the share of a limit that is left for hosts that aren't listed yet.
	reserve = 0.2
	// unknownHostsPart is the part of a host that doesn't know the list of hosts.
	unknownHostsPart = 1
	// deviations is the number of standard deviations by which the expected sum of randomly assigned
	// parts stays below the limit.
	deviations = 3
	// minUsableRunners is the number of runners of a service to which a host may connect on average,
	// however many hosts there are.
	minUsableRunners = 3
	// guaranteed is the share of a host's part of the connections to a runner that it never lends.
	guaranteed = 0.375
	// keptRunners is the share of the runners at which a host doesn't lend its only connection.
	keptRunners = 0.5
)

// Evenly returns a host's part of a limit that can be divided at will, such as a rate: 0 if the host
// doesn't know the list of hosts.
func Evenly(limit float64, hosts int) float64 {
	if hosts <= 0 {
		return 0
	}
	return (1 - reserve) * limit / float64(hosts)
}

// Connections describes the connections that a runner accepts from all hosts together.
type Connections struct {
	Limit int
	// Hosts is the number of hosts; 0 if it isn't known. Runners is that of the runners of the
	// service, this one included.
	Hosts, Runners int
}

// Of returns a host's part of the connections to a runner. The fraction of a part that is no whole
// number is one connection more for as many hosts, chosen by a hash: with more hosts than
// connections, each host may use some of the runners only.
func (c Connections) Of(host, runner string) int {
	whole, fraction := c.part()
	return c.draw(whole, fraction, host, runner)
}

// Guaranteed returns the connections of a host's part that it never lends to other hosts, at most as many as Of
// returns. Where that is no whole connection, it is one at half of the runners that the host may use, so that it reaches
// some at any time; at all of them if the service has few.
func (c Connections) Guaranteed(host, runner string) int {
	whole, fraction := c.split(guaranteed)
	if whole == 0 {
		kept := keptRunners
		if c.Runners <= minUsableRunners {
			kept = 1
		}
		usable := 1.0
		if n, f := c.part(); n == 0 {
			usable = f
		}
		fraction = max(fraction, kept*usable)
	}
	return min(c.draw(whole, fraction, host, runner), c.Of(host, runner))
}

// Usable returns the number of the service's runners to which a host has a part of the connections, on average.
func (c Connections) Usable() float64 {
	whole, fraction := c.part()
	if whole > 0 || c.Hosts <= 0 {
		return float64(c.Runners)
	}
	return min(1, fraction) * float64(c.Runners)
}

// part returns a host's part: a number of connections, and the fraction of the hosts that have one more.
func (c Connections) part() (whole int, fraction float64) {
	whole, fraction = c.split(1)
	if whole == 0 {
		fraction = max(fraction, minUsableRunners/float64(max(1, c.Runners)))
	}
	return whole, fraction
}

// split divides a share of the connections among the hosts, as part returns it.
func (c Connections) split(portion float64) (whole int, fraction float64) {
	n, fraction := math.Modf(portion * Evenly(float64(c.Limit), c.Hosts))
	return int(n), fraction - deviations*math.Sqrt(fraction*(1-fraction)/float64(max(1, c.Hosts)))
}

// draw returns whole, or one more for that fraction of the hosts.
func (c Connections) draw(whole int, fraction float64, host, runner string) int {
	if c.Hosts <= 0 {
		return unknownHostsPart
	}
	if float64(xxhash.Sum64String(host+"\x00"+runner))/(1<<64) < fraction {
		whole++
	}
	return whole
}
