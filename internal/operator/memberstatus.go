package operator

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack"
	"github.com/flamingotack/flamingotack/internal/folder"
)

// maxAsked bounds how many nodes are asked at once.
const maxAsked = 32

type (
	// Answer is what a member answered.
	MemberStatus struct {
		// Member is the member that was asked.
		Member folder.Member
		// Status is its answer. Without one it holds the member only.
		Status flamingotack.Status
		// Err is nil when the member answered.
		Err error
	}

	// StrangerError says that another node, or another incarnation of it,
	// answered at a member's address.
	UnexpectedNodeError struct {
		// Name and Incarnation are those of the node that answered.
		Name, Incarnation string
	}
)

// AskAll asks all members for their status, many at once, and returns their
// answers in the same order.
func QueryStatuses(ctx context.Context, s System, members []folder.Member) []MemberStatus {
	return QueryMembers(members, func(m folder.Member) MemberStatus { return askOne(ctx, s, m) })
}

// Gather calls ask for all members, many at once, and returns what it returned
// in the same order.
func QueryMembers[T any](members []folder.Member, ask func(m folder.Member) T) []T {
	answers := make([]T, len(members))
	slots := make(chan struct{}, maxAsked)
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i] = ask(m)
		})
	}
	wait.Wait()
	return answers
}

// Late returns the answer of a node that does not act on a version.
func (a MemberStatus) LaggingNode() LaggingNode {
	return LaggingNode{Name: a.Member.Name, AdminAddress: a.Member.Admin, Version: a.Status.Version, Problem: a.Problem()}
}

// Problem says why nothing is known of the node; empty when it answered.
func (a MemberStatus) Problem() string {
	var stranger *UnexpectedNodeError
	switch {
	case a.Err == nil:
		return ""
	case errors.As(a.Err, &stranger):
		return stranger.Error()
	default:
		return "unreachable"
	}
}

// Error names the node that answered.
func (e *UnexpectedNodeError) Error() string {
	return fmt.Sprintf("replaced by %s %s", e.Name, e.Incarnation)
}

func askOne(ctx context.Context, s System, m folder.Member) MemberStatus {
	status, err := s.Status(ctx, m)
	if err != nil {
		return MemberStatus{Member: m, Status: flamingotack.Status{Member: m}, Err: err}
	}
	if m.Incarnation != "" && (status.Member.Name != m.Name || status.Member.Incarnation != m.Incarnation) {
		err = &UnexpectedNodeError{Name: status.Member.Name, Incarnation: status.Member.Incarnation}
		return MemberStatus{Member: m, Status: flamingotack.Status{Member: m}, Err: err}
	}
	return MemberStatus{Member: m, Status: status}
}
