package cmd

import (
	"context"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/tabulator"
)

const serverDescription = `A backend server that is out of service gets no new work; what runs on it
finishes. It has the name of its node.

Examples:
  flamingotack server list
  flamingotack server out bookdesk-2
  flamingotack server in bookdesk-2`

// serverState is a backend server in the JSON output of server list.
type serverState struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// OutOfService says that the backend server itself is out of service.
	OutOfService bool `json:"out"`
	// DomainOutOfService says that its failure domain is out of service.
	DomainOutOfService bool `json:"domainout"`
	// Joined is false for a backend server that is out of service and whose node
	// is no member.
	Joined bool `json:"joined"`
}

func newServerCmd() *cli.Command {
	return newOutOfServiceCmd("server", serverDescription, outOfServiceKind{
		recordKind: folder.KindServer,
		label:      "backend server",
		matches:    func(m folder.Member, name string) bool { return m.Name == name },
		listAction: runServerList,
	})
}

func runServerList(ctx context.Context, c *cli.Command) (err error) {
	if err := noArguments(c); err != nil {
		return err
	}
	return withView(ctx, c, func(_ context.Context, s *session, v *operator.ConfigView) error {
		servers := serverStates(v.State)
		table := tabulator.New("BACKEND SERVER", "SERVICE", "FAILURE DOMAIN", "STATE")
		for _, b := range servers {
			table.AddRow(b.Name, b.Service, b.Domain, b.stateText())
		}
		return s.print(table.String(), servers)
	})
}

// serverStates returns the backend servers of all members, and after them those
// that are out of service and whose node is no member.
func serverStates(state *folder.State) []serverState {
	servers := []serverState{}
	for _, m := range state.Members {
		servers = append(servers, serverState{
			Name:               m.Name,
			Service:            m.Service,
			Domain:             m.Domain,
			OutOfService:       slices.Contains(state.ServersOutOfService, m.Name),
			DomainOutOfService: state.IsDomainOutOfService(m.Domain),
			Joined:             true,
		})
	}
	for _, name := range state.ServersOutOfService {
		if _, joined := state.Member(name); !joined {
			servers = append(servers, serverState{Name: name, OutOfService: true})
		}
	}
	return servers
}

// stateText describes the state of the backend server.
func (v serverState) stateText() string {
	switch {
	case !v.Joined:
		return "out, no node"
	case v.OutOfService:
		return "out"
	case v.DomainOutOfService:
		return "out with its failure domain"
	default:
		return "in"
	}
}
