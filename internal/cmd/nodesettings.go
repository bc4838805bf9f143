package cmd

import (
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/parser"
)

// setting is a field of the node's settings that a flag or the environment may
// set.
type setting struct {
	flag  cli.Flag
	apply func(c *cli.Command, n *parser.Settings)
}

// nodeSettings returns all settings, by name.
func nodeSettings() []setting {
	return []setting{
		textSetting("admin", "serve metrics, health and operators at `ADDRESS`",
			func(n *parser.Settings) *string { return &n.AdminAddress }),
		textSetting("announce", "tell other nodes to reach this one at `ADDRESS`",
			func(n *parser.Settings) *string { return &n.AnnouncedPeerAddress }),
		textSetting("authority", "take nodes with a certificate from those in `FILE`",
			func(n *parser.Settings) *string { return &n.CAFile }),
		textSetting("backend", "reach the backend server at `URL`",
			func(n *parser.Settings) *string { return &n.BackendURL }),
		{
			flag:  &cli.Int64Flag{Name: "body", Usage: "take request bodies of at most `BYTES`", Sources: environment("body")},
			apply: func(c *cli.Command, n *parser.Settings) { n.MaxBodyBytes = c.Int64("body") },
		},
		textSetting("caller", "take requests from callers at `ADDRESS`",
			func(n *parser.Settings) *string { return &n.CallerAddress }),
		textSetting("cert", "serve callers and nodes over TLS with the certificate in `FILE`",
			func(n *parser.Settings) *string { return &n.CertFile }),
		textSetting("domain", "stand in the failure domain `NAME`",
			func(n *parser.Settings) *string { return &n.Domain }),
		textSetting("egress", "take calls of the backend server at the loopback `ADDRESS`",
			func(n *parser.Settings) *string { return &n.EgressAddress }),
		durationSetting("freshness", "trust the state for `DURATION` without news of the log",
			func(n *parser.Settings) *parser.Duration { return &n.MaxStateAge }),
		durationSetting("grace", "let running requests finish within `DURATION` at a stop",
			func(n *parser.Settings) *parser.Duration { return &n.GracePeriod }),
		durationSetting("linger", "take callers' requests for `DURATION` after a stop has begun",
			func(n *parser.Settings) *parser.Duration { return &n.DrainDelay }),
		textSetting("key", "use the private key in `FILE`",
			func(n *parser.Settings) *string { return &n.KeyFile }),
		textSetting("level", "write log lines from this `LEVEL` on: debug, info, warn, error",
			func(n *parser.Settings) *string { return &n.LogLevel }),
		textSetting("log", "reach the platform's log at `URL`",
			func(n *parser.Settings) *string { return &n.LogURL }),
		textSetting("name", "call the node `NAME`",
			func(n *parser.Settings) *string { return &n.Name }),
		textSetting("operators", "take operators with a certificate from those in `FILE`",
			func(n *parser.Settings) *string { return &n.OperatorCAFile }),
		textSetting("peer", "serve other nodes at `ADDRESS`",
			func(n *parser.Settings) *string { return &n.PeerAddress }),
		{
			flag: &cli.StringSliceFlag{
				Name:    "peers",
				Usage:   "take the state from the nodes at `ADDRESSES` while the log is down",
				Sources: environment("peers"),
			},
			apply: func(c *cli.Command, n *parser.Settings) { n.FallbackPeers = c.StringSlice("peers") },
		},
		{
			flag:  &cli.BoolFlag{Name: "plain", Usage: "do without TLS", Sources: environment("plain")},
			apply: func(c *cli.Command, n *parser.Settings) { n.AllowPlaintext = c.Bool("plain") },
		},
		textSetting("region", "stand in the region `NAME`",
			func(n *parser.Settings) *string { return &n.Region }),
		textSetting("service", "offer the service `NAME`",
			func(n *parser.Settings) *string { return &n.Service }),
	}
}

func durationSetting(name, usage string, field func(n *parser.Settings) *parser.Duration) setting {
	return setting{
		flag:  &cli.DurationFlag{Name: name, Usage: usage, Sources: environment(name)},
		apply: func(c *cli.Command, n *parser.Settings) { *field(n) = parser.Duration(c.Duration(name)) },
	}
}

func environment(name string) cli.ValueSourceChain {
	return cli.EnvVars("FLAMINGOTACK_" + strings.ToUpper(name))
}

// textSetting returns a setting that an empty environment variable leaves as
// it is.
func textSetting(name, usage string, field func(n *parser.Settings) *string) setting {
	return setting{
		flag: &cli.StringFlag{Name: name, Usage: usage, Sources: environment(name)},
		apply: func(c *cli.Command, n *parser.Settings) {
			if text := c.String(name); text != "" {
				*field(n) = text
			}
		},
	}
}
