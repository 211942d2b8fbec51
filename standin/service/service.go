// Package service stands in for a plain service. It counts how often each key
// was executed, echoes the call, and fails on demand.
package service

import (
	"fmt"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/standin/serving"
)

// The faults that a POST to /fault sets.
const (
	// FaultLoseAnswer executes the next count calls and cuts their connections.
	FaultLoseAnswer = "lose_answer"
	// FaultSlow adds delay_ms to every execution.
	FaultSlow = "slow"
	// FaultRefuse answers 503 and executes nothing.
	FaultRefuse = "refuse"
	// FaultHang neither executes nor answers until the reset.
	FaultHang = "hang"
	// FaultReset ends every fault.
	FaultReset = "reset"
)

// Fault is the body of a POST to /fault.
type Fault struct {
	Fault       string `json:"fault"`
	DelayMillis int    `json:"delay_ms,omitempty"`
	Count       int    `json:"count,omitempty"`
}

// Echo is the body of every answer.
type Echo struct {
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	Path    string `json:"path"`
	// N is the number of executions of the key, or of the path without a key,
	// this one included.
	N int `json:"n"`
}

// Stats is what the service counted since it started.
type Stats struct {
	Name       string         `json:"name"`
	Executions int            `json:"executions"`
	Keys       map[string]int `json:"keys"`
	Paths      map[string]int `json:"paths"`
	Refused    int            `json:"refused"`
	// LostAnswers counts executions whose answer was cut off by a fault.
	LostAnswers int `json:"lost_answers"`
}

// Options are the settings of a service.
type Options struct {
	Name string
	// Work is the time that an execution takes.
	Work time.Duration
}

// Server is a service behind HTTP.
type Server struct {
	work time.Duration

	mu      sync.Mutex
	stats   Stats
	fault   Fault
	cleared chan struct{}
}

// New returns a service.
func New(o Options) *Server {
	stats := Stats{Name: o.Name, Keys: map[string]int{}, Paths: map[string]int{}}
	return &Server{work: o.Work, stats: stats, cleared: make(chan struct{})}
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App {
	app := serving.NewApp("service")
	app.Get("/stats", s.showStats)
	app.Post("/fault", s.setFault)
	app.Get("/healthz", s.health)
	app.Use(s.call)
	return app
}

func (s *Server) health(c fiber.Ctx) error {
	fault, cleared := s.present()
	if fault.Fault == FaultHang {
		<-cleared
	}
	return c.SendStatus(fiber.StatusOK)
}

func (s *Server) call(c fiber.Ctx) error {
	fault, cleared := s.present()
	switch fault.Fault {
	case FaultHang:
		<-cleared
		return serving.Cut(c)
	case FaultRefuse:
		s.refuse()
		return c.Status(fiber.StatusServiceUnavailable).
			JSON(engineapi.Problem{Error: "the service takes no calls; try another runner"})
	case FaultSlow:
		time.Sleep(time.Duration(fault.DelayMillis) * time.Millisecond)
	}
	time.Sleep(s.work)
	echo, lost := s.execute(c.Get(engineapi.HeaderKey), c.Path())
	if lost {
		return serving.Cut(c)
	}
	echo.Attempt = c.Get(engineapi.HeaderAttempt)
	c.Set(engineapi.HeaderAttempt, echo.Attempt)
	return c.JSON(echo)
}

// execute counts one execution and reports whether its answer is to be lost.
func (s *Server) execute(key, path string) (Echo, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Executions++
	s.stats.Paths[path]++
	echo := Echo{Key: key, Path: path, N: s.stats.Paths[path]}
	if key != "" {
		s.stats.Keys[key]++
		echo.N = s.stats.Keys[key]
	}
	if s.fault.Fault != FaultLoseAnswer || s.fault.Count == 0 {
		return echo, false
	}
	s.fault.Count--
	s.stats.LostAnswers++
	return echo, true
}

func (s *Server) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Refused++
}

// present returns the fault in force and the channel that a reset closes.
func (s *Server) present() (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.cleared
}

func (s *Server) showStats(c fiber.Ctx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(s.stats)
}

func (s *Server) setFault(c fiber.Ctx) error {
	var f Fault
	if err := serving.Decode(c, &f); err != nil {
		return badRequest(c, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Fault {
	case FaultLoseAnswer, FaultSlow, FaultRefuse, FaultHang:
		s.fault = f
	case FaultReset:
		s.fault = Fault{}
		close(s.cleared)
		s.cleared = make(chan struct{})
	default:
		return badRequest(c, fmt.Errorf("%q is not a fault; use %s, %s, %s, %s or %s", f.Fault,
			FaultLoseAnswer, FaultSlow, FaultRefuse, FaultHang, FaultReset))
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func badRequest(c fiber.Ctx, err error) error {
	return c.Status(fiber.StatusBadRequest).JSON(engineapi.Problem{Error: err.Error()})
}
