package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/thymerack/thymerack/protocol/platformapi"
	"github.com/thymerack/thymerack/standin/serving"
	"github.com/thymerack/thymerack/state"
)

// The object of the shared configuration.
const (
	kindConfig = "config"
	nameConfig = "shared"
)

// Command is the command line of a platform.
type Command struct {
	Listen  string        `arg:"--listen" default:"127.0.0.1:7000" help:"ip:port to serve at"`
	Hosts   string        `arg:"--hosts" help:"JSON file with the first rows of the host list"`
	Config  string        `arg:"--config" help:"JSON file with the first object config/shared"`
	HostLag time.Duration `arg:"--host-lag" default:"2s" help:"time until a change of the host list shows"`
	Writes  float64       `arg:"--writes" default:"500" help:"writes a second before 429"`
	Reads   float64       `arg:"--reads" default:"2000" help:"reads a second before 429"`
	History int           `arg:"--history" default:"10000" help:"changes of each kind that a watch can go back"`
}

// Run serves until ctx ends.
func (c *Command) Run(ctx context.Context) error {
	options := Options{
		WritesPerSecond: c.Writes,
		ReadsPerSecond:  c.Reads,
		HistoryLimit:    c.History,
		HostLag:         c.HostLag,
	}
	if err := readJSON(c.Hosts, &options.Hosts); err != nil {
		return err
	}
	var config state.Config
	if err := readJSON(c.Config, &config); err != nil {
		return err
	}
	if c.Config != "" {
		value, err := json.Marshal(config)
		if err != nil {
			return fmt.Errorf("encode %s: %w", c.Config, err)
		}
		options.Objects = []platformapi.Object{{Kind: kindConfig, Name: nameConfig, Value: value}}
	}
	s, err := New(options)
	if err != nil {
		return err
	}
	slog.Info("platform serves", "addr", c.Listen, "hosts", len(options.Hosts))
	return serving.Run(ctx, s.App(), c.Listen)
}

// readJSON reads a file into v; without a path v stays as it is.
func readJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read %s: %w; give the path of a readable file", path, err)
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("%s: %w; mend the JSON", path, err)
	}
	return nil
}
