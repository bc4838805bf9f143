// Package suspecter recognises requests that crash the backend servers which
// run them. A request in flight when its server died is a suspect; one that
// was in flight at two such deaths is condemned and refused for a while. It
// knows no clock and is not safe for concurrent use.
package suspecter

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// What becomes of a request that shall start.
const (
	// VerdictRun lets the request run.
	VerdictRun Verdict = iota
	// VerdictWait says that another suspect runs; this one may come next.
	VerdictWait
	// VerdictRefuse says that the request is condemned.
	VerdictRefuse
)

const (
	// DeathsToCondemn is the number of distinct incarnations that must die
	// with a request in flight before it is refused.
	CrashesToRefuse = 2
	// defaultCapacity is the number of suspects kept; one takes some 200
	// bytes.
	defaultCapacity = 4096
	// defaultTerm is how long a suspicion holds after its last death.
	defaultTerm = 5 * time.Minute
	// lostTerm is how long after a broken connection its server may be found
	// dead.
	lostTerm = 2 * time.Second
	// maxDeaths bounds the incarnations kept with a suspect.
	maxDeaths = 4
)

type (
	// Digest names a request by customer, service, route, method, path and
	// body, so that a resend through another node is the same request.
	Digest [sha256.Size]byte

	// Identity is what makes two requests the same.
	RequestIdentity struct {
		// Customer is the name of the customer; empty on an open route.
		Customer string
		// Service and Route say who runs it.
		Service, Route string
		// Method, Path and Query are those of the request.
		Method, Path, Query string
		// Body is the whole body.
		Body []byte
	}

	// Suspect is a request that was in flight when a server died.
	Suspect struct {
		// Digest names the request.
		Digest Digest
		// Deaths are the distinct incarnations that died, at most four,
		// sorted. None says that the suspicion has ended.
		CrashedIncarnations []string
		// Until is when the suspicion ends. Once it is over, the suspect
		// tells that Deaths are taken back.
		ExpiresAt time.Time
	}

	// Suspecter keeps the requests in flight and the suspects that the node
	// knows of.
	CrashTracker struct {
		// Capacity bounds the suspects; 0 stands for 4096.
		MaxSuspects int
		// Held keeps all suspects from starting.
		HoldSuspects bool
		// Term is how long a suspicion holds after its last death; 0 stands
		// for 5m.
		SuspicionDuration time.Duration

		// alone is the number of the one suspect in flight; 0 for none.
		alone    uint64
		flights  map[uint64]RequestIdentity
		lost     []loss
		suspects map[Digest]*Suspect
	}

	// Verdict says what becomes of a request.
	Verdict int

	// loss is a request whose connection broke.
	loss struct {
		identity RequestIdentity
		at       time.Time
	}
)

// NewDigest returns the digest of i.
func NewDigest(i RequestIdentity) (d Digest) {
	h := sha256.New()
	for _, part := range []string{i.Customer, i.Service, i.Route, i.Method, i.Path, i.Query} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(i.Body)
	h.Sum(d[:0])
	return d
}

// Acquit takes back what Died said of an incarnation that lives after all. The
// suspects returned, without a term, are to be told to the other nodes.
func (s *CrashTracker) RetractCrash(now time.Time, incarnation string) (told []Suspect) {
	for d, p := range s.suspects {
		if !slices.Contains(p.CrashedIncarnations, incarnation) {
			continue
		}
		taken := Suspect{Digest: d, CrashedIncarnations: []string{incarnation}}
		s.Merge(now, taken)
		told = append(told, taken)
	}
	return told
}

// Condemned reports whether the request is to be refused, and for how long.
func (s *CrashTracker) RefusedFor(now time.Time, i RequestIdentity) (left time.Duration, condemned bool) {
	if len(s.suspects) == 0 {
		return 0, false
	}
	p := s.find(now, NewDigest(i))
	if p == nil || len(p.CrashedIncarnations) < CrashesToRefuse {
		return 0, false
	}
	return p.ExpiresAt.Sub(now), true
}

// Died says that an incarnation of the backend server died or seems to have.
// The requests that were lost shortly before become suspects, which are returned to be told to
// the other nodes.
func (s *CrashTracker) RecordCrash(now time.Time, incarnation string) (told []Suspect) {
	until := now.Add(s.term())
	seen := map[Digest]bool{}
	for _, l := range s.lost {
		d := NewDigest(l.identity)
		if seen[d] || now.Sub(l.at) > lostTerm {
			continue
		}
		seen[d] = true
		p := s.merge(now, Suspect{Digest: d, CrashedIncarnations: []string{incarnation}, ExpiresAt: until})
		told = append(told, p)
	}
	s.lost = nil
	return told
}

// Finish says that the request of that number is no more in flight. clean
// tells that its server outlived it, which ends a suspicion against it; a
// suspect without deaths is then to be told to the other nodes.
func (s *CrashTracker) Finish(number uint64, clean bool) (told []Suspect) {
	i, found := s.leave(number)
	if !found || !clean || len(s.suspects) == 0 {
		return nil
	}
	d := NewDigest(i)
	if _, suspected := s.suspects[d]; !suspected {
		return nil
	}
	delete(s.suspects, d)
	return []Suspect{{Digest: d}}
}

// Lose says that the connection of the request of that number broke, perhaps
// because its server died.
func (s *CrashTracker) RecordLostConnection(now time.Time, number uint64) {
	i, found := s.leave(number)
	if !found {
		return
	}
	s.lost = slices.DeleteFunc(s.lost, func(l loss) bool { return now.Sub(l.at) > lostTerm })
	if len(s.lost) < s.capacity() {
		s.lost = append(s.lost, loss{identity: i, at: now})
	}
}

// Merge takes a suspicion that another node told of. One without deaths ends
// the suspicion; one whose term is over takes its deaths back.
func (s *CrashTracker) Merge(now time.Time, p Suspect) {
	switch {
	case len(p.CrashedIncarnations) == 0:
		delete(s.suspects, p.Digest)
	case p.ExpiresAt.After(now):
		p.ExpiresAt = earlier(p.ExpiresAt, now.Add(s.term()))
		s.merge(now, p)
	default:
		s.takeBack(p)
	}
}

// Size returns the number of suspects kept.
func (s *CrashTracker) SuspectCount() int {
	return len(s.suspects)
}

// Start says that a request shall go to the backend server. number is unique
// among those in flight and not 0. On any verdict but VerdictRun it is not in
// flight; left is then how long the suspicion holds at most.
func (s *CrashTracker) Start(now time.Time, number uint64, i RequestIdentity) (v Verdict, left time.Duration) {
	if len(s.suspects) > 0 {
		v, left = s.judge(now, number, NewDigest(i))
	}
	if v != VerdictRun {
		return v, left
	}
	if s.flights == nil {
		s.flights = map[uint64]RequestIdentity{}
	}
	s.flights[number] = i
	return VerdictRun, 0
}

func (s *CrashTracker) find(now time.Time, d Digest) *Suspect {
	p, found := s.suspects[d]
	if !found {
		return nil
	}
	if !p.ExpiresAt.After(now) {
		delete(s.suspects, d)
		return nil
	}
	return p
}

// judge lets one suspect at a time run, so that the next death condemns no
// innocent that became a suspect together with the guilty request.
func (s *CrashTracker) judge(now time.Time, number uint64, d Digest) (v Verdict, left time.Duration) {
	p := s.find(now, d)
	if p == nil {
		return VerdictRun, 0
	}
	left = p.ExpiresAt.Sub(now)
	if len(p.CrashedIncarnations) >= CrashesToRefuse {
		return VerdictRefuse, left
	}
	if s.alone != 0 || s.HoldSuspects {
		return VerdictWait, left
	}
	s.alone = number
	return VerdictRun, 0
}

// merge returns the suspect as it now stands.
func (s *CrashTracker) merge(now time.Time, p Suspect) Suspect {
	if s.suspects == nil {
		s.suspects = map[Digest]*Suspect{}
	}
	kept := s.find(now, p.Digest)
	if kept == nil {
		s.makeRoom(now)
		kept = &Suspect{Digest: p.Digest}
		s.suspects[p.Digest] = kept
	}
	kept.CrashedIncarnations = union(kept.CrashedIncarnations, p.CrashedIncarnations)
	if p.ExpiresAt.After(kept.ExpiresAt) {
		kept.ExpiresAt = p.ExpiresAt
	}
	return *kept
}

func (s *CrashTracker) leave(number uint64) (i RequestIdentity, found bool) {
	i, found = s.flights[number]
	delete(s.flights, number)
	if s.alone == number {
		s.alone = 0
	}
	return i, found
}

// makeRoom drops what is out of date, or else the suspect that matters least:
// the one with the fewest deaths, the oldest first.
func (s *CrashTracker) makeRoom(now time.Time) {
	if len(s.suspects) < s.capacity() {
		return
	}
	var least *Suspect
	for d, p := range s.suspects {
		if !p.ExpiresAt.After(now) {
			delete(s.suspects, d)
			continue
		}
		if least == nil || p.before(least) {
			least = p
		}
	}
	if least != nil && len(s.suspects) >= s.capacity() {
		delete(s.suspects, least.Digest)
	}
}

func (s *CrashTracker) takeBack(p Suspect) {
	kept, found := s.suspects[p.Digest]
	if !found {
		return
	}
	kept.CrashedIncarnations = slices.DeleteFunc(slices.Clone(kept.CrashedIncarnations), func(death string) bool {
		return slices.Contains(p.CrashedIncarnations, death)
	})
	if len(kept.CrashedIncarnations) == 0 {
		delete(s.suspects, p.Digest)
	}
}

func (s *CrashTracker) capacity() int {
	if s.MaxSuspects <= 0 {
		return defaultCapacity
	}
	return s.MaxSuspects
}

func (s *CrashTracker) term() time.Duration {
	if s.SuspicionDuration <= 0 {
		return defaultTerm
	}
	return s.SuspicionDuration
}

// before reports whether p is given up before q.
func (p *Suspect) before(q *Suspect) bool {
	if len(p.CrashedIncarnations) != len(q.CrashedIncarnations) {
		return len(p.CrashedIncarnations) < len(q.CrashedIncarnations)
	}
	if !p.ExpiresAt.Equal(q.ExpiresAt) {
		return p.ExpiresAt.Before(q.ExpiresAt)
	}
	return slices.Compare(p.Digest[:], q.Digest[:]) < 0
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxDeaths)]
}
