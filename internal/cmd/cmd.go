// Package cmd contains the commands of the operators' client and of the node.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

type (
	// streams are the standard streams of a program.
	streams struct {
		in     io.Reader
		out    io.Writer
		errOut io.Writer
	}
)

// ExecuteClient runs the operators' client and returns its exit code.
func ExecuteClient(args []string) int {
	return execute(newClientCmd(standardStreams()), args)
}

// ExecuteNode runs the node and returns its exit code.
func ExecuteNode(args []string) int {
	return execute(newNodeCmd(standardStreams()), args)
}

// prepare sets the streams of c and its subcommands, makes them report a wrong
// command line as a *UsageError and sets started when an action starts.
func prepare(c *cli.Command, s streams, started *bool) {
	c.Reader = s.in
	c.Writer = s.out
	c.ErrWriter = s.errOut
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Cause: err}
	}
	action := c.Action
	if action == nil {
		action = requireSubcommand
	}
	c.Action = func(ctx context.Context, c *cli.Command) error {
		*started = true
		return action(ctx, c)
	}
	for _, sub := range c.Commands {
		prepare(sub, s, started)
	}
}

func requireSubcommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return usageErrorf("%s has no command %q; see %s --help", c.FullName(), name, c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}

// execute runs c until it ends or the process gets an interrupt or SIGTERM, and
// returns the exit code.
func execute(c *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	started := false
	s := streams{in: c.Reader, out: c.Writer, errOut: c.ErrWriter}
	prepare(c, s, &started)
	err := c.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	if !started {
		err = &UsageError{Cause: err}
	}
	_, _ = fmt.Fprintf(c.ErrWriter, "%s: %v\n", c.Name, err)
	return exitCode(err)
}

func standardStreams() streams {
	return streams{in: os.Stdin, out: os.Stdout, errOut: os.Stderr}
}
