package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

const (
	// membersTimeout limits reading the current members in each round.
	membersTimeout = time.Second
	// pollInterval is the pause between two rounds of queries.
	pollInterval = 100 * time.Millisecond
)

type (
	// LaggingNodesError reports that a version is not in force on every node
	// in time.
	LaggingNodesError struct {
		// Version is the expected version; 0 when only a response was
		// expected.
		Version uint64
		// Nodes are the nodes that did not report the version.
		Nodes []LaggingNode
	}

	// LaggingNode is a node that did not report an expected version.
	LaggingNode struct {
		// Name is the node's name.
		Name string `json:"name"`
		// AdminAddress is the node's address for operators.
		AdminAddress string `json:"admin"`
		// Version is the version in force on the node; 0 when the node did
		// not respond.
		Version uint64 `json:"version"`
		// Problem says why the node's version is unknown; empty when the
		// node responded.
		Problem string `json:"problem,omitempty"`
	}

	// Progress reports on how many nodes a version is in force.
	Progress struct {
		// Version is the expected version.
		Version uint64
		// ReadyNodes is the number of nodes on which the version is in force.
		ReadyNodes int
		// LaggingNodes are the other nodes.
		LaggingNodes []LaggingNode
	}
)

// WaitUntilInForce polls all nodes until that version or a newer one is in force
// on each of them, or ctx ends. It calls report when the number of ready nodes
// changes. The error is a *LaggingNodesError.
func WaitUntilInForce(ctx context.Context, s System, v *ConfigView, version uint64, report func(Progress)) (err error) {
	waiting := v.State.Members
	total := len(waiting)
	lastReady := -1
	var lagging []LaggingNode
	for {
		laggingNow := laggingNodes(ctx, s, waiting, version)
		if ctx.Err() != nil && lagging != nil {
			return &LaggingNodesError{Version: version, Nodes: lagging}
		}
		lagging = laggingNow
		if ready := total - len(lagging); ready != lastReady {
			lastReady = ready
			report(Progress{Version: version, ReadyNodes: ready, LaggingNodes: lagging})
		}
		if len(lagging) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &LaggingNodesError{Version: version, Nodes: lagging}
		case <-time.After(pollInterval):
		}
		waiting, total = remainingMembers(ctx, s, waiting, lagging, total)
	}
}

// Error names the version and the nodes.
func (e *LaggingNodesError) Error() string {
	names := make([]string, 0, len(e.Nodes))
	for _, n := range e.Nodes {
		names = append(names, n.String())
	}
	if e.Version == 0 {
		return "no news of " + strings.Join(names, ", ")
	}
	return fmt.Sprintf("version %d is accepted, but not seen in force on %s", e.Version, strings.Join(names, ", "))
}

// String returns the node's name with its problem or version.
func (n LaggingNode) String() string {
	if n.Problem != "" {
		return fmt.Sprintf("%s (%s)", n.Name, n.Problem)
	}
	return fmt.Sprintf("%s (at version %d)", n.Name, n.Version)
}

// laggingNodes queries members and returns those on which version is not in
// force.
func laggingNodes(ctx context.Context, s System, members []folder.Member, version uint64) (lagging []LaggingNode) {
	for _, a := range QueryStatuses(ctx, s, members) {
		if a.Err != nil || a.Status.ConfigVersion < version {
			lagging = append(lagging, a.LaggingNode())
		}
	}
	return lagging
}

// remainingMembers returns the lagging nodes that are still members according to
// the log, and total minus the number of nodes that left. It keeps all lagging
// nodes when the log can't be read.
func remainingMembers(
	ctx context.Context, s System, waiting []folder.Member, lagging []LaggingNode, total int,
) (members []folder.Member, remainingTotal int) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	v, err := s.Load(ctx)
	for _, n := range lagging {
		if err == nil {
			m, found := v.State.Member(n.Name)
			if !found {
				total--
				continue
			}
			members = append(members, m)
			continue
		}
		for _, m := range waiting {
			if m.Name == n.Name {
				members = append(members, m)
			}
		}
	}
	return members, total
}
