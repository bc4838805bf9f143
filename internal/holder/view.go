// Package holder decides how long a node may trust its state and which node
// holds a resource. It takes the time and events as arguments and uses neither a
// clock nor a connection.
package holder

import (
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/flamingotack/flamingotack/internal/folder"
)

type (
	// Owner is the member that owns a resource in a view.
	Owner struct {
		// Member is the owner.
		Member folder.Member
		// ViewOffset is the offset of the view.
		ViewOffset uint64
		// IsSelf is set if the owner is the node itself.
		IsSelf bool
	}

	// Resource is something that at most one member holds at a time.
	Resource struct {
		// Name is the unique name of the resource.
		Name string
		// Service restricts the holders to members of that service. Empty
		// allows all members.
		Service string
		// Domain restricts the holders to members in that failure domain.
		// Empty allows all members.
		Domain string
	}

	// View is the membership on which all nodes agree.
	View struct {
		// Offset is the offset of the record that created the view. It is 0
		// for the empty view before the first one.
		Offset uint64
		// Members are sorted by name, and names are unique. JoinOffset
		// distinguishes the incarnations of a member.
		Members []folder.Member
	}

	candidate struct {
		member folder.Member
		score  uint64
	}
)

// ViewOf returns the view of a folded state.
func ViewOf(s *folder.State) View {
	return View{Offset: s.ViewOffset, Members: s.Members}
}

// FindMember returns the member with that join offset.
func (v View) FindMember(joinOffset uint64) (m folder.Member, found bool) {
	i := slices.IndexFunc(v.Members, func(m folder.Member) bool { return m.JoinOffset == joinOffset })
	if i < 0 {
		return folder.Member{}, false
	}
	return v.Members[i], true
}

// OwnerCandidates returns the members that may hold r, the owner first. They are
// sorted by rendezvous hashing of their names, so that a replaced instance changes
// the holder of its own resources only.
func (v View) OwnerCandidates(r Resource) []folder.Member {
	candidates := make([]candidate, 0, len(v.Members))
	for _, m := range v.Members {
		if r.allows(m) {
			candidates = append(candidates, candidate{m, rendezvousScore(m.Name, r.Name)})
		}
	}
	slices.SortFunc(candidates, candidate.compare)
	members := make([]folder.Member, len(candidates))
	for i, c := range candidates {
		members[i] = c.member
	}
	return members
}

// Owner returns the first of OwnerCandidates. found is false if no member may hold
// r.
func (v View) Owner(r Resource) (m folder.Member, found bool) {
	var best candidate
	for _, m := range v.Members {
		if !r.allows(m) {
			continue
		}
		c := candidate{m, rendezvousScore(m.Name, r.Name)}
		if !found || c.compare(best) < 0 {
			best, found = c, true
		}
	}
	return best.member, found
}

func (r Resource) allows(m folder.Member) bool {
	if r.Service != "" && m.Service != r.Service {
		return false
	}
	return r.Domain == "" || m.Domain == r.Domain
}

func (c candidate) compare(other candidate) int {
	switch {
	case c.score > other.score:
		return -1
	case c.score < other.score:
		return 1
	case c.member.Name < other.member.Name:
		return -1
	default:
		return 1
	}
}

func rendezvousScore(member, resource string) uint64 {
	return xxh3.HashStringSeed(resource, xxh3.HashString(member))
}

func compareNames(a, b folder.Member) int {
	return strings.Compare(a.Name, b.Name)
}
