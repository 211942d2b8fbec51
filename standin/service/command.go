package service

import (
	"context"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/standin/serving"
)

// Command is the command line of a service.
type Command struct {
	Listen     string `arg:"--listen" default:"127.0.0.1:7200" help:"ip:port to serve at"`
	Name       string `arg:"--name" default:"service-1" help:"name of this runner"`
	WorkMillis int    `arg:"--work-ms" default:"5" help:"time that an execution takes, in milliseconds"`
}

// Run serves until ctx ends.
func (c *Command) Run(ctx context.Context) error {
	s := New(Options{Name: c.Name, Work: time.Duration(c.WorkMillis) * time.Millisecond})
	slog.Info("service serves", "name", c.Name, "addr", c.Listen)
	return serving.Run(ctx, s.App(), c.Listen)
}
