// Package holder decides how long a node may trust its state and which node
// holds a resource. Both take the time and events as arguments; nothing in it
// reads a clock or a connection.
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
		// View is the offset of the view.
		ViewOffset uint64
		// Self tells that the owner is the node itself.
		IsSelf bool
	}

	// Resource is something that one member holds at a time.
	Resource struct {
		// Name tells the resource from all others.
		Name string
		// Service restricts the holders to members of that service; empty
		// allows all.
		Service string
		// Domain restricts the holders to members in that failure domain;
		// empty allows all.
		Domain string
	}

	// View is the membership that all nodes agree on.
	View struct {
		// Offset is that of the record which made the view; 0 for the empty
		// view before the first one.
		Offset uint64
		// Members are sorted by name; each name stands once. Each has its own
		// Since, which tells its incarnations apart.
		Members []folder.Member
	}

	scored struct {
		member folder.Member
		score  uint64
	}
)

// ViewOf returns the view of a folded state.
func ViewOf(s *folder.State) View {
	return View{Offset: s.ViewOffset, Members: s.Members}
}

// Find returns the member that joined at that offset.
func (v View) FindMember(since uint64) (m folder.Member, found bool) {
	i := slices.IndexFunc(v.Members, func(m folder.Member) bool { return m.JoinOffset == since })
	if i < 0 {
		return folder.Member{}, false
	}
	return v.Members[i], true
}

// Order returns the members that may hold r, the most entitled first
// (rendezvous hashing by name, so that a replaced instance changes the holder
// of nothing but its own resources).
func (v View) OwnerCandidates(r Resource) []folder.Member {
	candidates := make([]scored, 0, len(v.Members))
	for _, m := range v.Members {
		if r.allows(m) {
			candidates = append(candidates, scored{m, score(m.Name, r.Name)})
		}
	}
	slices.SortFunc(candidates, scored.compare)
	members := make([]folder.Member, len(candidates))
	for i, c := range candidates {
		members[i] = c.member
	}
	return members
}

// Owner returns the first member of Order. Nothing is found when no member
// may hold r.
func (v View) Owner(r Resource) (m folder.Member, found bool) {
	var best scored
	for _, m := range v.Members {
		if !r.allows(m) {
			continue
		}
		c := scored{m, score(m.Name, r.Name)}
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

func (s scored) compare(other scored) int {
	switch {
	case s.score > other.score:
		return -1
	case s.score < other.score:
		return 1
	case s.member.Name < other.member.Name:
		return -1
	default:
		return 1
	}
}

func score(member, resource string) uint64 {
	return xxh3.HashStringSeed(resource, xxh3.HashString(member))
}

func compareName(a, b folder.Member) int {
	return strings.Compare(a.Name, b.Name)
}
