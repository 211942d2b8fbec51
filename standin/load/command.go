package load

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/thymerack/thymerack/standin/fleet"
)

// Command is the command line of the load program.
type Command struct {
	Targets     []string      `arg:"--targets,required" help:"hosts' ip:port, served in turn"`
	Services    []string      `arg:"--services" help:"services' ip:port, whose counts are read at the end"`
	Preset      string        `arg:"--preset" default:"rostering" help:"mix: rostering or hay; one kind only: one-token, many-tokens, long-prompt or one-call, of rostering"`
	Rate        float64       `arg:"--rate" default:"20" help:"requests a second"`
	Duration    time.Duration `arg:"--duration" default:"30s"`
	Seed        uint64        `arg:"--seed" default:"1" help:"the same seed sends the same requests"`
	Swing       time.Duration `arg:"--swing" help:"period in which the mix shifts between long prompts and long outputs [default: no shift]"`
	Keys        string        `arg:"--keys" help:"keys.json of standin fleet [default: the example keys]"`
	Patience    time.Duration `arg:"--patience" default:"10s" help:"wait after the deadline until an answer counts as cut"`
	Idle        time.Duration `arg:"--idle" default:"10s" help:"silence after which a connection is given up"`
	ReadyEvery  time.Duration `arg:"--ready-every" default:"500ms" help:"period of readiness checks"`
	MaxInFlight int64         `arg:"--max-in-flight" default:"5000" help:"requests at one time"`
	JSON        bool          `arg:"--json" help:"print the report as JSON"`
}

// Run prints the report and returns a *FailureError if an answer was cut, wrong
// or doubled.
func (c *Command) Run(ctx context.Context) error {
	keys, err := c.keys()
	if err != nil {
		return err
	}
	report, err := Run(ctx, Options{
		Targets:     c.Targets,
		Services:    c.Services,
		Preset:      c.Preset,
		Rate:        c.Rate,
		Duration:    c.Duration,
		Seed:        c.Seed,
		Swing:       c.Swing,
		Keys:        keys,
		Patience:    c.Patience,
		Idle:        c.Idle,
		ReadyEvery:  c.ReadyEvery,
		MaxInFlight: c.MaxInFlight,
	})
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	return report.Failure()
}

func (c *Command) print(r *Report) error {
	if !c.JSON {
		return r.Table(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// keys reads the customers' keys, or takes those of the example deployment.
func (c *Command) keys() (map[string]string, error) {
	if c.Keys == "" {
		return exampleKeys(c.Preset)
	}
	text, err := os.ReadFile(c.Keys)
	if err != nil {
		return nil, fmt.Errorf("read the keys: %w; write them with standin fleet", err)
	}
	var list []fleet.Key
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("%s: %w; write it with standin fleet", c.Keys, err)
	}
	keys := map[string]string{}
	for _, k := range list {
		keys[k.Customer] = k.Key
	}
	return keys, nil
}

func exampleKeys(deployment string) (map[string]string, error) {
	d, err := fleet.Find(deployment)
	if err != nil {
		return nil, err
	}
	keys := map[string]string{}
	for _, t := range d.Customers {
		keys[t.Name] = fleet.DemoKey(t.Name)
	}
	return keys, nil
}
