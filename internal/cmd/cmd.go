// Package cmd holds the commands of the operators' client and of the node.
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
	// streams are the input and outputs of a program.
	streams struct {
		in     io.Reader
		out    io.Writer
		errors io.Writer
	}
)

// Client runs the operators' client and returns its exit code.
func ExecuteClient(args []string) int {
	return execute(newClient(standardStreams()), args)
}

// Node runs the node and returns its exit code.
func ExecuteNode(args []string) int {
	return execute(newNode(standardStreams()), args)
}

// prepare makes c and all below it report a wrong command line as UsageError.
func prepare(c *cli.Command, s streams, started *bool) {
	c.Reader = s.in
	c.Writer = s.out
	c.ErrWriter = s.errors
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Cause: err}
	}
	action := c.Action
	if action == nil {
		action = needCommand
	}
	c.Action = func(ctx context.Context, c *cli.Command) error {
		*started = true
		return action(ctx, c)
	}
	for _, below := range c.Commands {
		prepare(below, s, started)
	}
}

func needCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return usageErrorf("%s has no command %q; see %s --help", c.FullName(), name, c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}

// execute runs c until it ends or the process is told to stop.
func execute(c *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	started := false
	s := streams{in: c.Reader, out: c.Writer, errors: c.ErrWriter}
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
	return streams{in: os.Stdin, out: os.Stdout, errors: os.Stderr}
}
