package folder

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/parser"
)

// maxSeen bounds how many record IDs the state keeps against repeats. A
// writer stops repeating long before so many other changes are made.
const maxSeen = 2048

// The outcomes of folding a record.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeConflict Outcome = "conflict"
	OutcomeInvalid  Outcome = "invalid"
	OutcomeNoChange Outcome = "no change"
	OutcomeRepeated Outcome = "repeated"
)

type (
	// Outcome tells what became of a record.
	Outcome string

	// Seen is a record that was folded.
	Seen struct {
		// ID is the record's ID.
		ID string `json:"id"`
		// Offset is where the record stood first.
		Offset uint64 `json:"offset"`
		// Outcome is what became of it.
		Outcome Outcome `json:"outcome"`
	}

	// State is what all nodes agree on. It is never changed once made.
	State struct {
		// Offset is that of the last folded record.
		Offset uint64 `json:"offset"`
		// Version is the offset of the last accepted change of the
		// configuration. It never falls.
		Version uint64 `json:"version"`
		// View is the offset of the last accepted change of the membership.
		// It never falls.
		View uint64 `json:"view"`
		// Manifest is nil until the first one is accepted.
		Manifest *parser.Manifest `json:"manifest,omitempty"`
		// DomainsOut are the failure domains out of service, sorted.
		DomainsOut []string `json:"domainsout,omitempty"`
		// ServersOut are the backend servers out of service, sorted.
		ServersOut []string `json:"serversout,omitempty"`
		// Members are sorted by name; each name stands once.
		Members []Member `json:"members,omitempty"`
		// Seen are the last records, oldest first, at most 2048.
		Seen []Seen `json:"seen,omitempty"`
	}
)

// Digest returns the SHA-256 digest of the encoded state.
func (s *State) Digest() (digest [sha256.Size]byte, err error) {
	data, err := json.Marshal(s)
	if err != nil {
		return digest, errors.Wrap(err, "encode state")
	}
	return sha256.Sum256(data), nil
}

// DomainOut reports whether that failure domain is out of service.
func (s *State) DomainOut(name string) bool {
	_, found := slices.BinarySearch(s.DomainsOut, name)
	return found
}

// Fold returns the state after the record at that offset. Offsets come in
// rising order; a record that was folded before changes nothing. A snapshot
// changes nothing either: whoever has folded the records before it knows its
// content. A node that starts after those records were trimmed takes the
// snapshot's state and folds from the offset after that state's.
func (s *State) Fold(offset uint64, r Record) (next *State, outcome Outcome) {
	if offset <= s.Offset {
		return s, OutcomeRepeated
	}
	next = s.shallow()
	next.Offset = offset
	if r.Kind == KindSnapshot {
		return next, OutcomeNoChange
	}
	if _, found := s.Find(r.ID); found {
		return next, OutcomeRepeated
	}
	outcome = next.apply(offset, r)
	next.remember(Seen{ID: r.ID, Offset: offset, Outcome: outcome})
	return next, outcome
}

// Find returns what became of the record with that ID.
func (s *State) Find(id string) (seen Seen, found bool) {
	for i := len(s.Seen) - 1; i >= 0; i-- {
		if s.Seen[i].ID == id {
			return s.Seen[i], true
		}
	}
	return Seen{}, false
}

// Member returns the member of that name.
func (s *State) Member(name string) (m Member, found bool) {
	i, found := s.memberIndex(name)
	if !found {
		return Member{}, false
	}
	return s.Members[i], true
}

// ServerOut reports whether the member may get no new work, because it or its
// failure domain is out of service.
func (s *State) ServerOut(m Member) bool {
	_, found := slices.BinarySearch(s.ServersOut, m.Name)
	return found || s.DomainOut(m.Domain)
}

// Skip returns the state after an unreadable record at that offset.
func (s *State) Skip(offset uint64) *State {
	if offset <= s.Offset {
		return s
	}
	next := s.shallow()
	next.Offset = offset
	return next
}

func (s *State) apply(offset uint64, r Record) Outcome {
	if r.Config() && r.Base != s.Version {
		return OutcomeConflict
	}
	outcome := s.change(offset, r)
	if outcome != OutcomeAccepted {
		return outcome
	}
	if r.Config() {
		s.Version = offset
	} else {
		s.View = offset
	}
	return outcome
}

func (s *State) change(offset uint64, r Record) Outcome {
	switch r.Kind {
	case KindManifest:
		return s.setManifest(r.Manifest)
	case KindDomain:
		return setOut(&s.DomainsOut, *r.Outage)
	case KindServer:
		return setOut(&s.ServersOut, *r.Outage)
	case KindJoin:
		return s.join(offset, *r.Member)
	case KindLeave, KindEvict:
		return s.remove(*r.Member)
	default:
		return OutcomeInvalid
	}
}

func (s *State) join(offset uint64, m Member) Outcome {
	m.Since = offset
	i, found := s.memberIndex(m.Name)
	if !found {
		s.Members = slices.Insert(slices.Clone(s.Members), i, m)
		return OutcomeAccepted
	}
	if s.Members[i].Incarnation == m.Incarnation {
		return OutcomeNoChange
	}
	s.Members = slices.Clone(s.Members)
	s.Members[i] = m
	return OutcomeAccepted
}

func (s *State) memberIndex(name string) (i int, found bool) {
	return slices.BinarySearchFunc(s.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
}

func (s *State) remember(seen Seen) {
	kept := s.Seen
	if len(kept) >= maxSeen {
		kept = kept[len(kept)-maxSeen+1:]
	}
	s.Seen = append(slices.Clip(kept), seen)
}

func (s *State) remove(m Member) Outcome {
	i, found := s.memberIndex(m.Name)
	if !found || s.Members[i].Incarnation != m.Incarnation {
		return OutcomeNoChange
	}
	s.Members = slices.Delete(slices.Clone(s.Members), i, i+1)
	return OutcomeAccepted
}

func (s *State) setManifest(m *parser.Manifest) Outcome {
	if m.Validate() != nil {
		return OutcomeInvalid
	}
	s.Manifest = m
	return OutcomeAccepted
}

func (s *State) shallow() *State {
	c := *s
	return &c
}

// String returns offset, version and view.
func (s *State) String() string {
	return fmt.Sprintf("offset %d, version %d, view %d", s.Offset, s.Version, s.View)
}

func setOut(names *[]string, o Outage) Outcome {
	i, found := slices.BinarySearch(*names, o.Name)
	if found == o.Out {
		return OutcomeNoChange
	}
	kept := slices.Clone(*names)
	if o.Out {
		kept = slices.Insert(kept, i, o.Name)
	} else {
		kept = slices.Delete(kept, i, i+1)
	}
	*names = kept
	return OutcomeAccepted
}
