package fleet

import (
	"testing"

	"github.com/matryer/is"
)

func TestResizedSpreadsTheEnginesAndKeepsPortsApart(t *testing.T) {
	is := is.New(t)
	d := rostering().Resized(Size{Hosts: 320, Engines: 1785, Models: 16, ServiceRunners: 15, Customers: 1697})
	plan := Lay(d, 10000, "out")
	is.NoErr(plan.Config.Validate())
	is.Equal(len(plan.Hosts), 320)
	is.Equal(len(plan.Listed), 320+1785+15)
	is.Equal(len(plan.Config.Customers), 1700)
	is.Equal(len(plan.Processes), 2) // the platform and one for all runners
	addrs := map[string]bool{}
	perService := map[string]int{}
	for _, h := range plan.Hosts {
		addrs[h.CallerAddr] = true
	}
	for _, l := range plan.Listed {
		addrs[l.Addr] = true
		perService[l.Service]++
	}
	is.Equal(len(addrs), 2*320+1800)
	is.Equal(len(perService), 18) // the hosts, 16 models and the plain service
	is.Equal(perService["roster-llm"], 112)
	is.True(d.PortsUsed() >= 10+2*320+1800)
}

func TestTheExampleKeepsItsPortsWithoutASize(t *testing.T) {
	is := is.New(t)
	is.Equal(Lay(rostering().Resized(Size{}), 7000, "out"), Lay(rostering(), 7000, "out"))
}
