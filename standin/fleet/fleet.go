// Package fleet describes the two example deployments and writes the files that
// start their stand-ins: the host list, the shared configuration, the callers'
// keys and the processes' command lines.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/thymerack/thymerack/state"
)

// The example deployments.
const (
	Rostering = "rostering"
	Hay       = "hay"
)

// Deployment is one example: its failure domains, services, classes and customers.
type Deployment struct {
	Name           string
	FailureDomains []string
	// Hosts is the number of hosts.
	Hosts     int
	Services  []Runners
	Classes   []state.Class
	Customers []state.Customer
	// SharedRunners has one process serve all runners, idle.
	SharedRunners bool
}

// Runners is a service and the number of its runners.
type Runners struct {
	Service state.Service
	Count   int
	// ChecksFence tells whether the engines refuse orders with an old fence.
	ChecksFence bool
}

// Config returns the shared configuration of the deployment.
func (d Deployment) Config() state.Config {
	c := state.Config{Classes: d.Classes, Customers: d.Customers}
	for _, r := range d.Services {
		c.Services = append(c.Services, r.Service)
	}
	return c
}

// DemoKey returns the caller's key of a customer. It is for examples only.
func DemoKey(customer string) string { return "demo-" + customer }

// Find returns the deployment of that name.
func Find(name string) (Deployment, error) {
	switch name {
	case Rostering:
		return rostering(), nil
	case Hay:
		return hay(), nil
	}
	return Deployment{}, fmt.Errorf("%q is not a deployment; use %s or %s", name, Rostering, Hay)
}

func rostering() Deployment {
	return Deployment{
		Name:           Rostering,
		FailureDomains: []string{"hall-nord", "hall-sud", "hall-depot"},
		Hosts:          7,
		Services: []Runners{
			{Service: engines("roster-llm", 1, 0.3), Count: 12, ChecksFence: true},
			{Service: once("dispatch-app"), Count: 3},
		},
		Classes: []state.Class{
			{Name: "rota", DeadlineMillis: 20_000, Weight: 1},
			{Name: "chat", DeadlineMillis: 8_000, Weight: 1},
			{Name: "swap", DeadlineMillis: 2_000, Urgent: true},
			{Name: "alert", DeadlineMillis: 2_000, Urgent: true},
		},
		Customers: []state.Customer{
			customer("depot", "rota"),
			customer("driver", "chat"),
			customer("dispatcher", "swap"),
		},
	}
}

func hay() Deployment {
	return Deployment{
		Name:           Hay,
		FailureDomains: []string{"temuco-a", "temuco-b", "victoria"},
		Hosts:          7,
		Services: []Runners{
			{Service: engines("tasador", 0.5, 1), Count: 12},
			{Service: once("remate"), Count: 3},
		},
		Classes: []state.Class{
			{Name: "verdict", DeadlineMillis: 15_000, Weight: 2},
			{Name: "reply", DeadlineMillis: 10_000, Weight: 1},
			{Name: "bid", DeadlineMillis: 2_000, Urgent: true},
			{Name: "haulage", DeadlineMillis: 2_000, Urgent: true},
		},
		Customers: []state.Customer{
			customer("exchange", "verdict"),
			customer("farmer", "reply"),
			customer("auction", "bid"),
		},
	}
}

// engines is a service of model engines whose model has the service's name.
func engines(name string, goodput, roleChange float64) state.Service {
	return state.Service{
		Name:             name,
		Kind:             state.KindEngine,
		Models:           []string{name},
		RetryShare:       0.1,
		GoodputWeight:    goodput,
		RoleChangeWeight: roleChange,
	}
}

// once is a plain service whose calls run at most once.
func once(name string) state.Service {
	return state.Service{Name: name, Kind: state.KindService, NotRepeatable: true, RetryShare: 0.1}
}

func customer(name, class string) state.Customer {
	digest := sha256.Sum256([]byte(DemoKey(name)))
	return state.Customer{Name: name, KeySHA256: hex.EncodeToString(digest[:]), Weight: 1, Class: class}
}
