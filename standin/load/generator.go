package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/standin/answer"
)

// vocabulary is the number of words that prompts are made of.
const vocabulary = 5000

// Request is one request of the run.
type Request struct {
	// N numbers the requests from 0.
	N int
	// At is when it is sent, from the beginning of the run.
	At    time.Duration
	Shape *Shape
	// Body is the request of a model; nil for a service's call.
	Body *callerapi.CompletionRequest
	// Expected checks the answer of a model.
	Expected *Checker
}

// Generator makes the same requests for the same seed: arrivals are a Poisson
// process, whatever becomes of earlier requests.
type Generator struct {
	shapes []Shape
	rate   float64
	swing  time.Duration
	random *rand.Rand
	books  map[string][]string
	n      int
	at     time.Duration
}

// NewGenerator makes rate requests a second. With a swing period the shares
// move as the shapes say; with 0 they don't.
func NewGenerator(shapes []Shape, rate float64, swing time.Duration, seed uint64) *Generator {
	g := &Generator{
		shapes: shapes,
		rate:   rate,
		swing:  swing,
		random: rand.New(rand.NewPCG(seed, 0)),
		books:  map[string][]string{},
	}
	for i := range shapes {
		s := &shapes[i]
		for range s.Books {
			g.books[s.Class] = append(g.books[s.Class], g.words(s.BookWords))
		}
	}
	return g
}

// Next returns the next request.
func (g *Generator) Next() Request {
	g.at += time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
	r := Request{N: g.n, At: g.at, Shape: g.pick()}
	g.n++
	if r.Shape.Model != "" {
		g.prompt(&r)
	}
	return r
}

// pick chooses a shape by its present share.
func (g *Generator) pick() *Shape {
	total := 0.0
	for i := range g.shapes {
		total += g.share(&g.shapes[i])
	}
	x := g.random.Float64() * total
	for i := range g.shapes {
		x -= g.share(&g.shapes[i])
		if x < 0 {
			return &g.shapes[i]
		}
	}
	return &g.shapes[len(g.shapes)-1]
}

func (g *Generator) share(s *Shape) float64 {
	if g.swing == 0 {
		return s.Share
	}
	turn := 2 * math.Pi * float64(g.at) / float64(g.swing)
	return s.Share * (1 + s.Swing*math.Sin(turn))
}

// prompt fills in the body: a shared beginning, words of its own, the request's
// number and the length of the answer.
func (g *Generator) prompt(r *Request) {
	s := r.Shape
	books := g.books[s.Class]
	book := books[g.random.IntN(len(books))]
	length := g.between(s.Output)
	own := fmt.Sprintf("%s request-%d len=%d", g.words(g.between(s.Words)), r.N, length)
	body := callerapi.CompletionRequest{Model: s.Model, MaxTokens: s.MaxTokens, Stream: true}
	if s.Chat {
		body.Messages = []engineapi.Message{{Role: "system", Content: book}, {Role: "user", Content: own}}
	} else {
		body.Prompt = book + " " + own
	}
	r.Body = &body
	r.Expected = NewChecker(answer.Text(body.Prompt, body.Messages), body.MaxTokens)
}

func (g *Generator) between(bounds [2]int) int {
	return bounds[0] + g.random.IntN(bounds[1]-bounds[0]+1)
}

func (g *Generator) words(n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteByte('w')
		b.WriteString(strconv.Itoa(g.random.IntN(vocabulary)))
	}
	return b.String()
}
