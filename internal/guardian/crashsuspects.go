package guardian

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/suspecter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// crashesToIsolate and crashesToRefuse are the numbers of crashes from which a request
	// runs only while no other such request does, and from which it is refused. A single
	// crash is mostly no fault of the requests that ran at that time, so it restricts none.
	crashesToIsolate = 2
	crashesToRefuse  = 3
	// crashProbeTimeout bounds the connection attempt by which a crash is detected.
	crashProbeTimeout = 200 * time.Millisecond
	// isolatedRetryAfter is how long a caller should wait while another suspect runs.
	isolatedRetryAfter = time.Second
)

type (
	// crashSuspects keeps requests that crash backend servers away from this one. It is safe
	// for concurrent use.
	crashSuspects struct {
		clock timekeeper.Clock

		mu      sync.Mutex
		tracker suspecter.CrashTracker
		lastID  uint64
		// local holds the suspects that this node must store: they ran when its own
		// backend server crashed.
		local map[suspecter.Digest]struct{}

		// probing is held during a probe, and probedAt is when the last one ended.
		probing  sync.Mutex
		probedAt time.Time
	}
)

func newCrashSuspects(clock timekeeper.Clock) *crashSuspects {
	return &crashSuspects{clock: clock, local: map[suspecter.Digest]struct{}{}, tracker: suspecter.CrashTracker{CrashesToIsolate: crashesToIsolate, CrashesToRefuse: crashesToRefuse}}
}

// MergeSuspects applies suspects that another node sent, and returns those that were news.
func (g *Guardian) MergeSuspects(received []suspecter.Suspect) (news []suspecter.Suspect) {
	s := g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, p := range received {
		if s.tracker.Merge(now, p) {
			news = append(news, p)
		}
	}
	return news
}

// IsolatedSuspects returns the suspects that a node that has just started must know.
func (g *Guardian) IsolatedSuspects() []suspecter.Suspect {
	s := g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Isolated(s.clock.Now())
}

// RestoreSuspects applies suspects that were stored before this node started. local are those
// that it has stored itself.
func (g *Guardian) RestoreSuspects(local, others []suspecter.Suspect) {
	s := g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, p := range slices.Concat(others, local) {
		s.tracker.Restore(now, p)
	}
	s.addLocal(local)
}

// LocalSuspects returns those of IsolatedSuspects that ran when the backend server of this
// node crashed, sorted by digest.
func (g *Guardian) LocalSuspects() []suspecter.Suspect {
	s := g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.local, func(d suspecter.Digest, _ struct{}) bool { return !s.tracker.IsSuspect(now, d) })
	list := slices.DeleteFunc(s.tracker.Isolated(now), func(p suspecter.Suspect) bool {
		_, local := s.local[p.Digest]
		return !local
	})
	slices.SortFunc(list, func(a, b suspecter.Suspect) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return list
}

// SuspectCount returns the number of requests that ran when a backend server crashed and
// have not ended well since.
func (g *Guardian) SuspectCount() int {
	s := g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.SuspectCount()
}

// startSuspect records that a call is about to run, under an ID, or refuses it. One that is refused
// on all nodes may run as a trial if it is this node's turn.
func (g *Guardian) startSuspect(c *exchanger.Call) (id uint64, refusal *exchanger.Refusal) {
	s := g.suspects
	id, refusal = s.start(c)
	if refusal == nil || refusal.Reason != exchanger.ReasonCrashRequest {
		return id, refusal
	}
	i := suspectIdentity(c).WithDigest()
	age, allowed := s.trialAge(i)
	if !allowed || !suspecter.IsTurn(g.ServiceNodes(), g.Node, suspecter.NewDigest(i), age) || !s.startTrial(id, i) {
		return id, refusal
	}
	g.Logger.Infof("call %s runs as a trial, the same request ran when %d backend servers crashed", c.ID, crashesToRefuse)
	return id, nil
}

// trialAge returns how long a refused request may have been tried already, and whether it may be
// tried here if it is this node's turn.
func (s *crashSuspects) trialAge(i suspecter.RequestIdentity) (age time.Duration, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.TrialAge(s.clock.Now(), suspecter.NewDigest(i))
}

// startTrial records that a refused request is about to run as a trial, and reports whether it may.
func (s *crashSuspects) startTrial(id uint64, i suspecter.RequestIdentity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.StartTrial(s.clock.Now(), id, i)
}

// start records that a call is about to run, under an ID, or refuses it.
func (s *crashSuspects) start(c *exchanger.Call) (id uint64, refusal *exchanger.Refusal) {
	i := s.identity(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	verdict, timeLeft := s.tracker.Start(s.clock.Now(), s.lastID, i)
	switch verdict {
	case suspecter.VerdictRefuse:
		refusal = exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCrashRequest, "the request ran when %d backend servers crashed", crashesToRefuse)
		refusal.RetryAfter = timeLeft
	case suspecter.VerdictWait:
		refusal = exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "another request runs that is suspected to crash backend servers")
		refusal.RetryAfter = isolatedRetryAfter
	}
	return s.lastID, refusal
}

// finish records the end of a call whose connection was not lost. answered reports whether
// the server has answered it. The returned suspects must be sent to the other nodes.
func (s *crashSuspects) finish(id uint64, c *exchanger.Call, answered bool) (changed []suspecter.Suspect) {
	i := s.identity(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetIdentity(id, i)
	return s.tracker.Finish(s.clock.Now(), id, answered)
}

// recordLost records that the connection of a call was lost, and returns the time of it.
func (s *crashSuspects) recordLost(id uint64, c *exchanger.Call) time.Time {
	i := suspectIdentity(c).WithDigest()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.tracker.SetIdentity(id, i)
	s.tracker.RecordLostConnection(now, id)
	return now
}

// recordCrash makes suspects of the calls whose connections were lost shortly before an
// incarnation of the server crashed. They must be sent to the other nodes.
func (s *crashSuspects) recordCrash(incarnation string) (changed []suspecter.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.tracker.RecordCrash(s.clock.Now(), incarnation)
	s.addLocal(changed)
	return changed
}

// startIncarnation records that another incarnation of the server runs.
func (s *crashSuspects) startIncarnation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.StartIncarnation()
}

// addLocal adds to the suspects that this node must store. The caller holds the lock.
func (s *crashSuspects) addLocal(suspects []suspecter.Suspect) {
	for _, p := range suspects {
		s.local[p.Digest] = struct{}{}
	}
}

// refused reports whether a call is refused on all nodes.
func (s *crashSuspects) refused(c *exchanger.Call) bool {
	i := s.identity(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, refused := s.tracker.RefusedFor(s.clock.Now(), i)
	return refused
}

// identity returns the identity of a call. If there are suspects, with which it is compared, its
// digest is computed, as the lock must not be held while a large body is read.
func (s *crashSuspects) identity(c *exchanger.Call) suspecter.RequestIdentity {
	s.mu.Lock()
	hasSuspects := s.tracker.SuspectCount() > 0
	s.mu.Unlock()
	i := suspectIdentity(c)
	if hasSuspects {
		return i.WithDigest()
	}
	return i
}

// finishSuspect records the end of a call for crash detection. It returns the refusal to pass
// on, which says of a crash request that it must not be tried elsewhere.
func (g *Guardian) finishSuspect(id uint64, c *exchanger.Call, r *exchanger.Refusal) *exchanger.Refusal {
	if r == nil || r.Reason != exchanger.ReasonBroken {
		g.shareSuspects(g.suspects.finish(id, c, r == nil))
		return r
	}
	g.probeForCrash(g.suspects.recordLost(id, c))
	if !g.Backend.HasLiveConn() {
		g.suspectRestart("a connection to it broke")
	}
	if !g.suspects.refused(c) {
		return r
	}
	return exchanger.Unknown(r.Status, exchanger.ReasonCrashRequest, "the request ran when %d backend servers crashed: %s", crashesToRefuse, r.Detail)
}

// probeForCrash finds out whether the server has crashed, unless that was done after lostAt.
// Connections also break while their server lives on.
func (g *Guardian) probeForCrash(lostAt time.Time) {
	s := g.suspects
	s.probing.Lock()
	defer s.probing.Unlock()
	if s.probedAt.After(lostAt) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	if err := g.Backend.Probe(ctx); err != nil {
		g.handleDialError(err)
	}
	s.probedAt = s.clock.Now()
}

// recordCrash records that an incarnation of the server has crashed, unless it has announced
// that it leaves.
func (g *Guardian) recordCrash(crashed ServerState, cause string) {
	if crashed.Phase == PhaseDraining || crashed.Phase == PhaseLeft {
		return
	}
	h := crashed.LastHeartbeat
	changed := g.suspects.recordCrash(fmt.Sprintf("%s@%d", h.ID, h.StartUnixMillis))
	if len(changed) == 0 {
		return
	}
	g.Logger.Warnf("backend server %s crashed (%s) while %d requests ran, which are suspected to have caused it", h.ID, cause, len(changed))
	g.shareSuspects(changed)
}

// shareSuspects sends suspects to the other nodes.
func (g *Guardian) shareSuspects(changed []suspecter.Suspect) {
	if len(changed) > 0 {
		g.OnSuspects(changed)
	}
}

// isConnectionRefused reports whether the server's instance runs but the server does not.
func isConnectionRefused(err error) bool {
	return errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET)
}

func suspectIdentity(c *exchanger.Call) suspecter.RequestIdentity {
	return suspecter.RequestIdentity{
		Customer:      c.Customer,
		CallerService: c.CallerService,
		Service:       c.Service,
		Route:         c.Route,
		Method:        c.Method,
		Path:          c.Target,
		Body:          c.Body,
		MoreBody:      c.MoreBody,
	}
}
