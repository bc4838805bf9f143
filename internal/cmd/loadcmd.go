package cmd

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/loader"
	"github.com/flamingotack/flamingotack/internal/parser"
)

const (
	compareFlag = "compare"
	nodeFlag    = "node"
	policyFlag  = "policy"
	resultsFlag = "results"
	runsFlag    = "runs"
	seedFlag    = "seed"

	loadDescription = `Puts the load of a scenario on nodes, brings about its events, and measures what
callers got. The nodes and stand-ins for the platform run in this process on the
loopback address, unless the addresses of running nodes are given. It prints the
median and the worst run, and fails when a promise broke under the adaptive
policy.

Examples:
  flamingotack load scenarios/association.jsonc
  flamingotack load --compare --runs 3 scenarios/consortium.jsonc
  flamingotack load --node 127.0.0.1:8080 scenario.jsonc`
)

func newLoadCmd() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "measure nodes under load and faults",
		ArgsUsage:   "SCENARIO",
		Description: loadDescription,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: compareFlag, Usage: "run both policies, one after the other for each seed"},
			&cli.StringSliceFlag{Name: nodeFlag, Usage: "put the load on the running node that takes callers at `ADDRESS`; may be repeated"},
			&cli.StringFlag{Name: policyFlag, Value: parser.PolicyAdaptive, Usage: "run all services with `POLICY`, adaptive or fixed"},
			&cli.StringFlag{Name: resultsFlag, Usage: "write all results to `FILE`, as JSON"},
			&cli.IntFlag{Name: runsFlag, Value: 1, Usage: "run `NUMBER` times, each with the next seed"},
			&cli.Uint64Flag{Name: seedFlag, Value: 1, Usage: "take `SEED` for the first run"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) (err error) {
	scenario, err := readScenario(c)
	if err != nil {
		return err
	}
	policies, err := loadPolicies(c)
	if err != nil {
		return err
	}
	report := loader.Report{Scenario: scenario.Name}
	for i := range c.Int(runsFlag) {
		for _, policy := range policies {
			result, err := runOnce(ctx, c, scenario, policy, c.Uint64(seedFlag)+uint64(i))
			if err != nil {
				return err
			}
			report.Results = append(report.Results, result)
		}
	}
	if err := writeReport(c, report); err != nil {
		return err
	}
	if n := report.CountViolations(parser.PolicyAdaptive); n > 0 {
		return errors.Newf("promises broke %d times", n)
	}
	return nil
}

func readScenario(c *cli.Command) (s *loader.Scenario, err error) {
	if c.Args().Len() != 1 {
		return nil, usageErrorf("load needs one SCENARIO file, got %d arguments", c.Args().Len())
	}
	file := c.Args().First()
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Cause: err}
	}
	return loader.ParseScenario(file, data)
}

func loadPolicies(c *cli.Command) (policies []string, err error) {
	policy := c.String(policyFlag)
	if policy != parser.PolicyAdaptive && policy != parser.PolicyFixed {
		return nil, usageErrorf("policy %q is neither %q nor %q", policy, parser.PolicyAdaptive, parser.PolicyFixed)
	}
	if c.Int(runsFlag) < 1 {
		return nil, usageErrorf("%d runs are too few", c.Int(runsFlag))
	}
	if c.Bool(compareFlag) {
		return []string{parser.PolicyAdaptive, parser.PolicyFixed}, nil
	}
	return []string{policy}, nil
}

func runOnce(ctx context.Context, c *cli.Command, s *loader.Scenario, policy string, seed uint64) (loader.Result, error) {
	if nodes := c.StringSlice(nodeFlag); len(nodes) > 0 {
		return loader.RunAgainst(ctx, s, loader.Target{Addresses: nodes}, seed)
	}
	return loader.Run(ctx, s, policy, seed)
}

func writeReport(c *cli.Command, report loader.Report) (err error) {
	out := c.Root().Writer
	if c.Bool(jsonFlag) {
		err = encodeReport(out, report)
	} else {
		err = report.Write(out)
	}
	name := c.String(resultsFlag)
	if name == "" || err != nil {
		return err
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return encodeReport(file, report)
}

func encodeReport(w io.Writer, report loader.Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write results")
}
