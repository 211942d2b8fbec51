// Command crash plays the case ORDER: engines crash whose streams have no length and end with their connection.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"review/fleet"
)

const (
	engines = 8
	// share of the engines crash for good; the site's largest dose is 0.25.
	share = 0.25
	// events is how many each stream has, and perSecond how many streams are sent.
	events    = 90
	perSecond = 8
	before    = 5 * time.Second
	after     = 3 * time.Second
	// expiry is after which the store drops the entries of engines that are gone: three heartbeats.
	expiry = 3600 * time.Millisecond
)

func main() {
	os.Exit(play(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

func play(record string, trouble bool) int {
	f, err := fleet.New(3, record)
	if err != nil {
		fmt.Println("can't run:", err)
		return 2
	}
	defer f.Stop()
	var started []*fleet.Engine
	for n := range engines {
		stage := "decode"
		if n%3 == 0 {
			stage = "prefill"
		}
		e, err := f.StartEngine(fmt.Sprintf("i-engine%d", n), stage, fmt.Sprintf("127.%d.%d.2:0", f.Net, 100+n), fleet.Domains[n%len(fleet.Domains)])
		if err != nil {
			fmt.Println("can't run:", err)
			return 2
		}
		defer e.Kill()
		started = append(started, e)
	}
	f.Configure(3, fleet.Route("consulta", "stream", fleet.ServiceEngines, 15000, 150, 2, true))
	if err := f.StartAll(); err != nil {
		fmt.Println("can't run:", err)
		return 2
	}
	stop := make(chan struct{})
	f.Balance(stop)
	time.Sleep(12 * time.Second) // the fleet orders its stages before the traffic
	var mu sync.Mutex
	var results []fleet.Result
	var sending sync.WaitGroup
	began, crashed := time.Now(), false
	for n := 0; time.Since(began) < before+after; n++ {
		if trouble && !crashed && time.Since(began) > before {
			crashed = true
			crash(f, started)
		}
		sending.Go(func() {
			id := fmt.Sprintf("%016x", n)
			got := f.Send(f.Choose(n), "POST", "/consulta/x", id, 15*time.Second, map[string]string{
				"X-Thymerack-Model": "m", "X-Thymerack-Token-Count": fmt.Sprintf("220,%d", events), "X-Thymerack-Prefix-Hash": fmt.Sprintf("5c:48,91:31,%x:141", n+4096),
			}, strings.Repeat("x", 440))
			f.Logf("client: %s: status %d, %d events, framed as whole %t %s", id, got.Status, got.Events, got.Whole, got.Wrong)
			mu.Lock()
			results = append(results, got)
			mu.Unlock()
		})
		time.Sleep(time.Second / perSecond)
	}
	sending.Wait()
	close(stop)
	whole, short, broken := 0, 0, 0
	for _, r := range results {
		switch {
		case r.Served() && r.Events == events:
			whole++
		case r.Served():
			short++
			f.Logf("BROKEN: %s ends as complete after event %d of %d", r.ID, r.Events, events)
		default:
			broken++
		}
	}
	text := fmt.Sprintf("%d streams: %d whole, %d ended as complete before their last event, %d failed or broken off", len(results), whole, short, broken)
	f.Logf("%s", text)
	fmt.Println(text)
	switch {
	case 2*whole < len(results):
		return 2
	case short > 0:
		return 1
	}
	return 0
}

// crash kills engines that generate, and has their entries expire.
func crash(f *fleet.Fleet, started []*fleet.Engine) {
	left := int(share * engines)
	for _, e := range started {
		if left == 0 || e.Stage() != "decode" {
			continue
		}
		left--
		f.Logf("%s crashes", e.ID)
		e.Kill()
		time.AfterFunc(expiry, func() { f.Store.Remove(fleet.KindInstances, e.ID) })
	}
}
