package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack"
	"github.com/flamingotack/flamingotack/internal/parser"
)

const (
	checkFlag = "check"

	nodeDescription = `Every setting can be given in the settings file, in an environment variable
(FLAMINGOTACK_NAME and so on) or as a flag. A flag overrides the environment,
the environment overrides the file, and the file overrides the default. On
SIGTERM the node takes no new work, finishes what runs within its grace and ends
with 0.

Exit codes:
  0  stopped on request
  1  failed
  2  the command line or a setting is wrong

Examples:
  flamingotackd --settings node.jsonc
  FLAMINGOTACK_DOMAIN=rajkot flamingotackd --settings node.jsonc --name bookdesk-2
  flamingotackd --settings node.jsonc --check`
)

func newNodeCmd(s streams) *cli.Command {
	return &cli.Command{
		Name:        "flamingotackd",
		Usage:       "run the node beside a backend server",
		Description: nodeDescription,
		HideVersion: true,
		Reader:      s.in,
		Writer:      s.out,
		ErrWriter:   s.errOut,
		Flags:       nodeFlags(),
		Action:      runNode,
	}
}

func nodeFlags() []cli.Flag {
	settings := nodeSettings()
	flags := make([]cli.Flag, 0, len(settings)+2)
	for _, s := range settings {
		flags = append(flags, s.flag)
	}
	return append(flags,
		&cli.BoolFlag{Name: checkFlag, Usage: "check the settings and end"},
		&cli.StringFlag{
			Name:    settingsFlag,
			Usage:   "read the settings from `FILE`",
			Sources: cli.EnvVars("FLAMINGOTACK_SETTINGS"),
		},
	)
}

func readNodeSettings(c *cli.Command) (n *parser.Settings, err error) {
	file, data := "settings", []byte("{}")
	if name := c.String(settingsFlag); name != "" {
		file = name
		data, err = readFile(c.Root().Reader, file)
		if err != nil {
			return nil, &UsageError{Cause: err}
		}
	}
	return parser.ParseSettings(file, data, func(n *parser.Settings) {
		for _, s := range nodeSettings() {
			if c.IsSet(s.flag.Names()[0]) {
				s.apply(c, n)
			}
		}
	})
}

func runNode(ctx context.Context, c *cli.Command) (err error) {
	if err := noArguments(c); err != nil {
		return err
	}
	settings, err := readNodeSettings(c)
	if err != nil {
		return err
	}
	if c.Bool(checkFlag) {
		_, err = fmt.Fprintf(c.Root().Writer, "settings of node %s are valid\n", settings.Name)
		return err
	}
	node, err := flamingotack.New(*settings, flamingotack.Dependencies{})
	if err != nil {
		return err
	}
	return node.Run(ctx)
}
