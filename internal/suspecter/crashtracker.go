// Package suspecter detects requests that crash the backend servers that run
// them. A request in flight when its server crashes becomes a suspect. A request
// that was in flight at several crashes is a crash request and is refused until the
// suspicion expires. The package reads no clock and is not safe for concurrent
// use.
package suspecter

import (
	"cmp"
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
	// CrashesToRefuse is the default number of distinct incarnations that must crash
	// with a request in flight before the request is refused.
	CrashesToRefuse = 2
	// defaultCrashesToIsolate is the default number of them before it runs only while
	// no other suspect does.
	defaultCrashesToIsolate = 1
	// defaultMaxSuspects bounds the suspects; each takes about 200 bytes.
	defaultMaxSuspects = 4096
	// defaultSuspicionDuration is how long a suspicion lasts after its last
	// crash.
	defaultSuspicionDuration = 5 * time.Minute
	// lostConnectionWindow is how long after a lost connection a crash of the
	// server is attributed to the request.
	lostConnectionWindow = 2 * time.Second
	// maxCrashedIncarnations bounds the incarnations kept for each suspect. It is greater
	// than any number from which requests are refused and their trials together.
	maxCrashedIncarnations = 8
)

type (
	// Suspect is a request that was in flight when a server crashed.
	Suspect struct {
		// Digest identifies the request.
		Digest Digest
		// CrashedIncarnations are the distinct incarnations that crashed, at
		// most maxCrashedIncarnations, sorted.
		CrashedIncarnations []string
		// ExpiresAt is when the suspicion ends. A suspect that has already
		// expired retracts its CrashedIncarnations.
		ExpiresAt time.Time
		// LateCrashes is the number of crashes, at different times, since the request is
		// refused, up to maxTrials.
		LateCrashes int
	}

	// CrashTracker tracks the requests in flight and the suspects known to the
	// node.
	CrashTracker struct {
		// MaxSuspects bounds the suspects; 0 means 4096.
		MaxSuspects int
		// CrashesToIsolate and CrashesToRefuse are the numbers of crashed incarnations
		// from which a suspect runs only while no other one of those does, and from
		// which it is refused; 0 means 1 and 2.
		CrashesToIsolate, CrashesToRefuse int
		// HoldSuspects prevents all suspects from starting.
		HoldSuspects bool
		// SuspicionDuration is how long a suspicion lasts after its last crash;
		// 0 means 5m.
		SuspicionDuration time.Duration

		// runningSuspectID is the ID of the only isolated suspect in flight; 0 for none.
		runningSuspectID uint64
		inFlight         map[uint64]RequestIdentity
		lostRequests     []lostRequest
		suspects         map[Digest]*suspicion
		// answered holds requests that the present incarnation of the server has answered.
		answered answeredCache
		// retracted holds the crashes of which requests are not suspected any more,
		// until the suspicions would have expired. Other nodes may still report them.
		retracted map[Digest]*suspicion
	}

	// Verdict is the decision about a request.
	Verdict int

	// lostRequest is a request whose connection was lost. It does not hold the body.
	lostRequest struct {
		digest Digest
		// answered says that the incarnation had answered the same request before.
		answered bool
		lostAt   time.Time
	}
)

// SetIdentity replaces the identity of a request in flight by the same one with its digest.
func (t *CrashTracker) SetIdentity(id uint64, i RequestIdentity) {
	if _, found := t.inFlight[id]; found {
		t.inFlight[id] = i
	}
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
	if p == nil || len(p.CrashedIncarnations) < t.crashesToRefuse() {
		return 0, false
	}
	return p.ExpiresAt.Sub(now), true
}

// RecordCrash records that an incarnation of the backend server crashed or
// appears to have crashed. Requests whose connection was lost shortly before
// become suspects, but for those that the incarnation had answered before. The returned
// suspects must be sent to the other nodes.
func (t *CrashTracker) RecordCrash(now time.Time, incarnation string) (changed []Suspect) {
	expiresAt := now.Add(t.suspicionDuration())
	seen := map[Digest]bool{}
	for _, l := range t.lostRequests {
		d := l.digest
		if seen[d] || l.answered || now.Sub(l.lostAt) > lostConnectionWindow {
			continue
		}
		seen[d] = true
		if p := t.addSuspicion(now, Suspect{Digest: d, CrashedIncarnations: []string{incarnation}, ExpiresAt: expiresAt}); p != nil {
			changed = append(changed, p.Suspect)
		}
	}
	t.lostRequests = nil
	return changed
}

// Finish records that a request is no longer in flight. If the server survived
// it, a suspicion against the request ends. If the request was isolated, the retraction is
// then returned and must be sent to the other nodes.
func (t *CrashTracker) Finish(now time.Time, id uint64, serverSurvived bool) (changed []Suspect) {
	i, found := t.removeInFlight(id)
	if !found || !serverSurvived {
		return nil
	}
	t.answered.add(i)
	if len(t.suspects) == 0 {
		return nil
	}
	d := NewDigest(i)
	p, suspected := t.suspects[d]
	if !suspected {
		return nil
	}
	retraction := Suspect{Digest: d, CrashedIncarnations: p.CrashedIncarnations}
	t.retract(now, retraction)
	if len(retraction.CrashedIncarnations) < t.crashesToIsolate() {
		return nil
	}
	return []Suspect{retraction}
}

// StartIncarnation records that another incarnation of the backend server runs. It may not bear
// what earlier ones have answered.
func (t *CrashTracker) StartIncarnation() {
	t.answered.clear()
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
		t.lostRequests = append(t.lostRequests, lostRequest{digest: NewDigest(i), answered: t.answered.contains(fingerprint(i)), lostAt: now})
	}
}

// Merge applies a suspect received from another node. One that has expired retracts its
// crashed incarnations. Merge reports whether it was news. Each crash is news at most once,
// and so is its retraction, so that nodes may pass news on.
func (t *CrashTracker) Merge(now time.Time, p Suspect) (isNews bool) {
	if !p.ExpiresAt.After(now) {
		return t.retract(now, p)
	}
	var before Suspect
	if known := t.suspects[p.Digest]; known != nil {
		before = known.Suspect
	}
	p.ExpiresAt = earlier(p.ExpiresAt, now.Add(t.suspicionDuration()))
	known := t.addSuspicion(now, p)
	return known != nil && (len(known.CrashedIncarnations) > len(before.CrashedIncarnations) || known.LateCrashes > before.LateCrashes)
}

// Restore applies a suspect that was stored before this process started.
func (t *CrashTracker) Restore(now time.Time, p Suspect) {
	lateCrashes := min(maxTrials, p.LateCrashes)
	if known := t.find(now, p.Digest); known != nil {
		lateCrashes = max(lateCrashes, known.LateCrashes)
	}
	t.Merge(now, p)
	if known := t.suspects[p.Digest]; known != nil {
		known.trialsFrom = now.Add(restoredTrialDelay)
		known.LateCrashes = lateCrashes
	}
}

// Isolated returns the suspects that run alone or are refused.
func (t *CrashTracker) Isolated(now time.Time) (suspects []Suspect) {
	for _, p := range t.suspects {
		if len(p.CrashedIncarnations) >= t.crashesToIsolate() && p.ExpiresAt.After(now) {
			suspects = append(suspects, p.Suspect)
		}
	}
	return suspects
}

// IsSuspect reports whether the request with that digest is suspected.
func (t *CrashTracker) IsSuspect(now time.Time, d Digest) bool {
	return t.find(now, d) != nil
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
	t.addInFlight(id, i)
	return VerdictRun, 0
}

func (t *CrashTracker) addInFlight(id uint64, i RequestIdentity) {
	if t.inFlight == nil {
		t.inFlight = map[uint64]RequestIdentity{}
	}
	t.inFlight[id] = i
}

func (t *CrashTracker) find(now time.Time, d Digest) *suspicion {
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

// checkSuspect lets only one isolated suspect run at a time, so that the next crash does
// not implicate harmless requests that became suspects together with the crash
// request.
func (t *CrashTracker) checkSuspect(now time.Time, id uint64, d Digest) (v Verdict, timeLeft time.Duration) {
	p := t.find(now, d)
	if p == nil {
		return VerdictRun, 0
	}
	timeLeft = p.ExpiresAt.Sub(now)
	if len(p.CrashedIncarnations) >= t.crashesToRefuse() {
		return VerdictRefuse, timeLeft
	}
	if len(p.CrashedIncarnations) < t.crashesToIsolate() {
		return VerdictRun, 0
	}
	if t.runningSuspectID != 0 || t.HoldSuspects {
		return VerdictWait, timeLeft
	}
	t.runningSuspectID = id
	return VerdictRun, 0
}

// addSuspicion merges p into the suspects and returns the merged suspect; nil if all crashes
// of p have been retracted.
func (t *CrashTracker) addSuspicion(now time.Time, p Suspect) *suspicion {
	if t.suspects == nil {
		t.suspects = map[Digest]*suspicion{}
	}
	if r := t.retracted[p.Digest]; r != nil {
		p.CrashedIncarnations = without(p.CrashedIncarnations, r.CrashedIncarnations)
	}
	if len(p.CrashedIncarnations) == 0 {
		return nil
	}
	known := t.find(now, p.Digest)
	if known == nil {
		evictSuspect(now, t.suspects, t.maxSuspects())
		known = &suspicion{Suspect: Suspect{Digest: p.Digest}}
		// How many of the crashes are late ones is not known; all that may be count.
		known.LateCrashes = min(maxTrials, max(0, len(p.CrashedIncarnations)-t.crashesToRefuse()))
		t.suspects[p.Digest] = known
	} else if len(known.CrashedIncarnations) >= t.crashesToRefuse() && p.ExpiresAt.Sub(known.ExpiresAt) > jointCrashTime {
		known.LateCrashes = min(maxTrials, known.LateCrashes+1)
	}
	known.CrashedIncarnations = union(known.CrashedIncarnations, p.CrashedIncarnations)
	if p.ExpiresAt.After(known.ExpiresAt) {
		known.ExpiresAt = p.ExpiresAt
	}
	return known
}

func (t *CrashTracker) removeInFlight(id uint64) (i RequestIdentity, found bool) {
	i, found = t.inFlight[id]
	delete(t.inFlight, id)
	if t.runningSuspectID == id {
		t.runningSuspectID = 0
	}
	return i, found
}

// evictSuspect makes room for a new suspect if there are maxSuspects. It drops expired
// suspects or, if there are none, the suspect with the fewest crashed incarnations, of
// those the one that expires first.
func evictSuspect(now time.Time, suspects map[Digest]*suspicion, maxSuspects int) {
	if len(suspects) < maxSuspects {
		return
	}
	var evicted *suspicion
	for d, p := range suspects {
		if !p.ExpiresAt.After(now) {
			delete(suspects, d)
			continue
		}
		if evicted == nil || p.isEvictedBefore(&evicted.Suspect) {
			evicted = p
		}
	}
	if evicted != nil && len(suspects) >= maxSuspects {
		delete(suspects, evicted.Digest)
	}
}

// retract removes the crashes of p from what is known of the request, for good. It reports
// whether that was not known.
func (t *CrashTracker) retract(now time.Time, p Suspect) (isNews bool) {
	if known := t.suspects[p.Digest]; known != nil {
		known.CrashedIncarnations = without(known.CrashedIncarnations, p.CrashedIncarnations)
		if len(known.CrashedIncarnations) == 0 {
			delete(t.suspects, p.Digest)
		}
	}
	if t.retracted == nil {
		t.retracted = map[Digest]*suspicion{}
	}
	r := t.retracted[p.Digest]
	if r == nil {
		evictSuspect(now, t.retracted, t.maxSuspects())
		r = &suspicion{Suspect: Suspect{Digest: p.Digest}}
		t.retracted[p.Digest] = r
	}
	before := crashCount(r)
	r.CrashedIncarnations = union(r.CrashedIncarnations, p.CrashedIncarnations)
	r.ExpiresAt = now.Add(t.suspicionDuration())
	return crashCount(r) > before
}

// crashCount returns the number of crashed incarnations that are known of a suspect, which
// may be nil.
func crashCount(p *suspicion) int {
	if p == nil {
		return 0
	}
	return len(p.CrashedIncarnations)
}

// without returns the elements of a that are not in b.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}

func (t *CrashTracker) crashesToIsolate() int {
	return cmp.Or(max(0, t.CrashesToIsolate), defaultCrashesToIsolate)
}

func (t *CrashTracker) crashesToRefuse() int {
	return cmp.Or(max(0, t.CrashesToRefuse), CrashesToRefuse)
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
