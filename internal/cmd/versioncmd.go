package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// buildVersion is the JSON output of version.
type buildVersion struct {
	Module   string `json:"module"`
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

func newVersionCmd() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of this program",
		Action: func(_ context.Context, c *cli.Command) (err error) {
			if err := noArguments(c); err != nil {
				return err
			}
			v := readBuildVersion()
			out := c.Root().Writer
			if c.Bool(jsonFlag) {
				return json.NewEncoder(out).Encode(v)
			}
			_, err = fmt.Fprintln(out, v)
			return err
		},
	}
}

// String returns the version on one line.
func (v buildVersion) String() string {
	text := fmt.Sprintf("%s %s, %s", v.Module, v.Version, v.Go)
	if v.Revision != "" {
		text += ", revision " + v.Revision
	}
	if v.Modified {
		text += " with changes"
	}
	return text
}

func readBuildVersion() buildVersion {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return buildVersion{Version: "unknown"}
	}
	v := buildVersion{Module: info.Main.Path, Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Revision = s.Value
		case "vcs.modified":
			v.Modified = s.Value == "true"
		}
	}
	return v
}
