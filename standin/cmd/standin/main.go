// Command standin runs the small processes that take the place of the platform,
// the engines and the services in tests and demonstrations, and the load program.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/thymerack/thymerack/standin/engine"
	"github.com/thymerack/thymerack/standin/fleet"
	"github.com/thymerack/thymerack/standin/idle"
	"github.com/thymerack/thymerack/standin/link"
	"github.com/thymerack/thymerack/standin/load"
	"github.com/thymerack/thymerack/standin/platform"
	"github.com/thymerack/thymerack/standin/service"
)

type arguments struct {
	Platform *platform.Command `arg:"subcommand:platform" help:"the object API and the host list"`
	Engine   *engine.Command   `arg:"subcommand:engine" help:"a model engine"`
	Engines  *idle.Command     `arg:"subcommand:engines" help:"many idle engines and services in one process"`
	Service  *service.Command  `arg:"subcommand:service" help:"a plain service"`
	Load     *load.Command     `arg:"subcommand:load" help:"send requests to the hosts and check the answers"`
	Links    *link.Command     `arg:"subcommand:links" help:"connections that can be dropped and cut"`
	Fleet    *fleet.Command    `arg:"subcommand:fleet" help:"write the files of an example deployment"`
}

// command is one subcommand.
type command interface {
	Run(ctx context.Context) error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("name a subcommand")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := chosen.Run(ctx); err != nil {
		slog.Error("standin ends", "error", err)
		os.Exit(1)
	}
}
