package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

const (
	// membersTimeout bounds the look at the newest membership in each round.
	membersTimeout = time.Second
	// pollPause is the pause between two rounds of questions.
	pollPause = 100 * time.Millisecond
)

type (
	// LateError says that a version is not in force on every node in time.
	LaggingNodesError struct {
		// Version is the wanted version; 0 when just an answer was wanted.
		Version uint64
		// Late are the nodes that were not seen with it.
		Nodes []LaggingNode
	}

	// LateNode is a node that was not seen with a version.
	LaggingNode struct {
		// Name is the node's name.
		Name string `json:"name"`
		// Admin is the node's address for operators.
		AdminAddress string `json:"admin"`
		// Version is the one in force on the node; 0 when it did not answer.
		Version uint64 `json:"version"`
		// Problem says why nothing is known of the node; empty when it
		// answered.
		Problem string `json:"problem,omitempty"`
	}

	// Progress tells how far a version has spread.
	Progress struct {
		// Version is the wanted version.
		Version uint64
		// Ready is the number of nodes that act on it.
		Ready int
		// Late are the others.
		Lagging []LaggingNode
	}
)

// Wait asks all nodes until each of them acts on that version or a newer one,
// or until ctx ends. It calls report whenever the progress changed. The error
// is a *LateError.
func WaitUntilInForce(ctx context.Context, s System, v *ConfigView, version uint64, report func(Progress)) (err error) {
	waiting := v.State.Members
	total := len(waiting)
	lastReady := -1
	var late []LaggingNode
	for {
		asked := ask(ctx, s, waiting, version)
		if ctx.Err() != nil && late != nil {
			return &LaggingNodesError{Version: version, Nodes: late}
		}
		late = asked
		if ready := total - len(late); ready != lastReady {
			lastReady = ready
			report(Progress{Version: version, Ready: ready, Lagging: late})
		}
		if len(late) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &LaggingNodesError{Version: version, Nodes: late}
		case <-time.After(pollPause):
		}
		waiting, total = remaining(ctx, s, waiting, late, total)
	}
}

// Error names the nodes.
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

// String names the node and what is known of it.
func (n LaggingNode) String() string {
	if n.Problem != "" {
		return fmt.Sprintf("%s (%s)", n.Name, n.Problem)
	}
	return fmt.Sprintf("%s (at version %d)", n.Name, n.Version)
}

func ask(ctx context.Context, s System, members []folder.Member, version uint64) (late []LaggingNode) {
	for _, a := range QueryStatuses(ctx, s, members) {
		if a.Err != nil || a.Status.Version < version {
			late = append(late, a.LaggingNode())
		}
	}
	return late
}

// remaining returns the late nodes as the newest membership has them: those
// that left count no more. Without an answer of the log it keeps them all.
func remaining(
	ctx context.Context, s System, waiting []folder.Member, late []LaggingNode, total int,
) (members []folder.Member, left int) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	v, err := s.Load(ctx)
	for _, n := range late {
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
