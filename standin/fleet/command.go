package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// The files that Command writes.
const (
	hostsFile  = "hosts.json"
	configFile = "config.json"
	keysFile   = "keys.json"
	planFile   = "plan.json"
)

const maxPort = 65535

// Command is the command line that writes the files of a deployment.
type Command struct {
	Deployment string `arg:"--deployment" default:"rostering" help:"rostering or hay"`
	BasePort   int    `arg:"--base-port" default:"7000" help:"first of 200 ports of 127.0.0.1; keep below 32768, where outgoing connections take theirs"`
	Out        string `arg:"--out" default:"out" help:"directory for hosts.json, config.json, keys.json and plan.json"`

	Hosts          int `arg:"--hosts" help:"hosts, instead of the deployment's"`
	Engines        int `arg:"--engines" help:"engines, instead of the deployment's, served idle by one process"`
	Models         int `arg:"--models" default:"1" help:"engine services that share them"`
	ServiceRunners int `arg:"--service-runners" help:"runners of the plain service, beside --engines"`
	Customers      int `arg:"--customers" help:"customers to add to the deployment's"`
}

// Run writes the files.
func (c *Command) Run(context.Context) error {
	d, err := Find(c.Deployment)
	if err != nil {
		return err
	}
	d = d.Resized(Size{Hosts: c.Hosts, Engines: c.Engines, Models: c.Models, ServiceRunners: c.ServiceRunners, Customers: c.Customers})
	if last := maxPort - d.PortsUsed(); c.BasePort < 1 || c.BasePort > last {
		return fmt.Errorf("base port %d is outside 1 to %d; choose another", c.BasePort, last)
	}
	plan := Lay(d, c.BasePort, c.Out)
	if err := plan.Config.Validate(); err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("make directory %s: %w; name one that can be written", c.Out, err)
	}
	return plan.write(c.Out)
}

func (p Plan) write(dir string) error {
	if err := writeJSON(filepath.Join(dir, hostsFile), p.Listed); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, configFile), p.Config); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, keysFile), p.Keys); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, planFile), p)
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write %s: %w; name a directory that can be written", path, err)
	}
	return nil
}
