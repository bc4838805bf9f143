package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/tabulator"
)

const (
	nodesFlag  = "nodes"
	stateStale = "stale"

	statusDescription = `Asks every node of the membership for its status. While the log is down, give
the admin addresses of the nodes by --nodes. Ends with exit code 5 when a node
does not answer, is behind, or is stale: a stale node has had no news of the log
for the time of its freshness setting, and refuses requests.

Examples:
  flamingotack status
  flamingotack status --json
  flamingotack status --nodes 127.0.0.1:7104,127.0.0.1:7204`
)

type (
	// statusReport is the JSON output of status.
	statusReport struct {
		// Version is the version at the log's tail; 0 when the log was not asked.
		Version uint64 `json:"version"`
		// Nodes are the answers, in the order of the members' names.
		Nodes []nodeStatus `json:"nodes"`
	}

	// nodeStatus is the answer of one node.
	nodeStatus struct {
		flamingotack.Status
		// OutOfService says that the backend server or its failure domain is out of
		// service.
		OutOfService bool `json:"out"`
		// Problem says why nothing is known of the node; empty when it
		// answered.
		Problem string `json:"problem,omitempty"`
	}
)

func newStatusCmd() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the status of every node",
		Description: statusDescription,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: nodesFlag, Usage: "ask the nodes at these admin `ADDRESSES` without reading the log"},
		},
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, c *cli.Command) (err error) {
	if err := noArguments(c); err != nil {
		return err
	}
	s, ctx, cancel, err := openSession(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	state, err := s.membership(ctx, c.StringSlice(nodesFlag))
	if err != nil {
		return err
	}
	report := statusReport{Version: state.ConfigVersion, Nodes: []nodeStatus{}}
	var lagging []operator.LaggingNode
	for _, a := range operator.QueryStatuses(ctx, s.system, state.Members) {
		report.Nodes = append(report.Nodes, nodeStatus{Status: a.Status, OutOfService: state.IsServerOutOfService(a.Member), Problem: a.Problem()})
		switch {
		case a.Err != nil, a.Status.ConfigVersion < state.ConfigVersion:
			lagging = append(lagging, a.LaggingNode())
		case !a.Status.Fresh:
			n := a.LaggingNode()
			n.Problem = stateStale
			lagging = append(lagging, n)
		}
	}
	if err := s.print(statusText(report), report); err != nil {
		return err
	}
	if len(lagging) > 0 {
		return &operator.LaggingNodesError{Version: state.ConfigVersion, Nodes: lagging}
	}
	return nil
}

// membership returns the state at the log's tail, or a state whose only members
// are the nodes at the addresses when there are any.
func (s *session) membership(ctx context.Context, addresses []string) (*folder.State, error) {
	if len(addresses) == 0 {
		v, err := s.loadView(ctx)
		if err != nil {
			return nil, err
		}
		return v.State, nil
	}
	state := &folder.State{}
	for _, a := range addresses {
		state.Members = append(state.Members, folder.Member{Name: a, AdminAddress: a})
	}
	return state, nil
}

func statusText(r statusReport) string {
	table := tabulator.New("NODE", "SERVICE", "FAILURE DOMAIN", "VERSION", "RUNNING", "STATE")
	for _, n := range r.Nodes {
		table.AddRow(n.Member.Name, n.Member.Service, n.Member.Domain, n.ConfigVersion, n.RunningRequests, n.stateText(r.Version))
	}
	if r.Version == 0 {
		return table.String()
	}
	return fmt.Sprintf("Version %d, %d nodes\n\n%s", r.Version, len(r.Nodes), table)
}

// stateText describes the state of the node; version is the one at the log's
// tail.
func (n nodeStatus) stateText(version uint64) string {
	text := "ready"
	switch {
	case n.Problem != "":
		return n.Problem
	case n.Draining:
		text = "draining"
	case !n.Ready:
		text = "not ready"
	case n.ConfigVersion < version:
		text = "behind"
	case !n.Fresh:
		text = stateStale
	}
	if n.OutOfService {
		text += ", out of service"
	}
	return text
}
