package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Flags are the command line of thymectl.
type Flags struct {
	Host   string `arg:"--host,env:THYMECTL_HOST" default:"127.0.0.1:8080" help:"ip:port of any host's callers' listener"`
	Token  string `arg:"--token,env:THYMECTL_TOKEN" help:"operator's token"`
	Output string `arg:"-o,--output" default:"table" help:"table or json"`

	Status     *StatusCommand     `arg:"subcommand:status" help:"one host in short"`
	Hosts      *HostsCommand      `arg:"subcommand:hosts" help:"the hosts of the fleet"`
	Upstreams  *UpstreamsCommand  `arg:"subcommand:upstreams" help:"engines and services as a host sees them"`
	Config     *ConfigCommand     `arg:"subcommand:config" help:"the shared configuration"`
	Drain      *EngineCommand     `arg:"subcommand:drain" help:"give an engine no new work"`
	Undrain    *EngineCommand     `arg:"subcommand:undrain" help:"give an engine work again"`
	CallOff    *EngineCommand     `arg:"subcommand:call-off" help:"call off a change that is still draining"`
	Role       *RoleCommand       `arg:"subcommand:role" help:"change an engine's role"`
	Load       *LoadCommand       `arg:"subcommand:load" help:"load a model or adapters; with --metrics, show the load of engines"`
	Policy     *PolicyCommand     `arg:"subcommand:policy" help:"the operators' programs"`
	Why        *WhyCommand        `arg:"subcommand:why" help:"why a request or an engine was treated so"`
	Claims     *ClaimsCommand     `arg:"subcommand:claims" help:"calls that may not be repeated"`
	Log        *LogCommand        `arg:"subcommand:log-level" help:"change what a host logs"`
	Top        *TopCommand        `arg:"subcommand:top" help:"live view of the upstreams"`
	Account    *AccountCommand    `arg:"subcommand:account" help:"how requests ended by route, from the hosts' logs; asks no host"`
	Quarantine *QuarantineCommand `arg:"subcommand:quarantine" help:"requests that are kept from runners because they crash them; asks the platform's store"`
	Usage      *UsageCommand      `arg:"subcommand:usage" help:"requests by customer and window as they were reported; asks the platform's store"`
	Bound      *BoundCommand      `arg:"subcommand:bound" help:"what a deployment could earn at best on the days of a site file; asks no host"`
}

// Description implements arg.Described.
func (Flags) Description() string {
	return "thymectl asks and steers a thymerack fleet through any of its hosts.\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict, 4 host unreachable, 5 accepted but not in force everywhere."
}

// The commands.
type (
	// StatusCommand shows one host in short.
	StatusCommand struct{}
	// HostsCommand lists the hosts.
	HostsCommand struct{}
	// UpstreamsCommand lists the upstreams.
	UpstreamsCommand struct{}
	// ConfigCommand groups the commands about the shared configuration.
	ConfigCommand struct {
		Get    *ConfigGetCommand    `arg:"subcommand:get" help:"print it, with its version on standard error"`
		Check  *ConfigFileCommand   `arg:"subcommand:check" help:"check a file without applying it"`
		Apply  *ConfigApplyCommand  `arg:"subcommand:apply" help:"apply a file and wait until it is in force everywhere"`
		Edit   *ConfigEditCommand   `arg:"subcommand:edit" help:"replace it by the output of a filter on standard input"`
		Status *ConfigStatusCommand `arg:"subcommand:status" help:"the version in force at each host"`
	}
	// ConfigGetCommand prints the configuration.
	ConfigGetCommand struct{}
	// ConfigFileCommand names a file.
	ConfigFileCommand struct {
		File string `arg:"positional,required" help:"JSON file; - for standard input"`
	}
	// ConfigApplyCommand applies a file.
	ConfigApplyCommand struct {
		File string        `arg:"positional,required" help:"JSON file; - for standard input"`
		Base uint64        `arg:"--base,required" help:"the version that the edit was made on (see config get)"`
		Wait time.Duration `arg:"--wait" default:"15s" help:"how long to wait until it is in force everywhere; 0 for not at all"`
	}
	// ConfigEditCommand reads the whole new configuration from standard input on
	// top of the present version.
	ConfigEditCommand struct {
		Base uint64        `arg:"--base,required" help:"the version that the edit was made on"`
		Wait time.Duration `arg:"--wait" default:"15s" help:"how long to wait until it is in force everywhere"`
	}
	// ConfigStatusCommand shows the versions in force.
	ConfigStatusCommand struct{}
	// EngineCommand names an engine.
	EngineCommand struct {
		Engine string `arg:"positional,required"`
		Reason string `arg:"--reason" help:"kept with the order"`
	}
	// RoleCommand changes a role.
	RoleCommand struct {
		Engine string `arg:"positional,required"`
		Role   string `arg:"positional,required" help:"mixed, prefill or decode"`
		Reason string `arg:"--reason" help:"kept with the order"`
	}
	// PolicyCommand groups the commands about policies. Their files hold the whole
	// list of policies: [{"name", "hook", "source"}].
	PolicyCommand struct {
		Check *ConfigFileCommand  `arg:"subcommand:check" help:"compile a list and try it on the requests that the host remembers"`
		Diff  *ConfigFileCommand  `arg:"subcommand:diff" help:"which remembered decisions a list would change"`
		Apply *ConfigApplyCommand `arg:"subcommand:apply" help:"put a list in force as an edit of the configuration"`
	}
	// WhyCommand groups the questions.
	WhyCommand struct {
		Request *WhyRequestCommand `arg:"subcommand:request" help:"why a request went where it did"`
		Engine  *WhyEngineCommand  `arg:"subcommand:engine" help:"why an engine was changed or left as it is"`
	}
	// WhyRequestCommand asks about a request.
	WhyRequestCommand struct {
		ID   string `arg:"positional,required" help:"the X-Request-Id of the answer"`
		Host string `arg:"--of-host" help:"the host that served it, when it is gone and the id is the caller's own"`
	}
	// WhyEngineCommand asks about an engine.
	WhyEngineCommand struct {
		Engine string `arg:"positional,required"`
	}
	// ClaimsCommand groups the commands about claims.
	ClaimsCommand struct {
		Show *ClaimsShowCommand `arg:"subcommand:show" help:"what is known of a key"`
	}
	// ClaimsShowCommand names a key.
	ClaimsShowCommand struct {
		Key string `arg:"positional,required" help:"the Idempotency-Key of the call"`
	}
	// LogCommand changes the level.
	LogCommand struct {
		Level string `arg:"positional,required" help:"debug, info, warn or error"`
	}
	// TopCommand refreshes a view until it is interrupted.
	TopCommand struct {
		Every time.Duration `arg:"--every" default:"1s" help:"time between two refreshes"`
		Times int           `arg:"--times" help:"end after so many; 0 for never"`
	}
)

// Tool runs commands.
type Tool struct {
	Client *Client
	// Out takes answers, Progress what goes on meanwhile.
	Out, Progress io.Writer
	In            io.Reader
	JSON          bool
}

// errNoCommand says that the command line names no command.
var errNoCommand = &UsageError{"no command was given; see thymectl --help"}

// Run carries out the command that the flags name.
func (t *Tool) Run(ctx context.Context, f Flags) error {
	if f.Output != "table" && f.Output != "json" {
		return &UsageError{fmt.Sprintf("--output %q is not known; use table or json", f.Output)}
	}
	switch {
	case f.Status != nil:
		return t.status(ctx)
	case f.Hosts != nil:
		return t.hosts(ctx)
	case f.Upstreams != nil:
		return t.upstreams(ctx)
	case f.Config != nil:
		return t.config(ctx, f.Config)
	case f.Policy != nil:
		return t.policy(ctx, f.Policy)
	case f.Why != nil:
		return t.why(ctx, f.Why)
	case f.Claims != nil && f.Claims.Show != nil:
		return t.claim(ctx, f.Claims.Show.Key)
	case f.Log != nil:
		return t.logLevel(ctx, f.Log.Level)
	case f.Top != nil:
		return t.top(ctx, f.Top)
	case f.Account != nil:
		return t.account(f.Account)
	case f.Bound != nil:
		return t.bound(f.Bound)
	case f.Quarantine != nil:
		return t.quarantine(ctx, f.Quarantine)
	case f.Usage != nil:
		return t.usage(ctx, f.Usage)
	}
	return t.orders(ctx, f)
}

// config runs one of the config commands.
func (t *Tool) config(ctx context.Context, c *ConfigCommand) error {
	switch {
	case c.Get != nil:
		return t.configGet(ctx)
	case c.Check != nil:
		return t.configCheck(ctx, c.Check.File)
	case c.Apply != nil:
		return t.configApply(ctx, c.Apply.File, c.Apply.Base, c.Apply.Wait)
	case c.Edit != nil:
		return t.configApply(ctx, "-", c.Edit.Base, c.Edit.Wait)
	case c.Status != nil:
		return t.configStatus(ctx)
	}
	return errNoCommand
}

// IsUsage reports whether err is a wrong command line.
func IsUsage(err error) bool {
	var usage *UsageError
	return errors.As(err, &usage)
}
