// Command gen writes the recorded traces of both deployments. The same seed
// gives the same files; they are committed, so that nobody needs to run it.
//
//	go run ./traces/gen -out traces
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"path/filepath"
)

func main() {
	out := flag.String("out", "traces", "directory to write to")
	seed := flag.Uint64("seed", 1, "seed of all traces")
	flag.Parse()
	for _, d := range []deployment{rostering(), hay()} {
		for _, s := range shapes() {
			name := filepath.Join(*out, d.name+"-"+s.name+".trace")
			if err := write(name, d, s, *seed); err != nil {
				log.Fatal(err)
			}
		}
	}
}

func write(name string, d deployment, s shape, seed uint64) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	g := &generator{d: d, s: s, rnd: rand.New(rand.NewPCG(seed, hash(d.name+s.name)))}
	g.write(w)
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}

// hash gives each trace random numbers of its own (FNV-1a).
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// generator writes one trace.
type generator struct {
	d   deployment
	s   shape
	rnd *rand.Rand
	// documents are the present prefix of each customer and class.
	documents map[string]*document
	prefixes  int
}

func (g *generator) write(w io.Writer) {
	g.documents = map[string]*document{}
	fmt.Fprintf(w, "# Written by traces/gen; times in milliseconds, lengths in tokens.\n")
	fmt.Fprintf(w, "trace %s %s\n", g.d.name, g.s.name)
	for _, c := range g.d.classes {
		fmt.Fprintf(w, "class %s deadline %d urgent %t max %d\n", c.name, c.deadlineMillis, c.urgent, c.maxTokens)
	}
	for _, e := range g.s.events {
		fmt.Fprintf(w, "event %d %s %s\n", e.atMillis, e.what, e.engine)
	}
	fmt.Fprintf(w, "# request at customer class prefix prefix_tokens prompt_tokens output_tokens\n")
	g.requests(w)
}

// requests merges the classes' Poisson arrivals by thinning one of the highest
// rate.
func (g *generator) requests(w io.Writer) {
	limit := 0.0
	for t := 0.0; t < g.s.seconds; t++ {
		limit = max(limit, g.total(t))
	}
	for t := g.rnd.ExpFloat64() / limit; t < g.s.seconds; t += g.rnd.ExpFloat64() / limit {
		g.arrival(w, t, g.rnd.Float64()*limit)
	}
}

// arrival writes the request, if any, that the draw x below the highest rate
// falls on.
func (g *generator) arrival(w io.Writer, t, x float64) {
	for i := range g.d.classes {
		c := &g.d.classes[i]
		rate := g.s.rate(c, t)
		if x < rate {
			g.request(w, c, t, g.customer())
			return
		}
		x -= rate
	}
	if x < g.s.floodRate(t) {
		g.request(w, &g.d.classes[1], t, 0)
	}
}

func (g *generator) total(t float64) float64 {
	sum := g.s.floodRate(t)
	for i := range g.d.classes {
		sum += g.s.rate(&g.d.classes[i], t)
	}
	return sum
}

// customer draws one of the customers but the first, which is kept for floods.
func (g *generator) customer() int { return 1 + g.rnd.IntN(g.d.customers-1) }

func (g *generator) request(w io.Writer, c *class, t float64, customer int) {
	doc := g.document(c, t, customer)
	own := c.own.draw(g.rnd)
	fmt.Fprintf(w, "%d %s%02d %s %d %d %d %d\n", int(t*1000), g.d.customerPrefix, customer, c.name,
		doc.id, doc.tokens, doc.tokens+own, c.output.draw(g.rnd))
}

// document is a text that several prompts begin with.
type document struct {
	id, tokens int
	until      float64
}

// document returns the text that the customer's prompts begin with at the moment.
func (g *generator) document(c *class, t float64, customer int) *document {
	key := fmt.Sprintf("%s/%d", c.name, customer%c.documents)
	doc := g.documents[key]
	if doc == nil || t >= doc.until {
		g.prefixes++
		doc = &document{id: g.prefixes, tokens: c.prefix.draw(g.rnd), until: t + c.lifeSeconds*(0.5+g.rnd.Float64())}
		g.documents[key] = doc
	}
	return doc
}
