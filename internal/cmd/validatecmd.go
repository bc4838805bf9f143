package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/parser"
)

const (
	standardInput = "-"

	validateDescription = `Checks a manifest and prints file, line and field of every error in it. It needs
neither the log nor a node.

Examples:
  flamingotack validate manifest.jsonc
  generate-manifest | flamingotack validate -`
)

// manifestSummary is the JSON output of validate.
type manifestSummary struct {
	File      string `json:"file"`
	Services  int    `json:"services"`
	Routes    int    `json:"routes"`
	Customers int    `json:"customers"`
	Keys      int    `json:"keys"`
}

func newValidateCmd() *cli.Command {
	return &cli.Command{
		Name:        "validate",
		Usage:       "check a manifest",
		ArgsUsage:   "FILE",
		Description: validateDescription,
		Action:      runValidate,
	}
}

func runValidate(_ context.Context, c *cli.Command) (err error) {
	m, file, err := readManifest(c)
	if err != nil {
		return err
	}
	summary := summarize(file, m)
	root := c.Root()
	if c.Bool(jsonFlag) {
		return json.NewEncoder(root.Writer).Encode(summary)
	}
	_, err = fmt.Fprintf(root.Writer, "%s is valid: %d services with %d routes, %d customers with %d keys\n",
		summary.File, summary.Services, summary.Routes, summary.Customers, summary.Keys)
	return err
}

// readManifest reads the manifest that the only argument names.
func readManifest(c *cli.Command) (m *parser.Manifest, file string, err error) {
	file, err = onlyArgument(c, "manifest FILE")
	if err != nil {
		return nil, "", err
	}
	data, err := readFile(c.Root().Reader, file)
	if err != nil {
		return nil, "", &UsageError{Cause: err}
	}
	m, err = parser.ParseManifest(file, data)
	return m, file, err
}

func readFile(in io.Reader, file string) ([]byte, error) {
	if file == standardInput {
		return io.ReadAll(in)
	}
	return os.ReadFile(file)
}

// onlyArgument returns the command's argument, or a *UsageError unless there is
// exactly one.
func onlyArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageErrorf("%s needs one %s, got %d arguments", c.FullName(), what, c.Args().Len())
	}
	return c.Args().First(), nil
}

func noArguments(c *cli.Command) error {
	if c.Args().Len() != 0 {
		return usageErrorf("%s takes no argument, got %q", c.FullName(), c.Args().First())
	}
	return nil
}

func summarize(file string, m *parser.Manifest) manifestSummary {
	summary := manifestSummary{File: file, Services: len(m.Services), Customers: len(m.Customers)}
	for _, v := range m.Services {
		summary.Routes += len(v.Routes)
	}
	for _, c := range m.Customers {
		summary.Keys += len(c.KeyDigests)
	}
	return summary
}
