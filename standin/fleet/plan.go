package fleet

import (
	"fmt"
	"net"
	"strconv"

	"github.com/thymerack/thymerack/state"
)

// Port offsets from the base port.
const (
	platformPort = 0
	callerPorts  = 10
	peerPorts    = 40
	runnerPorts  = 100
	// PortsUsed is the number of ports from the base port that a plan of an
	// example deployment may use; a larger one uses Deployment.PortsUsed.
	PortsUsed = 200
)

// ports are the offsets of a deployment's first peer and runner port.
type ports struct{ peers, runners int }

// ports keeps the offsets of the examples unless the deployment is larger.
func (d Deployment) ports() ports {
	peers := max(peerPorts, callerPorts+d.Hosts)
	return ports{peers: peers, runners: max(runnerPorts, peers+d.Hosts)}
}

// PortsUsed is the number of ports from the base port that a plan may use.
func (d Deployment) PortsUsed() int {
	used := d.ports().runners
	for _, r := range d.Services {
		used += r.Count
	}
	return max(PortsUsed, used)
}

// Process is one stand-in to start: the arguments of command standin.
type Process struct {
	Name string   `json:"name"`
	Addr string   `json:"addr"`
	Args []string `json:"args"`
}

// Host is one host of the system: where its daemon is to listen.
type Host struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	CallerAddr    string `json:"caller_addr"`
	PeerAddr      string `json:"peer_addr"`
}

// Key is the key of one customer's callers.
type Key struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// Plan is a deployment laid out on ports of one machine.
type Plan struct {
	PlatformAddr string         `json:"platform_addr"`
	Hosts        []Host         `json:"hosts"`
	Processes    []Process      `json:"processes"`
	Listed       []state.Listed `json:"-"`
	Config       state.Config   `json:"-"`
	Keys         []Key          `json:"-"`
}

// Lay puts a deployment on 127.0.0.1 from basePort on. The platform's process
// reads its files from directory out.
func Lay(d Deployment, basePort int, out string) Plan {
	ports := d.ports()
	p := Plan{PlatformAddr: addr(basePort + platformPort), Config: d.Config()}
	p.Processes = append(p.Processes, Process{
		Name: "platform",
		Addr: p.PlatformAddr,
		Args: []string{"platform", "--listen", p.PlatformAddr, "--hosts", out + "/" + hostsFile, "--config", out + "/" + configFile},
	})
	for i := range d.Hosts {
		p.addHost(d, i, basePort, ports)
	}
	port := basePort + ports.runners
	for _, r := range d.Services {
		for i := range r.Count {
			p.addRunner(d, r, i, addr(port))
			port++
		}
	}
	if d.SharedRunners {
		p.Processes = append(p.Processes, Process{
			Name: "runners", Addr: addr(basePort + ports.runners), Args: []string{"engines", "--list", out + "/" + hostsFile},
		})
	}
	for _, t := range d.Customers {
		p.Keys = append(p.Keys, Key{Customer: t.Name, Key: DemoKey(t.Name)})
	}
	return p
}

func addr(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

// failureDomain spreads numbered machines over the failure domains.
func (d Deployment) failureDomain(i int) string { return d.FailureDomains[i%len(d.FailureDomains)] }

func (p *Plan) addHost(d Deployment, i, basePort int, ports ports) {
	h := Host{
		Name:          fmt.Sprintf("host-%d", i+1),
		FailureDomain: d.failureDomain(i),
		CallerAddr:    addr(basePort + callerPorts + i),
		PeerAddr:      addr(basePort + ports.peers + i),
	}
	p.Hosts = append(p.Hosts, h)
	p.Listed = append(p.Listed, state.Listed{
		Name:          h.Name,
		Kind:          state.ListedHost,
		State:         state.ListedLive,
		Addr:          h.PeerAddr,
		FailureDomain: h.FailureDomain,
	})
}

func (p *Plan) addRunner(d Deployment, r Runners, i int, at string) {
	row := state.Listed{
		Name:          fmt.Sprintf("%s-%02d", r.Service.Name, i+1),
		Kind:          state.ListedService,
		State:         state.ListedLive,
		Addr:          at,
		FailureDomain: d.failureDomain(i),
		Service:       r.Service.Name,
		ChecksFence:   r.ChecksFence,
	}
	args := []string{"service", "--listen", at, "--name", row.Name}
	if r.Service.Kind == state.KindEngine {
		row.Kind = state.ListedEngine
		args = []string{"engine", "--listen", at, "--name", row.Name, "--model", r.Service.Models[0]}
		if !r.ChecksFence {
			args = append(args, "--ignore-fence")
		}
	}
	p.Listed = append(p.Listed, row)
	if d.SharedRunners {
		return
	}
	p.Processes = append(p.Processes, Process{Name: row.Name, Addr: at, Args: args})
}
