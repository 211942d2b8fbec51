// Command upload plays the case UNASKED: clients send forms of several parts, as browsers and command-line tools do.
package main

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"review/fleet"
)

const (
	// traffic is how long clients send, and perSecond how many requests: those of the site.
	traffic   = 10 * time.Second
	perSecond = 50
	// formEvery is how many requests there are for one form.
	formEvery = 5
	boundary  = "----review7d1f0c"
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
	for n, domain := range fleet.Domains {
		r, err := fleet.NewRunner(book, fmt.Sprintf("i-app%d", n), "", fmt.Sprintf("127.%d.%d.2:0", f.Net, 100+n))
		if err != nil {
			fmt.Println("can't run:", err)
			return 2
		}
		defer r.Close()
		f.List(r.ID, fleet.ServicePlain, r.Addr(), domain, "")
	}
	f.Configure(3, fleet.Route("puja", "unsafe", fleet.ServicePlain, 1000, 100, 1, false))
	if err := f.StartAll(); err != nil {
		fmt.Println("can't run:", err)
		return 2
	}
	// The type says what the body is; nothing else differs.
	formType := "application/octet-stream"
	if trouble {
		formType = "multipart/form-data; boundary=" + boundary
	}
	stop := make(chan struct{})
	f.Balance(stop)
	var mu sync.Mutex
	var sending sync.WaitGroup
	bodies, forms, served := map[string]string{}, 0, 0
	time.Sleep(time.Second)
	began := time.Now()
	for n := 0; time.Since(began) < traffic; n++ {
		id, body, kind := fmt.Sprintf("%016x", n), fmt.Sprintf(`{"bid":%d}`, n), "application/json"
		if n%formEvery == 0 {
			body, kind = form(n), formType
			forms++
		}
		mu.Lock()
		bodies[id] = body
		mu.Unlock()
		sending.Go(func() {
			got := f.Send(f.Choose(n), http.MethodPost, "/puja/x", id, time.Second, map[string]string{"Content-Type": kind}, body)
			f.Logf("client: %s sends %d bytes of %s, digest %x: status %d, whole %t %s", id, len(body), kind, sha256.Sum256([]byte(body)), got.Status, got.Whole, got.Wrong)
			mu.Lock()
			defer mu.Unlock()
			if got.Served() {
				served++
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	sending.Wait()
	close(stop)
	changed := 0
	for _, w := range book.Works() {
		if w.Body == bodies[w.ID] && w.URI == "/puja/x" && w.Method == http.MethodPost {
			continue
		}
		changed++
		f.Logf("BROKEN: %s ran %s with %d bytes, digest %x; the client sent %d bytes", w.Runner, w.ID, len(w.Body), sha256.Sum256([]byte(w.Body)), len(bodies[w.ID]))
		if changed == 1 {
			f.Logf("sent: %q", bodies[w.ID])
			f.Logf("ran:  %q", w.Body)
		}
	}
	text := fmt.Sprintf("%d of %d requests served, %d of them forms; %d ran with a body that no client sent", served, len(bodies), forms, changed)
	f.Logf("%s", text)
	fmt.Println(text)
	switch {
	case 2*served < len(bodies):
		return 2
	case changed > 0:
		return 1
	}
	return 0
}

// form is a form of four fields, the last one a file, as RFC 7578 writes it.
func form(n int) string {
	var b strings.Builder
	field := func(disposition, value string) {
		fmt.Fprintf(&b, "--%s\r\nContent-Disposition: form-data; %s\r\n\r\n%s\r\n", boundary, disposition, value)
	}
	field(`name="lot"`, fmt.Sprint(n))
	field(`name="bidder"`, "feedlot-7")
	field(`name="amount"`, "1250")
	field(`name="certificate"; filename="moisture.txt"`, "11.4 %")
	fmt.Fprintf(&b, "--%s--\r\n", boundary)
	return b.String()
}
