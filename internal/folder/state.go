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

// maxRecentRecords is the maximum number of record IDs that the state keeps to
// detect repeated records. A writer stops retrying long before that many other
// changes are made.
const maxRecentRecords = 2048

// The outcomes of folding a record.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeConflict Outcome = "conflict"
	OutcomeInvalid  Outcome = "invalid"
	OutcomeNoChange Outcome = "no change"
	OutcomeRepeated Outcome = "repeated"
)

type (
	// Outcome is the outcome of folding a record.
	Outcome string

	// FoldedRecord is a record that was folded.
	FoldedRecord struct {
		// ID is the record's ID.
		ID string `json:"id"`
		// Offset is the offset at which the record was first folded.
		Offset uint64 `json:"offset"`
		// Outcome is the outcome of folding it.
		Outcome Outcome `json:"outcome"`
	}

	// State is the state on which all nodes agree. It is immutable.
	State struct {
		// Offset is the offset of the last folded record.
		Offset uint64 `json:"offset"`
		// ConfigVersion is the offset of the last accepted change of the
		// configuration. It never decreases.
		ConfigVersion uint64 `json:"version"`
		// ViewOffset is the offset of the last accepted change of the
		// membership. It never decreases.
		ViewOffset uint64 `json:"view"`
		// Manifest is the current manifest. It is nil until the first one is
		// accepted.
		Manifest *parser.Manifest `json:"manifest,omitempty"`
		// DomainsOutOfService are the names of the failure domains out of
		// service, sorted.
		DomainsOutOfService []string `json:"domainsout,omitempty"`
		// ServersOutOfService are the names of the nodes whose backend servers
		// are out of service, sorted.
		ServersOutOfService []string `json:"serversout,omitempty"`
		// Members are sorted by name. Names are unique.
		Members []Member `json:"members,omitempty"`
		// RecentRecords are the last records, oldest first, at most
		// 2048 (maxRecentRecords).
		RecentRecords []FoldedRecord `json:"seen,omitempty"`
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

// IsDomainOutOfService reports whether that failure domain is out of service.
func (s *State) IsDomainOutOfService(name string) bool {
	_, found := slices.BinarySearch(s.DomainsOutOfService, name)
	return found
}

// Fold returns the state after the record at that offset. Offsets must increase; a
// record that was folded before changes nothing. A snapshot changes nothing but the
// offset, because a node that has folded the records before it knows its content.
// A node that starts after those records were trimmed takes the snapshot's state
// and folds from the offset after that state's.
func (s *State) Fold(offset uint64, r Record) (next *State, outcome Outcome) {
	if offset <= s.Offset {
		return s, OutcomeRepeated
	}
	next = s.shallowCopy()
	next.Offset = offset
	if r.Kind == KindSnapshot {
		return next, OutcomeNoChange
	}
	if _, found := s.FindRecord(r.ID); found {
		return next, OutcomeRepeated
	}
	outcome = next.apply(offset, r)
	next.addRecentRecord(FoldedRecord{ID: r.ID, Offset: offset, Outcome: outcome})
	return next, outcome
}

// FindRecord returns the folded record with that ID.
func (s *State) FindRecord(id string) (record FoldedRecord, found bool) {
	for i := len(s.RecentRecords) - 1; i >= 0; i-- {
		if s.RecentRecords[i].ID == id {
			return s.RecentRecords[i], true
		}
	}
	return FoldedRecord{}, false
}

// Member returns the member with that name.
func (s *State) Member(name string) (m Member, found bool) {
	i, found := s.memberIndex(name)
	if !found {
		return Member{}, false
	}
	return s.Members[i], true
}

// IsServerOutOfService reports whether the backend server of m or its failure
// domain is out of service, so that it must not get new requests.
func (s *State) IsServerOutOfService(m Member) bool {
	_, found := slices.BinarySearch(s.ServersOutOfService, m.Name)
	return found || s.IsDomainOutOfService(m.Domain)
}

// Skip returns the state after an unreadable record at that offset.
func (s *State) Skip(offset uint64) *State {
	if offset <= s.Offset {
		return s
	}
	next := s.shallowCopy()
	next.Offset = offset
	return next
}

func (s *State) apply(offset uint64, r Record) Outcome {
	if r.IsConfigChange() && r.BaseVersion != s.ConfigVersion {
		return OutcomeConflict
	}
	outcome := s.applyChange(offset, r)
	if outcome != OutcomeAccepted {
		return outcome
	}
	if r.IsConfigChange() {
		s.ConfigVersion = offset
	} else {
		s.ViewOffset = offset
	}
	return outcome
}

func (s *State) applyChange(offset uint64, r Record) Outcome {
	switch r.Kind {
	case KindManifest:
		return s.setManifest(r.Manifest)
	case KindDomain:
		return setOutOfService(&s.DomainsOutOfService, *r.OutOfServiceChange)
	case KindServer:
		return setOutOfService(&s.ServersOutOfService, *r.OutOfServiceChange)
	case KindJoin:
		return s.addMember(offset, *r.Member)
	case KindLeave, KindEvict:
		return s.removeMember(*r.Member)
	default:
		return OutcomeInvalid
	}
}

func (s *State) addMember(offset uint64, m Member) Outcome {
	m.JoinOffset = offset
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

func (s *State) addRecentRecord(record FoldedRecord) {
	kept := s.RecentRecords
	if len(kept) >= maxRecentRecords {
		kept = kept[len(kept)-maxRecentRecords+1:]
	}
	s.RecentRecords = append(slices.Clip(kept), record)
}

func (s *State) removeMember(m Member) Outcome {
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

func (s *State) shallowCopy() *State {
	c := *s
	return &c
}

// String returns offset, version and view.
func (s *State) String() string {
	return fmt.Sprintf("offset %d, version %d, view %d", s.Offset, s.ConfigVersion, s.ViewOffset)
}

func setOutOfService(names *[]string, o OutOfServiceChange) Outcome {
	i, found := slices.BinarySearch(*names, o.Name)
	if found == o.OutOfService {
		return OutcomeNoChange
	}
	kept := slices.Clone(*names)
	if o.OutOfService {
		kept = slices.Insert(kept, i, o.Name)
	} else {
		kept = slices.Delete(kept, i, i+1)
	}
	*names = kept
	return OutcomeAccepted
}
