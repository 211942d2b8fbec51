package engine

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/standin/serving"
	"github.com/thymerack/thymerack/state"
)

// Command is the command line of an engine. Zero values keep the defaults.
type Command struct {
	Listen      string   `arg:"--listen" default:"127.0.0.1:7100" help:"ip:port to serve at"`
	Name        string   `arg:"--name" default:"engine-1" help:"name of this engine"`
	Role        string   `arg:"--role" default:"mixed" help:"mixed, prefill or decode"`
	Model       string   `arg:"--model,required" help:"model that is loaded, name or name@version"`
	Adapters    []string `arg:"--adapter,separate" help:"adapter that is loaded; may be repeated"`
	IgnoreFence bool     `arg:"--ignore-fence" help:"carry out orders with an old fence too"`

	PrefillRate    float64 `arg:"--prefill-rate" help:"prompt tokens a second [default: 8000]"`
	DecodeBaseMS   float64 `arg:"--decode-base-ms" help:"decode step of an empty batch [default: 12]"`
	DecodeSeqMS    float64 `arg:"--decode-seq-ms" help:"what a sequence adds to the step [default: 0.4]"`
	MaxBatch       int     `arg:"--max-batch" help:"sequences decoded together [default: 32]"`
	CacheTokens    int     `arg:"--cache-tokens" help:"memory of the prefix cache [default: 200000]"`
	RoleChangeMS   int     `arg:"--role-change-ms" help:"how long a role change takes [default: 3000]"`
	ModelLoadMS    int     `arg:"--model-load-ms" help:"how long loading a model takes [default: 6000]"`
	SampleMS       int     `arg:"--sample-ms" help:"period of load samples [default: 200]"`
	ReportLagMS    int     `arg:"--report-lag-ms" default:"1000" help:"age of the load report served"`
	CacheLagMS     int     `arg:"--cache-lag-ms" default:"1000" help:"age at which cache events are told"`
	CacheEventLoss float64 `arg:"--cache-event-loss" default:"0.02" help:"share of cache events that are lost"`
}

// Run serves until ctx ends.
func (c *Command) Run(ctx context.Context) error {
	options := c.options()
	e, err := New(options)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { e.Run(ctx) })
	wg.Go(func() { e.Sample(ctx) })
	slog.Info("engine serves", "name", c.Name, "addr", c.Listen, "role", c.Role, "model", c.Model)
	return serving.Run(ctx, NewServer(e).App(), c.Listen)
}

func (c *Command) options() Options {
	o := Defaults()
	o.Name = c.Name
	o.Target = state.Target{Role: state.Role(c.Role), Model: c.Model, Adapters: c.Adapters}
	o.ChecksFence = !c.IgnoreFence
	o.Seed = xxhash.Sum64String(c.Name)
	o.CacheEventLoss = c.CacheEventLoss
	o.ReportLag = millis(float64(c.ReportLagMS))
	o.CacheEventLag = millis(float64(c.CacheLagMS))
	o.Exit = os.Exit
	replace(&o.PrefillTokensPerSecond, c.PrefillRate)
	replace(&o.DecodeBase, millis(c.DecodeBaseMS))
	replace(&o.DecodePerSequence, millis(c.DecodeSeqMS))
	replace(&o.MaxBatch, c.MaxBatch)
	replace(&o.CacheTokens, c.CacheTokens)
	replace(&o.RoleChange, millis(float64(c.RoleChangeMS)))
	replace(&o.ModelLoad, millis(float64(c.ModelLoadMS)))
	replace(&o.SampleEvery, millis(float64(c.SampleMS)))
	return o
}

// replace sets a default to a value that was given.
func replace[T comparable](to *T, value T) {
	var zero T
	if value != zero {
		*to = value
	}
}

func millis(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
