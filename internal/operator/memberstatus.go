package operator

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack"
	"github.com/flamingotack/flamingotack/internal/folder"
)

// maxConcurrentQueries is the maximum number of nodes queried concurrently.
const maxConcurrentQueries = 32

type (
	// MemberStatus is the status of a member, or the error of querying it.
	MemberStatus struct {
		// Member is the member that was queried.
		Member folder.Member
		// Status is the response. After an error only its Member is set.
		Status flamingotack.Status
		// Err is nil when the member responded.
		Err error
	}

	// UnexpectedNodeError reports that another node, or another incarnation
	// of the same node, responded at a member's address.
	UnexpectedNodeError struct {
		// Name and Incarnation identify the node that responded.
		Name, Incarnation string
	}
)

// QueryStatuses queries the status of all members concurrently. The result is in
// the order of members.
func QueryStatuses(ctx context.Context, s System, members []folder.Member) []MemberStatus {
	return QueryMembers(members, func(m folder.Member) MemberStatus { return queryStatus(ctx, s, m) })
}

// QueryMembers calls query for all members concurrently. The result is in the
// order of members.
func QueryMembers[T any](members []folder.Member, query func(m folder.Member) T) []T {
	results := make([]T, len(members))
	slots := make(chan struct{}, maxConcurrentQueries)
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = query(m)
		})
	}
	wait.Wait()
	return results
}

// LaggingNode returns the entry for a node on which a version is not in force.
func (s MemberStatus) LaggingNode() LaggingNode {
	return LaggingNode{Name: s.Member.Name, AdminAddress: s.Member.AdminAddress, Version: s.Status.ConfigVersion, Problem: s.Problem()}
}

// Problem says why the node's status is unknown. It returns "" when the node
// responded.
func (s MemberStatus) Problem() string {
	var unexpected *UnexpectedNodeError
	switch {
	case s.Err == nil:
		return ""
	case errors.As(s.Err, &unexpected):
		return unexpected.Error()
	default:
		return "unreachable"
	}
}

// Error names the node that responded.
func (e *UnexpectedNodeError) Error() string {
	return fmt.Sprintf("replaced by %s %s", e.Name, e.Incarnation)
}

// queryStatus queries one member and checks that the expected incarnation of it
// responded.
func queryStatus(ctx context.Context, s System, m folder.Member) MemberStatus {
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
