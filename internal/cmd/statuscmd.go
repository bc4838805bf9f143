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
	nodesFlag = "nodes"
	wordStale = "stale"

	statusDescription = `Asks every node of the membership for its status. While the log is down, name
the admin addresses of the nodes by --nodes. Ends with exit code 5 when a node
does not answer, is behind, or is stale: it has had no news of the log for its
freshness, and refuses requests.

Examples:
  flamingotack status
  flamingotack status --json
  flamingotack status --nodes 127.0.0.1:7104,127.0.0.1:7204`
)

type (
	// fleetStatus is what status prints for programs.
	fleetStatus struct {
		// Version is that of the log's tail; 0 when the log was not asked.
		Version uint64 `json:"version"`
		// Nodes are the answers, in order of the members' names.
		Nodes []nodeStatus `json:"nodes"`
	}

	// nodeStatus is the answer of one node.
	nodeStatus struct {
		flamingotack.Status
		// Out tells that the backend server or its failure domain is out.
		Out bool `json:"out"`
		// Problem says why nothing is known of the node; empty when it
		// answered.
		Problem string `json:"problem,omitempty"`
	}
)

func newStatusCmd() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "ask every node how it is",
		Description: statusDescription,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: nodesFlag, Usage: "ask the nodes at these admin `ADDRESSES`, and not the log"},
		},
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, c *cli.Command) (err error) {
	if err := noArguments(c); err != nil {
		return err
	}
	s, ctx, cancel, err := connect(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	state, err := s.members(ctx, c.StringSlice(nodesFlag))
	if err != nil {
		return err
	}
	status := fleetStatus{Version: state.Version, Nodes: []nodeStatus{}}
	var late []operator.LateNode
	for _, a := range operator.AskAll(ctx, s.system, state.Members) {
		status.Nodes = append(status.Nodes, nodeStatus{Status: a.Status, Out: state.ServerOut(a.Member), Problem: a.Problem()})
		switch {
		case a.Err != nil, a.Status.Version < state.Version:
			late = append(late, a.Late())
		case !a.Status.Fresh:
			n := a.Late()
			n.Problem = wordStale
			late = append(late, n)
		}
	}
	if err := s.print(statusText(status), status); err != nil {
		return err
	}
	if len(late) > 0 {
		return &operator.LateError{Version: state.Version, Late: late}
	}
	return nil
}

// members returns the state of the log, or one with just the nodes at those
// addresses.
func (s *session) members(ctx context.Context, addresses []string) (*folder.State, error) {
	if len(addresses) == 0 {
		v, err := s.load(ctx)
		if err != nil {
			return nil, err
		}
		return v.State, nil
	}
	state := &folder.State{}
	for _, a := range addresses {
		state.Members = append(state.Members, folder.Member{Name: a, Admin: a})
	}
	return state, nil
}

func statusText(status fleetStatus) string {
	table := tabulator.New("NODE", "SERVICE", "FAILURE DOMAIN", "VERSION", "RUNNING", "STATE")
	for _, n := range status.Nodes {
		table.AddRow(n.Member.Name, n.Member.Service, n.Member.Domain, n.Version, n.Running, n.word(status.Version))
	}
	if status.Version == 0 {
		return table.String()
	}
	return fmt.Sprintf("Version %d, %d nodes\n\n%s", status.Version, len(status.Nodes), table)
}

// word describes the node's state; version is that of the log.
func (n nodeStatus) word(version uint64) string {
	word := "ready"
	switch {
	case n.Problem != "":
		return n.Problem
	case n.Draining:
		word = "draining"
	case !n.Ready:
		word = "not ready"
	case n.Version < version:
		word = "behind"
	case !n.Fresh:
		word = wordStale
	}
	if n.Out {
		word += ", out of service"
	}
	return word
}
