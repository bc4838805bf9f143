package cmd

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/examples"
	"github.com/flamingotack/flamingotack/internal/demonstrator"
	"github.com/flamingotack/flamingotack/internal/parser"
)

const (
	levelFlag = "level"
	onceFlag  = "once"

	demoDescription = `Starts a stand-in for the log, three backend servers and their nodes in this
process, on free ports of the loopback address. It publishes the sample
manifest, sends requests under overload, withdraws a key, takes a failure
domain out and back in, and prints what came of it.

Examples:
  flamingotack demo
  flamingotack demo --once`
)

func newDemoCmd() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "show a small fleet under overload, on this machine alone",
		Description: demoDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: levelFlag, Value: "error", Usage: "print the nodes' log lines from this `LEVEL` on"},
			&cli.BoolFlag{Name: onceFlag, Usage: "end by itself"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) (err error) {
	if err := noArguments(c); err != nil {
		return err
	}
	manifest, err := parser.ParseManifest("manifest.jsonc", examples.Manifest)
	if err != nil {
		return err
	}
	root := c.Root()
	fleet, err := demonstrator.NewDeployment(root.ErrWriter, c.String(levelFlag))
	if err != nil {
		return err
	}
	defer fleet.Close()
	_, _ = fmt.Fprint(root.Writer, fleet.Describe())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	g.Add(func() error { return fleet.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error {
		if err := demonstrator.NewDemo(root.Writer, fleet, manifest).Run(ctx); err != nil || c.Bool(onceFlag) {
			return err
		}
		_, _ = fmt.Fprintf(root.Writer, "\nAll of it stays up until Ctrl-C:\n\n%s", fleet.Describe())
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	err = g.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
