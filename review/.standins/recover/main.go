// Command recover plays the case RECOVER: all processes are killed while the platform's store begins to be silent.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/fleet"
)

const (
	// baseline is how long traffic runs before the final fault, silence how long the store is silent, restart how long after
	// its end a process is started again, and recovery the rule's bound.
	baseline = 6 * time.Second
	silence  = 9 * time.Second
	restart  = 500 * time.Millisecond
	recovery = 12 * time.Second
	// judged is how long requests are judged after the bound, and perSecond how many are sent a second.
	judged    = 5 * time.Second
	perSecond = 40
)

func main() {
	os.Exit(play(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

func play(record string, trouble bool) int {
	f, err := fleet.New(4, record)
	if err != nil {
		fmt.Println("can't run:", err)
		return 2
	}
	defer f.Stop()
	book := fleet.NewBook(f)
	for n, domain := range fleet.Domains {
		r, err := fleet.NewRunner(book, fmt.Sprintf("i-app%d", n), "", fmt.Sprintf("127.%d.%d.2:0", f.Net, 100+n))
		if err != nil {
			fmt.Println("can't run:", err)
			return 2
		}
		defer r.Close()
		f.List(r.ID, fleet.ServicePlain, r.Addr(), domain, "")
	}
	f.Configure(3, fleet.Route("safe", "safe", fleet.ServicePlain, 1000, 100, 2, false), fleet.Route("unsafe", "unsafe", fleet.ServicePlain, 1000, 100, 1, false))
	if err := f.StartAll(); err != nil {
		fmt.Println("can't run:", err)
		return 2
	}
	stop := make(chan struct{})
	f.Balance(stop)
	var mu sync.Mutex
	var results []fleet.Result
	var sending sync.WaitGroup
	var sent atomic.Int64
	traffic := make(chan struct{})
	go func() {
		defer close(traffic)
		for tick := time.NewTicker(time.Second / perSecond); ; {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			n := int(sent.Add(1))
			sending.Go(func() {
				path, id := "/safe/x", fmt.Sprintf("%016x", n)
				if n%2 == 0 {
					path = "/unsafe/x"
				}
				got := f.Send(f.Choose(n), "POST", path, id, time.Second, nil, "bid "+id)
				f.Logf("client: %s sent at %s: status %d, whole %t %s", id, got.Sent.Format("05.000"), got.Status, got.Whole, got.Wrong)
				mu.Lock()
				results = append(results, got)
				mu.Unlock()
			})
		}
	}()
	time.Sleep(baseline)
	fault := time.Now()
	if trouble {
		f.Link.SetSilent(true)
		f.Logf("the store falls silent")
		time.AfterFunc(silence, func() {
			f.Link.SetSilent(false)
			f.Logf("the store answers again")
		})
		for _, h := range f.Hosts {
			h.Kill()
		}
		time.Sleep(restart)
		for _, h := range f.Hosts {
			if err := h.Start(false); err != nil {
				fmt.Println("can't run:", err)
				return 2
			}
		}
	}
	back := time.Now()
	f.Logf("the machines are back")
	time.Sleep(time.Until(back.Add(recovery + judged)))
	close(stop)
	<-traffic
	sending.Wait()
	before, beforeServed, after, afterServed := 0, 0, 0, 0
	for _, r := range results {
		switch {
		case r.Sent.Before(fault.Add(-time.Second)):
			before++
			if r.Served() {
				beforeServed++
			}
		case r.Sent.After(back.Add(recovery)):
			after++
			if r.Served() {
				afterServed++
			}
		}
	}
	f.Logf("served before the final fault: %d of %d; sent later than %s after the machines were back: %d of %d", beforeServed, before, recovery, afterServed, after)
	fmt.Printf("served before: %d of %d; later than %s after the machines were back: %d of %d\n", beforeServed, before, recovery, afterServed, after)
	switch {
	case before == 0 || after == 0 || 4*beforeServed < before:
		return 2
	case 4*afterServed < after:
		fmt.Println("RECOVER is broken")
		return 1
	}
	return 0
}
