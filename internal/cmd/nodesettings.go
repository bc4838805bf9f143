package cmd

import (
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/parser"
)

// nodeSetting is a field of the node's settings that a flag or the environment
// can set.
type nodeSetting struct {
	flag  cli.Flag
	apply func(c *cli.Command, n *parser.Settings)
}

// nodeSettings returns the flags of all settings.
func nodeSettings() []nodeSetting {
	return []nodeSetting{
		stringSetting("admin", "serve metrics, health and operators at `ADDRESS`",
			func(n *parser.Settings) *string { return &n.AdminAddress }),
		stringSetting("announce", "tell other nodes to reach this node at `ADDRESS`",
			func(n *parser.Settings) *string { return &n.AnnouncedPeerAddress }),
		stringSetting("authority", "accept nodes with a certificate of an authority in `FILE`",
			func(n *parser.Settings) *string { return &n.CAFile }),
		stringSetting("backend", "reach the backend server at `URL`",
			func(n *parser.Settings) *string { return &n.BackendURL }),
		{
			flag:  &cli.Int64Flag{Name: "body", Usage: "accept request bodies of at most `BYTES`", Sources: envSource("body")},
			apply: func(c *cli.Command, n *parser.Settings) { n.MaxBodyBytes = c.Int64("body") },
		},
		stringSetting("caller", "accept requests from callers at `ADDRESS`",
			func(n *parser.Settings) *string { return &n.CallerAddress }),
		stringSetting("cert", "serve callers and nodes over TLS with the certificate in `FILE`",
			func(n *parser.Settings) *string { return &n.CertFile }),
		stringSetting("domain", "run in the failure domain `NAME`",
			func(n *parser.Settings) *string { return &n.Domain }),
		stringSetting("egress", "accept calls of the backend server at the loopback `ADDRESS`",
			func(n *parser.Settings) *string { return &n.EgressAddress }),
		durationSetting("freshness", "trust the state for `DURATION` without news of the log",
			func(n *parser.Settings) *parser.Duration { return &n.MaxStateAge }),
		durationSetting("grace", "let running requests finish within `DURATION` when the node stops",
			func(n *parser.Settings) *parser.Duration { return &n.GracePeriod }),
		durationSetting("linger", "accept callers' requests for `DURATION` after a stop has begun",
			func(n *parser.Settings) *parser.Duration { return &n.DrainDelay }),
		stringSetting("key", "use the private key in `FILE`",
			func(n *parser.Settings) *string { return &n.KeyFile }),
		stringSetting("level", "write log lines from this `LEVEL` on: debug, info, warn, error",
			func(n *parser.Settings) *string { return &n.LogLevel }),
		stringSetting("log", "reach the platform's log at `URL`",
			func(n *parser.Settings) *string { return &n.LogURL }),
		stringSetting("name", "name the node `NAME`",
			func(n *parser.Settings) *string { return &n.Name }),
		stringSetting("operators", "accept operators with a certificate of an authority in `FILE`",
			func(n *parser.Settings) *string { return &n.OperatorCAFile }),
		stringSetting("peer", "serve other nodes at `ADDRESS`",
			func(n *parser.Settings) *string { return &n.PeerAddress }),
		{
			flag: &cli.StringSliceFlag{
				Name:    "peers",
				Usage:   "fetch the state from the nodes at `ADDRESSES` while the log is down",
				Sources: envSource("peers"),
			},
			apply: func(c *cli.Command, n *parser.Settings) { n.FallbackPeers = c.StringSlice("peers") },
		},
		{
			flag:  &cli.BoolFlag{Name: "plain", Usage: "run without TLS", Sources: envSource("plain")},
			apply: func(c *cli.Command, n *parser.Settings) { n.AllowPlaintext = c.Bool("plain") },
		},
		stringSetting("region", "run in the region `NAME`",
			func(n *parser.Settings) *string { return &n.Region }),
		stringSetting("service", "offer the service `NAME`",
			func(n *parser.Settings) *string { return &n.Service }),
	}
}

func durationSetting(name, usage string, field func(n *parser.Settings) *parser.Duration) nodeSetting {
	return nodeSetting{
		flag:  &cli.DurationFlag{Name: name, Usage: usage, Sources: envSource(name)},
		apply: func(c *cli.Command, n *parser.Settings) { *field(n) = parser.Duration(c.Duration(name)) },
	}
}

// envSource returns the environment variable of a setting.
func envSource(name string) cli.ValueSourceChain {
	return cli.EnvVars("FLAMINGOTACK_" + strings.ToUpper(name))
}

// stringSetting returns a setting that an empty flag or environment variable
// leaves unchanged.
func stringSetting(name, usage string, field func(n *parser.Settings) *string) nodeSetting {
	return nodeSetting{
		flag: &cli.StringFlag{Name: name, Usage: usage, Sources: envSource(name)},
		apply: func(c *cli.Command, n *parser.Settings) {
			if text := c.String(name); text != "" {
				*field(n) = text
			}
		},
	}
}
