// Command thymectl is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/thymerack/thymerack/ctl"
)

func main() {
	var f ctl.Flags
	arg.MustParse(&f)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	tool := &ctl.Tool{
		Client: ctl.NewClient(f.Host, f.Token), Out: os.Stdout, Progress: os.Stderr,
		In: os.Stdin, JSON: f.Output == "json",
	}
	err := tool.Run(ctx, f)
	if err != nil {
		fmt.Fprintln(os.Stderr, "thymectl:", err)
	}
	os.Exit(ctl.ExitCode(err))
}
