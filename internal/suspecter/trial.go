package suspecter

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// trialDelay is the time from the last crash of a refused request to its trial, and
	// restoredTrialDelay the least time from the restore of a suspect to its trial.
	trialDelay         = 5 * time.Second
	restoredTrialDelay = 8 * time.Second
	// trialTurn is how long one node may start a trial before it is the next one's turn.
	trialTurn = 2 * time.Second
	// maxTrials bounds the trials of a refused request that crash a server.
	maxTrials = 1
	// jointCrashTime is the time within which crashes count as one event.
	jointCrashTime = 2 * time.Second
)

// suspicion is what a node knows of a suspect.
type suspicion struct {
	Suspect
	// trialsFrom is the time before which a restored suspect is not tried.
	trialsFrom time.Time
	// tried says that this node has tried the request.
	tried bool
}

// TrialAge returns how long a refused request may have been tried already, and whether it may be
// tried on this node if it is its turn.
func (t *CrashTracker) TrialAge(now time.Time, d Digest) (age time.Duration, allowed bool) {
	p := t.find(now, d)
	if p == nil || len(p.CrashedIncarnations) < t.crashesToRefuse() {
		return 0, false
	}
	lastCrashAt := p.ExpiresAt.Add(-t.suspicionDuration())
	age = now.Sub(lastCrashAt) - trialDelay
	due := age >= 0 && !now.Before(p.trialsFrom)
	alone := t.runningSuspectID == 0 && !t.HoldSuspects
	return age, due && alone && p.LateCrashes < maxTrials && !p.tried
}

// StartTrial lets a refused request run as a trial and reports whether that is allowed. Like any
// isolated suspect it runs alone on this node, and its answer ends the suspicion everywhere.
func (t *CrashTracker) StartTrial(now time.Time, id uint64, i RequestIdentity) bool {
	d := NewDigest(i)
	if _, allowed := t.TrialAge(now, d); !allowed {
		return false
	}
	t.suspects[d].tried = true
	t.runningSuspectID = id
	t.addInFlight(id, i)
	return true
}

// IsTurn reports whether it is the turn of the node self to try a request that may have been tried
// for age. The nodes take turns in an order of their own for each request, so that as a rule one
// of them tries it at a time, although they agree on nothing.
func IsTurn(nodes []string, self string, d Digest, age time.Duration) bool {
	if len(nodes) == 0 || age < 0 {
		return false
	}
	rank := func(name string) uint64 { return xxh3.HashString(name + string(d[:])) }
	order := slices.SortedFunc(slices.Values(nodes), func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return order[int(age/trialTurn)%len(order)] == self
}
