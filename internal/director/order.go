package director

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

const (
	// ConfigPart is the part of a state that holds the configuration.
	ConfigPart = "config"
	// domainPartPrefix starts the name of the part that says whether a failure domain is out
	// of service.
	domainPartPrefix = "domain/"
	// rolloutPartPrefix starts the name of the part that holds the rollout of a service.
	rolloutPartPrefix = "rollout/"
)

// Position orders states, from the most to the least significant field.
type Position struct {
	// Era, Revision and PriorRevision are those of the state.
	Era, Revision, PriorRevision uint64
}

// DomainPart returns the name of the part of a state that says whether a failure domain is
// out of service.
func DomainPart(domain string) string {
	return domainPartPrefix + domain
}

// RolloutPart returns the name of the part of a state that holds the rollout of a service.
func RolloutPart(service string) string {
	return rolloutPartPrefix + service
}

// Compare returns -1 if p is older than other, 1 if it is newer, and 0 if they are equal.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision), cmp.Compare(p.PriorRevision, other.PriorRevision))
}

// NewerThan reports whether a state at p replaces one at other.
func (p Position) NewerThan(other Position) bool {
	return p.Compare(other) > 0
}

// Position returns the state's place in the order of states.
func (s State) Position() Position {
	return Position{Era: s.Era, Revision: s.Revision, PriorRevision: s.PriorRevision}
}

// Merge returns the state that is in force once received arrives at a node that acts on
// current, and whether it differs from current. An older state changes nothing. A newer one
// replaces current, unless its sender knew less of the previous era: then only the parts that
// have been written in the new era are taken from it, because what is missing in it may be
// what the store has lost. The version of the configuration never decreases.
func Merge(current, received State) (merged State, changed bool) {
	if !received.Position().NewerThan(current.Position()) {
		return current, false
	}
	merged = received
	if prior := current.revisionBefore(received); prior > received.PriorRevision {
		merged = current.withWritten(received, prior)
	}
	if merged.Version() < current.Version() {
		merged.Config = current.Config
	}
	if merged.Version() < received.Version() {
		merged.Config = received.Config
	}
	return merged, true
}

// revisionBefore returns the prior revision that s has in the era of received, or 0 if it knows
// nothing that received may lack.
func (s State) revisionBefore(received State) uint64 {
	switch {
	case s.Era == received.Era:
		return s.PriorRevision
	case s.Era+1 == received.Era || received.PriorRevision == 0:
		return s.NextPriorRevision()
	}
	// The sender of received knew an era between the two.
	return 0
}

// NextPriorRevision returns the prior revision of s in the next era. It includes the prior
// revision of s, so that a state that keeps what two restores have lost goes before one that
// was read anew between them.
func (s State) NextPriorRevision() uint64 {
	return s.Revision + s.PriorRevision
}

// withWritten returns s with the parts of received that were written in its era. prior is the
// revision up to which s knows the era before. If received does not list all parts that may
// have been written, the result claims one revision less, so that it gives way to a state
// that knows as much and lists them all.
func (s State) withWritten(received State, prior uint64) State {
	merged := s
	merged.Era, merged.Revision, merged.PriorRevision = received.Era, received.Revision, prior
	merged.Written, merged.WrittenFrom, merged.WrittenComplete = maps.Clone(received.Written), received.WrittenFrom, received.WrittenComplete
	for part, revision := range received.Written {
		switch {
		case s.Era == received.Era && revision < s.Written[part]:
		case s.accepts(part, received):
			merged.takePart(part, received)
		default:
			delete(merged.Written, part)
		}
	}
	complete := received.WrittenComplete
	if s.Era == received.Era {
		complete = complete || received.WrittenFrom <= s.Revision
		merged.joinWritten(s, complete)
	}
	if !complete {
		merged.PriorRevision = prior - 1
	}
	return merged
}

// accepts reports whether a part that received lists as written replaces that of s. The sender
// of a state that is not complete may have taken a record of the copy, of which it did not know,
// for a written one. It counts only if s does not know of it either, or if it takes a failure
// domain out of service, which is safe.
func (s State) accepts(part string, received State) bool {
	revision := received.Written[part]
	if s.Era == received.Era && s.WrittenComplete && revision < s.WrittenFrom {
		return false
	}
	return received.WrittenComplete || revision >= min(received.WrittenFrom, s.Revision) || received.evacuates(part)
}

func (s State) evacuates(part string) bool {
	domain, found := strings.CutPrefix(part, domainPartPrefix)
	return found && slices.Contains(s.EvacuatedDomains, domain)
}

// joinWritten adds what was written according to s, an earlier state of the same era.
// complete reports whether the two leave no gap.
func (s *State) joinWritten(earlier State, complete bool) {
	if s.Written == nil {
		s.Written = map[string]uint64{}
	}
	for part, revision := range earlier.Written {
		if s.WrittenComplete && revision < s.WrittenFrom {
			// The copy has this record.
			continue
		}
		s.Written[part] = max(s.Written[part], revision)
	}
	if complete {
		s.WrittenComplete = s.WrittenComplete || earlier.WrittenComplete
		s.WrittenFrom = min(s.WrittenFrom, earlier.WrittenFrom)
	}
}

// takePart replaces one part of s by that of another state. A part that it does not know
// changes nothing: nodes of a later release may send it.
func (s *State) takePart(part string, from State) {
	if part == ConfigPart {
		s.Config = from.Config
		return
	}
	if domain, found := strings.CutPrefix(part, domainPartPrefix); found {
		s.EvacuatedDomains = slices.DeleteFunc(slices.Clone(s.EvacuatedDomains), func(d string) bool { return d == domain })
		if slices.Contains(from.EvacuatedDomains, domain) {
			s.EvacuatedDomains = append(s.EvacuatedDomains, domain)
		}
	}
	if service, found := strings.CutPrefix(part, rolloutPartPrefix); found {
		of := func(r Rollout) bool { return r.Service == service }
		s.Rollouts = slices.DeleteFunc(slices.Clone(s.Rollouts), of)
		if i := slices.IndexFunc(from.Rollouts, of); i >= 0 {
			s.Rollouts = append(s.Rollouts, from.Rollouts[i])
		}
	}
}
