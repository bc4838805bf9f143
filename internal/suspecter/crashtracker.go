// Package suspecter detects requests that crash the backend servers that run
// them. A request in flight when its server crashes becomes a suspect. A request
// that was in flight at two crashes is a crash request and is refused until the
// suspicion expires. The package reads no clock and is not safe for concurrent
// use.
package suspecter

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Decisions about a request that is about to start.
const (
	// VerdictRun lets the request run.
	VerdictRun Verdict = iota
	// VerdictWait means that another suspect is running; this one may run
	// afterwards.
	VerdictWait
	// VerdictRefuse means that the request is a crash request.
	VerdictRefuse
)

const (
	// CrashesToRefuse is the number of distinct incarnations that must crash
	// with a request in flight before the request is refused.
	CrashesToRefuse = 2
	// defaultMaxSuspects bounds the suspects; each takes about 200 bytes.
	defaultMaxSuspects = 4096
	// defaultSuspicionDuration is how long a suspicion lasts after its last
	// crash.
	defaultSuspicionDuration = 5 * time.Minute
	// lostConnectionWindow is how long after a lost connection a crash of the
	// server is attributed to the request.
	lostConnectionWindow = 2 * time.Second
	// maxCrashedIncarnations bounds the incarnations kept for each suspect.
	maxCrashedIncarnations = 4
)

type (
	// Digest identifies a request by customer, service, route, method, path,
	// query and body, so that a resend through another node is the same request.
	Digest [sha256.Size]byte

	// RequestIdentity holds the properties by which two requests are the same.
	RequestIdentity struct {
		// Customer is the name of the customer; empty for anonymous requests.
		Customer string
		// Service and Route determine the backend server.
		Service, Route string
		// Method, Path and Query are those of the request.
		Method, Path, Query string
		// Body is the complete body.
		Body []byte
	}

	// Suspect is a request that was in flight when a server crashed.
	Suspect struct {
		// Digest identifies the request.
		Digest Digest
		// CrashedIncarnations are the distinct incarnations that crashed, at
		// most four, sorted. When empty, the suspicion has ended.
		CrashedIncarnations []string
		// ExpiresAt is when the suspicion ends. A suspect that has already
		// expired retracts its CrashedIncarnations.
		ExpiresAt time.Time
	}

	// CrashTracker tracks the requests in flight and the suspects known to the
	// node.
	CrashTracker struct {
		// MaxSuspects bounds the suspects; 0 means 4096.
		MaxSuspects int
		// HoldSuspects prevents all suspects from starting.
		HoldSuspects bool
		// SuspicionDuration is how long a suspicion lasts after its last crash;
		// 0 means 5m.
		SuspicionDuration time.Duration

		// runningSuspectID is the ID of the only suspect in flight; 0 for none.
		runningSuspectID uint64
		inFlight         map[uint64]RequestIdentity
		lostRequests     []lostRequest
		suspects         map[Digest]*Suspect
	}

	// Verdict is the decision about a request.
	Verdict int

	// lostRequest is a request whose connection was lost.
	lostRequest struct {
		identity RequestIdentity
		lostAt   time.Time
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

// RetractCrash retracts the crash of an incarnation that proves to be alive. The
// returned suspects, without ExpiresAt, must be sent to the other nodes.
func (t *CrashTracker) RetractCrash(now time.Time, incarnation string) (changed []Suspect) {
	for d, p := range t.suspects {
		if !slices.Contains(p.CrashedIncarnations, incarnation) {
			continue
		}
		retraction := Suspect{Digest: d, CrashedIncarnations: []string{incarnation}}
		t.Merge(now, retraction)
		changed = append(changed, retraction)
	}
	return changed
}

// RefusedFor reports whether the request must be refused, and for how long.
func (t *CrashTracker) RefusedFor(now time.Time, i RequestIdentity) (timeLeft time.Duration, refused bool) {
	if len(t.suspects) == 0 {
		return 0, false
	}
	p := t.find(now, NewDigest(i))
	if p == nil || len(p.CrashedIncarnations) < CrashesToRefuse {
		return 0, false
	}
	return p.ExpiresAt.Sub(now), true
}

// RecordCrash records that an incarnation of the backend server crashed or
// appears to have crashed. Requests whose connection was lost shortly before
// become suspects. The returned suspects must be sent to the other nodes.
func (t *CrashTracker) RecordCrash(now time.Time, incarnation string) (changed []Suspect) {
	expiresAt := now.Add(t.suspicionDuration())
	seen := map[Digest]bool{}
	for _, l := range t.lostRequests {
		d := NewDigest(l.identity)
		if seen[d] || now.Sub(l.lostAt) > lostConnectionWindow {
			continue
		}
		seen[d] = true
		p := t.addSuspicion(now, Suspect{Digest: d, CrashedIncarnations: []string{incarnation}, ExpiresAt: expiresAt})
		changed = append(changed, p)
	}
	t.lostRequests = nil
	return changed
}

// Finish records that a request is no longer in flight. If the server survived
// it, a suspicion against the request ends; a suspect without crashed
// incarnations is then returned and must be sent to the other nodes.
func (t *CrashTracker) Finish(id uint64, serverSurvived bool) (changed []Suspect) {
	i, found := t.removeInFlight(id)
	if !found || !serverSurvived || len(t.suspects) == 0 {
		return nil
	}
	d := NewDigest(i)
	if _, suspected := t.suspects[d]; !suspected {
		return nil
	}
	delete(t.suspects, d)
	return []Suspect{{Digest: d}}
}

// RecordLostConnection records that the connection of a request was lost,
// possibly because its server crashed.
func (t *CrashTracker) RecordLostConnection(now time.Time, id uint64) {
	i, found := t.removeInFlight(id)
	if !found {
		return
	}
	t.lostRequests = slices.DeleteFunc(t.lostRequests, func(l lostRequest) bool { return now.Sub(l.lostAt) > lostConnectionWindow })
	if len(t.lostRequests) < t.maxSuspects() {
		t.lostRequests = append(t.lostRequests, lostRequest{identity: i, lostAt: now})
	}
}

// Merge applies a suspect received from another node. A suspect without crashed
// incarnations ends the suspicion; an expired one retracts its crashed
// incarnations.
func (t *CrashTracker) Merge(now time.Time, p Suspect) {
	switch {
	case len(p.CrashedIncarnations) == 0:
		delete(t.suspects, p.Digest)
	case p.ExpiresAt.After(now):
		p.ExpiresAt = earlier(p.ExpiresAt, now.Add(t.suspicionDuration()))
		t.addSuspicion(now, p)
	default:
		t.retract(p)
	}
}

// SuspectCount returns the number of suspects.
func (t *CrashTracker) SuspectCount() int {
	return len(t.suspects)
}

// Start decides whether a request may be sent to the backend server. id is
// unique among the requests in flight and not 0. With any verdict other than
// VerdictRun the request is not in flight; timeLeft is then the maximum remaining
// duration of the suspicion.
func (t *CrashTracker) Start(now time.Time, id uint64, i RequestIdentity) (v Verdict, timeLeft time.Duration) {
	if len(t.suspects) > 0 {
		v, timeLeft = t.checkSuspect(now, id, NewDigest(i))
	}
	if v != VerdictRun {
		return v, timeLeft
	}
	if t.inFlight == nil {
		t.inFlight = map[uint64]RequestIdentity{}
	}
	t.inFlight[id] = i
	return VerdictRun, 0
}

func (t *CrashTracker) find(now time.Time, d Digest) *Suspect {
	p, found := t.suspects[d]
	if !found {
		return nil
	}
	if !p.ExpiresAt.After(now) {
		delete(t.suspects, d)
		return nil
	}
	return p
}

// checkSuspect lets only one suspect run at a time, so that the next crash does
// not implicate harmless requests that became suspects together with the crash
// request.
func (t *CrashTracker) checkSuspect(now time.Time, id uint64, d Digest) (v Verdict, timeLeft time.Duration) {
	p := t.find(now, d)
	if p == nil {
		return VerdictRun, 0
	}
	timeLeft = p.ExpiresAt.Sub(now)
	if len(p.CrashedIncarnations) >= CrashesToRefuse {
		return VerdictRefuse, timeLeft
	}
	if t.runningSuspectID != 0 || t.HoldSuspects {
		return VerdictWait, timeLeft
	}
	t.runningSuspectID = id
	return VerdictRun, 0
}

// addSuspicion merges p into the suspects and returns the merged suspect.
func (t *CrashTracker) addSuspicion(now time.Time, p Suspect) Suspect {
	if t.suspects == nil {
		t.suspects = map[Digest]*Suspect{}
	}
	known := t.find(now, p.Digest)
	if known == nil {
		t.evictSuspect(now)
		known = &Suspect{Digest: p.Digest}
		t.suspects[p.Digest] = known
	}
	known.CrashedIncarnations = union(known.CrashedIncarnations, p.CrashedIncarnations)
	if p.ExpiresAt.After(known.ExpiresAt) {
		known.ExpiresAt = p.ExpiresAt
	}
	return *known
}

func (t *CrashTracker) removeInFlight(id uint64) (i RequestIdentity, found bool) {
	i, found = t.inFlight[id]
	delete(t.inFlight, id)
	if t.runningSuspectID == id {
		t.runningSuspectID = 0
	}
	return i, found
}

// evictSuspect makes room for a new suspect. It drops expired suspects or, if
// there are none, the suspect with the fewest crashed incarnations, of those the
// one that expires first.
func (t *CrashTracker) evictSuspect(now time.Time) {
	if len(t.suspects) < t.maxSuspects() {
		return
	}
	var evicted *Suspect
	for d, p := range t.suspects {
		if !p.ExpiresAt.After(now) {
			delete(t.suspects, d)
			continue
		}
		if evicted == nil || p.isEvictedBefore(evicted) {
			evicted = p
		}
	}
	if evicted != nil && len(t.suspects) >= t.maxSuspects() {
		delete(t.suspects, evicted.Digest)
	}
}

func (t *CrashTracker) retract(p Suspect) {
	known, found := t.suspects[p.Digest]
	if !found {
		return
	}
	known.CrashedIncarnations = slices.DeleteFunc(slices.Clone(known.CrashedIncarnations), func(incarnation string) bool {
		return slices.Contains(p.CrashedIncarnations, incarnation)
	})
	if len(known.CrashedIncarnations) == 0 {
		delete(t.suspects, p.Digest)
	}
}

func (t *CrashTracker) maxSuspects() int {
	if t.MaxSuspects <= 0 {
		return defaultMaxSuspects
	}
	return t.MaxSuspects
}

func (t *CrashTracker) suspicionDuration() time.Duration {
	if t.SuspicionDuration <= 0 {
		return defaultSuspicionDuration
	}
	return t.SuspicionDuration
}

// isEvictedBefore reports whether p is evicted before q.
func (p *Suspect) isEvictedBefore(q *Suspect) bool {
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
	return all[:min(len(all), maxCrashedIncarnations)]
}
