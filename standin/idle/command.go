package idle

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Command is the command line of many idle runners in one process. With a list
// it serves the rows of its part; else Count engines on ports from BasePort on.
type Command struct {
	List     string `arg:"--list" help:"hosts.json of standin fleet; its engines and services are served"`
	Part     int    `arg:"--part" default:"0" help:"which part of the list this process serves, from 0"`
	Parts    int    `arg:"--parts" default:"1" help:"processes that share the list"`
	Count    int    `arg:"--count" default:"12" help:"engines to serve without a list"`
	BasePort int    `arg:"--base-port" default:"7100" help:"port of the first of them on 127.0.0.1"`
	Model    string `arg:"--model" default:"model" help:"their service and model"`
	LagMS    int    `arg:"--report-lag-ms" default:"1000" help:"age of the load reports"`
}

// Run serves until ctx ends.
func (c *Command) Run(ctx context.Context) error {
	rows, err := c.rows()
	if err != nil {
		return err
	}
	s, err := NewServer(rows, time.Duration(c.LagMS)*time.Millisecond)
	if err != nil {
		return err
	}
	slog.Info("idle runners serve", "runners", len(rows))
	return s.Run(ctx)
}

func (c *Command) rows() ([]state.Listed, error) {
	if c.List == "" {
		return c.numbered(), nil
	}
	if c.Parts < 1 || c.Part < 0 || c.Part >= c.Parts {
		return nil, fmt.Errorf("part %d of %d doesn't exist; count parts from 0", c.Part, c.Parts)
	}
	text, err := os.ReadFile(c.List)
	if err != nil {
		return nil, fmt.Errorf("read the list: %w; write it with standin fleet", err)
	}
	var all, part []state.Listed
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("%s: %w; write it with standin fleet", c.List, err)
	}
	runners := 0
	for _, row := range all {
		if row.Kind == state.ListedHost {
			continue
		}
		if runners%c.Parts == c.Part {
			part = append(part, row)
		}
		runners++
	}
	return part, nil
}

func (c *Command) numbered() []state.Listed {
	var rows []state.Listed
	for i := range c.Count {
		rows = append(rows, state.Listed{
			Name: fmt.Sprintf("%s-%02d", c.Model, i+1), Kind: state.ListedEngine, State: state.ListedLive,
			Addr: net.JoinHostPort("127.0.0.1", strconv.Itoa(c.BasePort+i)), Service: c.Model, ChecksFence: true,
		})
	}
	return rows
}
