// Command thymerackd is the daemon that runs on every host.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/thymerack/thymerack/daemon"
	"github.com/thymerack/thymerack/daemon/logqueue"
	"github.com/thymerack/thymerack/daemon/routed"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/settings"
)

// flags are the command line.
type flags struct {
	Config      string   `arg:"-c,--config" help:"INI file with this host's settings"`
	Set         []string `arg:"-s,--set,separate" placeholder:"SECTION.KEY=VALUE" help:"override one setting; may be repeated"`
	CheckConfig bool     `arg:"--check-config" help:"check the settings and exit"`

	Platform     bool          `arg:"--platform" help:"serve the routes of the users' platform, whose settings file the environment names"`
	MetricsPort  int           `arg:"--metrics-port" help:"port of the metrics with --platform; 0 serves none" default:"0"`
	PrefillShare float64       `arg:"--prefill-share" help:"share of a service's engines that read prompts, with --platform" default:"0.64"`
	SplitTokens  int           `arg:"--split-tokens" help:"prompt size from which a prompt is read at an engine of its own, with --platform" default:"600"`
	RunnerNeed   float64       `arg:"--runner-need" help:"runners that carry the load, as a share of those that the deployment starts with, with --platform" default:"1"`
	FirstTraffic time.Duration `arg:"--first-traffic" help:"time after a deployment's first start before which no caller comes, as 14s, with --platform; 0 if callers may come at once"`
	LogLevel     string        `arg:"--log-level" help:"debug, info, warn or error, with --platform" default:"info"`
}

// Description implements arg.Described.
func (flags) Description() string {
	return "thymerackd serves callers between the balancer and the upstreams of a fixed fleet."
}

func main() {
	var f flags
	arg.MustParse(&f)
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "thymerackd:", err)
		os.Exit(1)
	}
}

// gcPercent makes the collector run at half the heap's growth of the default: an
// idle host then needs a fifth less memory and no more processor time that could
// be measured. GOGC in the environment goes before it.
const gcPercent = 50

func run(f flags) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if f.Platform {
		return runRouted(f)
	}
	s, err := settings.Load(f.Config, os.Environ(), f.Set)
	if err != nil {
		return err
	}
	if f.CheckConfig {
		fmt.Println("the settings are valid")
		return nil
	}
	level := new(slog.LevelVar)
	log, err := daemon.NewLogger(os.Stderr, s.Log, level)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, log, level)
	if err != nil {
		return err
	}
	return d.Run(signals())
}

// runRouted serves the users' platform.
func runRouted(f flags) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // first of all: until then the signal ends the process
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if f.CheckConfig {
		fmt.Println("the settings are valid")
		return nil
	}
	out := logqueue.New(os.Stdout)
	defer out.Close()
	log, err := daemon.NewLogger(out, settings.Log{Level: f.LogLevel, Format: "json"}, new(slog.LevelVar))
	if err != nil {
		return err
	}
	h, err := routed.New(routed.Options{
		Settings: s, Log: log, MetricsPort: f.MetricsPort, PrefillShare: f.PrefillShare, SplitTokens: f.SplitTokens, RequiredRunnerShare: f.RunnerNeed, FirstTrafficDelay: f.FirstTraffic,
		LogLinesDropped: out.Dropped,
	})
	if err != nil {
		return err
	}
	stop, _ := signals()
	go func() {
		for range reloads {
			s, err := platform.LoadSettings()
			if err != nil {
				log.Error("settings not reloaded; the last ones stay in force", "cause", err.Error())
				continue
			}
			h.Reload(s)
		}
	}()
	return h.Run(stop)
}

// signals returns a context that ends with the first SIGTERM or SIGINT, and one
// that ends with the second.
func signals() (first, second context.Context) {
	first, stopFirst := context.WithCancel(context.Background())
	second, stopSecond := context.WithCancel(context.Background())
	got := make(chan os.Signal, 2)
	signal.Notify(got, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-got
		stopFirst()
		<-got
		stopSecond()
	}()
	return first, second
}
