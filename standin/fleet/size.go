package fleet

import (
	"fmt"
	"slices"

	"github.com/thymerack/thymerack/state"
)

// Size changes how large a deployment is. Zero fields keep what it has.
type Size struct {
	Hosts int
	// Engines are spread over Models engine services.
	Engines, Models int
	// ServiceRunners counts with Engines only.
	ServiceRunners int
	// Customers are added to the deployment's own.
	Customers int
}

// Resized returns the deployment in another size. With a number of engines its
// runners are idle ones that one process serves.
func (d Deployment) Resized(s Size) Deployment {
	if s.Hosts > 0 {
		d.Hosts = s.Hosts
	}
	if s.Engines > 0 {
		d.SharedRunners = true
		d.Services = resizedServices(d.Services, s)
	}
	d.Customers = slices.Clone(d.Customers)
	for i := range s.Customers {
		d.Customers = append(d.Customers, customer(fmt.Sprintf("customer-%04d", i+1), d.Classes[i%len(d.Classes)].Name))
	}
	return d
}

// resizedServices copies the engine service as often as there are models.
func resizedServices(services []Runners, s Size) []Runners {
	var out []Runners
	for _, r := range services {
		if r.Service.Kind != state.KindEngine {
			r.Count = s.ServiceRunners
			out = append(out, r)
			continue
		}
		models := max(1, s.Models)
		for m := range models {
			copied := r
			copied.Count = s.Engines / models
			if m < s.Engines%models {
				copied.Count++
			}
			if m > 0 {
				copied.Service.Name = fmt.Sprintf("%s-%d", r.Service.Name, m+1)
				copied.Service.Models = []string{copied.Service.Name}
			}
			out = append(out, copied)
		}
	}
	return out
}
