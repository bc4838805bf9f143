package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/bounder"
	"github.com/flamingotack/flamingotack/internal/tabulator"
)

const boundDescription = `Computes the most that any admission policy could serve of the requests in a
file, given the slots and the rates of the services and the calls of each kind of
request. What a system serves can be compared with it.

Example:
  flamingotack bound examples/bound.jsonc`

func newBoundCmd() *cli.Command {
	return &cli.Command{
		Name:        "bound",
		Usage:       "compute the most that any admission policy could serve",
		ArgsUsage:   "FILE",
		Description: boundDescription,
		Action:      runBound,
	}
}

func runBound(_ context.Context, c *cli.Command) (err error) {
	if c.Args().Len() != 1 {
		return usageErrorf("bound needs one FILE, got %d arguments", c.Args().Len())
	}
	file := c.Args().First()
	data, err := os.ReadFile(file)
	if err != nil {
		return &UsageError{Cause: err}
	}
	demand, err := bounder.ParseDemand(file, data)
	if err != nil {
		return err
	}
	bound, err := demand.Solve()
	if err != nil {
		return err
	}
	table := tabulator.New("kind", "asked/s", "served/s", "fraction")
	for k, kind := range demand.Kinds {
		table.AddRow(kind.Name, fmt.Sprintf("%.1f", kind.Asked), fmt.Sprintf("%.1f", bound.Served[k]), fraction(bound.Served[k], kind.Asked))
	}
	table.AddRow("worth", fmt.Sprintf("%.1f", bound.AskedWorth), fmt.Sprintf("%.1f", bound.Worth), fraction(bound.Worth, bound.AskedWorth))
	_, err = fmt.Fprint(c.Root().Writer, table)
	return err
}

// fraction formats a as a fraction of b; "-" if b is 0.
func fraction(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a/b)
}
