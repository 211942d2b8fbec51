// Command goeson plays the case TWICE: engines lose the answers of requests that they go on running.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"review/fleet"
)

const (
	engines = 9
	// share of the engines lose part of their answers for some seconds; the site's largest doses are 0.6, 0.4 and 6.
	share, part = 0.6, 0.4
	losing      = 6 * time.Second
	// grace is how long the runner before may still work.
	grace     = 400 * time.Millisecond
	perSecond = 6
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
	book := fleet.NewBook(f)
	var runners []*fleet.Runner
	for n := range engines {
		stage := "decode"
		if n%2 == 0 {
			stage = "prefill"
		}
		r, err := fleet.NewRunner(book, fmt.Sprintf("i-engine%d", n), stage, fmt.Sprintf("127.%d.%d.2:0", f.Net, 100+n))
		if err != nil {
			fmt.Println("can't run:", err)
			return 2
		}
		defer r.Close()
		runners = append(runners, r)
		f.List(r.ID, fleet.ServiceEngines, r.Addr(), fleet.Domains[n%len(fleet.Domains)], stage)
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
	began := time.Now()
	for n := 0; time.Since(began) < losing+6*time.Second; n++ {
		if n == 3*perSecond && trouble {
			for i, r := range runners {
				if float64(i+1) <= share*engines {
					r.Lose(func(string) (int, bool) { return 10, rand.Float64() < part })
				}
			}
			time.AfterFunc(losing, func() {
				for _, r := range runners {
					r.Lose(nil)
				}
			})
			f.Logf("some engines begin to lose answers")
		}
		sending.Go(func() {
			id := fmt.Sprintf("%016x", n)
			got := f.Send(f.Choose(n), "POST", "/consulta/x", id, 15*time.Second, map[string]string{
				"X-Thymerack-Model": "m", "X-Thymerack-Token-Count": "220,90", "X-Thymerack-Prefix-Hash": fmt.Sprintf("5c:48,91:31,%x:141", n+4096),
			}, strings.Repeat("x", 440))
			f.Logf("client: %s: status %d, %d events, whole %t %s", id, got.Status, got.Events, got.Whole, got.Wrong)
			mu.Lock()
			results = append(results, got)
			mu.Unlock()
		})
		time.Sleep(time.Second / perSecond)
	}
	sending.Wait()
	close(stop)
	served := 0
	for _, r := range results {
		if r.Served() {
			served++
		}
	}
	broken := judge(f, book.Works(), book)
	f.Logf("%d of %d streams came whole; %d went on at another engine while the one before still worked", served, len(results), broken)
	fmt.Printf("%d of %d streams came whole; %d went on at another engine while the one before still worked 400 ms later\n", served, len(results), broken)
	switch {
	case 2*served < len(results):
		return 2
	case broken > 0:
		return 1
	}
	return 0
}

// judge counts the requests that go on at another engine while the one before still works on them too much later.
func judge(f *fleet.Fleet, works []fleet.Work, book *fleet.Book) int {
	broken := 0
	for i, next := range works {
		if next.After == "" && next.Source == "" {
			continue
		}
		for _, before := range works[:i] {
			end := before.End
			if end.IsZero() {
				end = time.Now()
			}
			if before.ID != next.ID || before.Runner == next.Runner || !end.After(next.Begin.Add(grace)) {
				continue
			}
			reached := book.Answered(before.Runner, next.From, next.Begin.Add(-time.Second), end)
			f.Logf("%s goes on at %s after event %s, and %s works on it for %s more; it answered %s meanwhile: %t",
				next.ID, next.Runner, next.After, before.Runner, end.Sub(next.Begin).Round(time.Millisecond), next.From, reached)
			if reached {
				broken++
			}
		}
	}
	return broken
}
