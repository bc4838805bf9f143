package cmd

import (
	"context"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/tabulator"
)

const domainDescription = `A failure domain that is out of service gets no new work; what runs there
finishes. Callers may still send their requests to its nodes.

Examples:
  flamingotack domain list
  flamingotack domain out rajkot
  flamingotack domain in rajkot --timeout 1m`

// domainState is a failure domain in the JSON output of domain list.
type domainState struct {
	Name         string `json:"name"`
	Region       string `json:"region"`
	OutOfService bool   `json:"out"`
	Nodes        int    `json:"nodes"`
}

func newDomainCmd() *cli.Command {
	return newOutOfServiceCmd("domain", domainDescription, outOfServiceKind{
		recordKind: folder.KindDomain,
		label:      "failure domain",
		matches:    func(m folder.Member, name string) bool { return m.Domain == name },
		listAction: runDomainList,
	})
}

func runDomainList(ctx context.Context, c *cli.Command) (err error) {
	if err := noArguments(c); err != nil {
		return err
	}
	return withView(ctx, c, func(_ context.Context, s *session, v *operator.ConfigView) error {
		domains := domainStates(v.State)
		table := tabulator.New("FAILURE DOMAIN", "REGION", "STATE", "NODES")
		for _, d := range domains {
			table.AddRow(d.Name, d.Region, inOrOut(d.OutOfService), d.Nodes)
		}
		return s.print(table.String(), domains)
	})
}

// domainStates returns the failure domains of all members and those that are out
// of service, sorted by name.
func domainStates(state *folder.State) []domainState {
	domains := []domainState{}
	findOrAdd := func(name string) *domainState {
		i, found := slices.BinarySearchFunc(domains, name, func(d domainState, name string) int {
			return strings.Compare(d.Name, name)
		})
		if !found {
			domains = slices.Insert(domains, i, domainState{Name: name})
		}
		return &domains[i]
	}
	for _, m := range state.Members {
		d := findOrAdd(m.Domain)
		d.Region = m.Region
		d.Nodes++
	}
	for _, name := range state.DomainsOutOfService {
		findOrAdd(name).OutOfService = true
	}
	return domains
}
