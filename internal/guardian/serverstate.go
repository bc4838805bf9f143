package guardian

import (
	"time"
)

// The phases of the backend server.
const (
	// PhaseUnknown means that the server has not announced itself, or that a
	// health check must confirm its state.
	PhaseUnknown Phase = iota
	// PhaseReady means that the server accepts requests.
	PhaseReady
	// PhaseDraining means that the server is leaving and accepts no new requests.
	PhaseDraining
	// PhaseLeft means that the server has left.
	PhaseLeft
)

const (
	// minTrustedHeartbeats is the number of heartbeats in a row after which a
	// server counts as ready without a successful health check, and after which
	// sequences below the last one are those of the server.
	minTrustedHeartbeats = 3
	// maxHeartbeatDelay is how late a heartbeat may arrive.
	maxHeartbeatDelay = 10 * time.Second
	// MaxWarmup is the longest warm-up that a heartbeat may tell.
	MaxWarmup = time.Hour
	// unresolvedWarmup is how long a server counts as cold at least if it may have started anew.
	// It is longer than the time between two health checks.
	unresolvedWarmup = 3 * time.Second
	// maxWarmupDifference is how much earlier a heartbeat may end the warm-up than the last
	// health check without being disputed. Answers take that long to arrive.
	maxWarmupDifference = 500 * time.Millisecond
)

type (
	// Heartbeat is a status message of the backend server.
	Heartbeat struct {
		// ID identifies the server.
		ID string
		// StartUnixMillis is when this incarnation started, in milliseconds since
		// the Unix epoch.
		StartUnixMillis int64
		// Sequence increases with each heartbeat of an incarnation.
		Sequence int64
		// Slots is the number of requests that the server runs concurrently.
		Slots int
		// Version is the version of the server's software.
		Version string
		// Draining reports whether the server is about to leave.
		Draining bool
		// WarmupRemaining is how long the server stays cold.
		WarmupRemaining time.Duration
	}

	// Phase is the availability of the backend server.
	Phase int

	// ServerState tracks the node's local backend server. It reads no clock: its
	// methods get the current time. It is not safe for concurrent use.
	ServerState struct {
		// LastHeartbeat is the newest heartbeat of the current incarnation.
		LastHeartbeat Heartbeat
		// Phase never goes back from PhaseDraining or PhaseLeft within an
		// incarnation.
		Phase Phase
		// ColdUntil is when the server's warm-up ends. It is not before checkedColdUntil.
		ColdUntil time.Time
		// HeartbeatsTrustedFrom is the time before which no heartbeat marks a server as ready
		// without a health check. A process that has just started does not know which
		// departures an earlier one has acknowledged, and late heartbeats do not tell them.
		HeartbeatsTrustedFrom time.Time

		// departures are the departures that may be of incarnations that have sent no
		// heartbeat yet.
		departures departures
		// checkedColdUntil is when the warm-up ends that the last health check of a server
		// with this ID told. A heartbeat does not say when it was sent, so none ends the
		// warm-up earlier.
		checkedColdUntil time.Time
		// restartSuspected is set while the server may have started anew since its last
		// heartbeat, restartUnresolved once a health check has not told whether it has.
		restartSuspected, restartUnresolved bool
		// warmupDisputed is set once a heartbeat told a warm-up that ends much earlier than
		// checkedColdUntil, until the next health check.
		warmupDisputed bool
		// heartbeatAt is when LastHeartbeat was received.
		heartbeatAt time.Time
		// unconfirmedHeartbeats counts the heartbeats since the incarnation
		// started or its state became unknown.
		unconfirmedHeartbeats int
		// lateHeartbeats counts the late heartbeats in a row whose sequences increase,
		// and lateSequence is the last of those.
		lateHeartbeats int
		lateSequence   int64
	}

	// HeartbeatOutcome is the effect of a heartbeat.
	HeartbeatOutcome string
)

// The outcomes of a heartbeat.
const (
	// HeartbeatAccepted means that the heartbeat updated the state.
	HeartbeatAccepted HeartbeatOutcome = "taken"
	// HeartbeatNewIncarnation means that it announced a new incarnation.
	HeartbeatNewIncarnation HeartbeatOutcome = "new incarnation"
	// HeartbeatLeaving means that the server has started to leave.
	HeartbeatLeaving HeartbeatOutcome = "leaving"
	// HeartbeatLeftEarly means that a server has started to leave of which no heartbeat has
	// been received.
	HeartbeatLeftEarly HeartbeatOutcome = "leaving before its first heartbeat"
	// HeartbeatFormerIncarnation means that it came from a former incarnation and
	// was ignored.
	HeartbeatFormerIncarnation HeartbeatOutcome = "former incarnation"
	// HeartbeatLate means that a newer heartbeat of the incarnation had already
	// arrived and that this one was ignored.
	HeartbeatLate HeartbeatOutcome = "late"
)

// IsCold reports whether the server is warming up at now.
func (s *ServerState) IsCold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// Leaving reports whether the server is leaving or has left, also if it has sent no heartbeat.
func (s *ServerState) Leaving() bool {
	switch s.Phase {
	case PhaseDraining, PhaseLeft:
		return true
	case PhaseUnknown:
		return s.departures.anyAfter(s.LastHeartbeat.StartUnixMillis)
	default:
		return false
	}
}

// NeedsCheck reports whether only a health check can tell whether the server accepts requests,
// or until when it is cold.
func (s *ServerState) NeedsCheck(now time.Time) bool {
	disputed := s.restartSuspected || s.warmupDisputed && now.Before(s.checkedColdUntil)
	return s.LastHeartbeat.ID != "" && (s.Phase == PhaseUnknown || s.Phase == PhaseReady && disputed)
}

// ConfirmHealthy applies a successful health check, which was sent at sentAt and marks the
// server as ready. It does nothing if the check reached another server or if the server is
// leaving.
func (s *ServerState) ConfirmHealthy(sentAt, now time.Time, id string, warmup time.Duration) {
	if id != s.LastHeartbeat.ID || s.Phase == PhaseDraining || s.Phase == PhaseLeft {
		return
	}
	s.Phase = PhaseReady
	s.applyCheckedWarmup(sentAt, now, warmup)
}

// ConfirmWarmup applies a health check that has reached the server and tells its warm-up, whether
// it calls the server healthy or not.
func (s *ServerState) ConfirmWarmup(sentAt, now time.Time, id string, warmup time.Duration) {
	if id == s.LastHeartbeat.ID && s.Phase == PhaseReady {
		s.applyCheckedWarmup(sentAt, now, warmup)
	}
}

func (s *ServerState) applyCheckedWarmup(sentAt, now time.Time, warmup time.Duration) {
	s.warmupDisputed = false
	s.endSuspicion()
	s.checkedColdUntil = coldUntil(now, warmup)
	if s.heartbeatAt.Before(sentAt) || s.checkedColdUntil.After(s.ColdUntil) {
		// Otherwise the heartbeat may be the later word.
		s.ColdUntil = s.checkedColdUntil
	}
}

// SuspectRestart records that a ready server may have started anew, which only a health check or
// several heartbeats can tell. It reports whether that is news.
func (s *ServerState) SuspectRestart() (isNews bool) {
	if s.Phase != PhaseReady || s.restartSuspected {
		return false
	}
	s.restartSuspected = true
	s.unconfirmedHeartbeats = 0
	return true
}

// LeaveRestartUnresolved records that no health check has told soon whether the server has started
// anew. It then counts as cold until one does.
func (s *ServerState) LeaveRestartUnresolved() {
	s.restartUnresolved = s.restartSuspected
}

// AwaitsCheck reports whether calls should wait for a health check, as the server may have started
// anew.
func (s *ServerState) AwaitsCheck() bool {
	return s.restartSuspected && !s.restartUnresolved
}

// PacedUntil returns until when the server gets calls at the rate of a cold one.
func (s *ServerState) PacedUntil(now time.Time) time.Time {
	if unresolved := now.Add(unresolvedWarmup); s.restartUnresolved && unresolved.After(s.ColdUntil) {
		return unresolved
	}
	return s.ColdUntil
}

func (s *ServerState) endSuspicion() {
	s.restartSuspected, s.restartUnresolved = false, false
}

// MarkUnknown makes a ready server need confirmation, for example because it refuses
// connections.
func (s *ServerState) MarkUnknown() {
	if s.Phase == PhaseReady {
		s.Phase = PhaseUnknown
		s.unconfirmedHeartbeats = 0
		s.endSuspicion()
	}
}

// MarkLeft records that the server with that ID has left, also if it is an incarnation that has
// sent no heartbeat yet. It ignores the departure of a former incarnation. startUnixMillis is 0 if
// the incarnation is not known; the departure then binds all that have started by now.
func (s *ServerState) MarkLeft(now time.Time, id string, startUnixMillis int64) HeartbeatOutcome {
	startsThrough := startUnixMillis
	if startUnixMillis == 0 {
		startsThrough = now.UnixMilli()
	}
	if s.LastHeartbeat.ID != "" && startsThrough < s.LastHeartbeat.StartUnixMillis {
		return HeartbeatFormerIncarnation
	}
	s.departures.add(departure{id: id, startsThrough: startsThrough})
	if id == s.LastHeartbeat.ID {
		s.LastHeartbeat.StartUnixMillis = max(startUnixMillis, s.LastHeartbeat.StartUnixMillis)
		s.Phase = PhaseLeft
		return HeartbeatLeaving
	}
	if startUnixMillis > s.LastHeartbeat.StartUnixMillis {
		// The server that is known has been replaced.
		s.MarkUnknown()
	}
	return HeartbeatLeftEarly
}

// ApplyHeartbeat updates the state from a heartbeat, unless the heartbeat is late or
// comes from a former incarnation. A server that drains goes on draining, so a late heartbeat
// tells that too.
func (s *ServerState) ApplyHeartbeat(now time.Time, h Heartbeat) HeartbeatOutcome {
	switch {
	case h.StartUnixMillis < s.LastHeartbeat.StartUnixMillis:
		return HeartbeatFormerIncarnation
	case h.StartUnixMillis == s.LastHeartbeat.StartUnixMillis && h.ID != s.LastHeartbeat.ID && s.LastHeartbeat.ID != "":
		return HeartbeatFormerIncarnation
	case h.StartUnixMillis == s.LastHeartbeat.StartUnixMillis && h.Sequence <= s.LastHeartbeat.Sequence && s.LastHeartbeat.ID != "":
		return s.applyLate(now, h)
	case h.StartUnixMillis > s.LastHeartbeat.StartUnixMillis || s.LastHeartbeat.ID == "":
		return s.startIncarnation(now, h)
	}
	return s.updateIncarnation(now, h)
}

// applyLate applies a heartbeat whose sequence is not above the last one. If several follow
// each other, the last one was not of the server, and they are those of the server.
func (s *ServerState) applyLate(now time.Time, h Heartbeat) HeartbeatOutcome {
	if h.Sequence <= s.lateSequence {
		s.lateHeartbeats = 0
	}
	s.lateHeartbeats++
	s.lateSequence = h.Sequence
	startsDraining := h.Draining && s.Phase != PhaseDraining && s.Phase != PhaseLeft
	if startsDraining || s.lateHeartbeats >= minTrustedHeartbeats {
		return s.updateIncarnation(now, h)
	}
	return HeartbeatLate
}

// startIncarnation applies the first heartbeat of an incarnation.
func (s *ServerState) startIncarnation(now time.Time, h Heartbeat) HeartbeatOutcome {
	replacesKnown := s.LastHeartbeat.ID != ""
	if h.ID != s.LastHeartbeat.ID {
		s.checkedColdUntil, s.warmupDisputed = time.Time{}, false
	}
	s.LastHeartbeat = h
	s.lateHeartbeats, s.lateSequence = 0, 0
	s.endSuspicion()
	s.unconfirmedHeartbeats = 1
	switch {
	case s.departures.covers(h):
		s.Phase = PhaseLeft
	case h.Draining:
		s.Phase = PhaseDraining
	case replacesKnown && s.trusts(now, h):
		// The incarnation is newer than the last one, so this is not a late
		// heartbeat of a server that has been replaced.
		s.Phase = PhaseReady
	default:
		s.Phase = PhaseUnknown
	}
	s.departures.prune(h.StartUnixMillis)
	s.setWarmup(now, h.WarmupRemaining)
	return HeartbeatNewIncarnation
}

// updateIncarnation applies a later heartbeat of the incarnation.
func (s *ServerState) updateIncarnation(now time.Time, h Heartbeat) HeartbeatOutcome {
	s.LastHeartbeat = h
	s.lateHeartbeats, s.lateSequence = 0, 0
	s.unconfirmedHeartbeats++
	startsDraining := h.Draining && s.Phase != PhaseDraining && s.Phase != PhaseLeft
	if startsDraining {
		s.Phase = PhaseDraining
		return HeartbeatLeaving
	}
	if s.unconfirmedHeartbeats >= minTrustedHeartbeats {
		// A server that had started anew would have told another start by now.
		s.endSuspicion()
		if s.Phase == PhaseUnknown && s.trusts(now, h) {
			s.Phase = PhaseReady
		}
	}
	s.setWarmup(now, h.WarmupRemaining)
	return HeartbeatAccepted
}

// trusts reports whether heartbeats may mark their server as ready without a health check, as no
// departure of it can have been forgotten.
func (s *ServerState) trusts(now time.Time, h Heartbeat) bool {
	return !now.Before(s.HeartbeatsTrustedFrom) && h.StartUnixMillis > s.departures.forgottenThrough
}

// setWarmup applies the warm-up that a heartbeat tells, unless it ends before that of the last
// health check. The heartbeat may then have been sent before the check.
func (s *ServerState) setWarmup(now time.Time, remaining time.Duration) {
	s.heartbeatAt = now
	s.ColdUntil = coldUntil(now, remaining)
	if s.ColdUntil.Before(s.checkedColdUntil) {
		s.warmupDisputed = s.warmupDisputed || s.checkedColdUntil.Sub(now)-max(0, remaining) > maxWarmupDifference
		s.ColdUntil = s.checkedColdUntil
	}
}

// coldUntil returns when a warm-up ends; zero if there is none.
func coldUntil(now time.Time, remaining time.Duration) time.Time {
	if remaining <= 0 {
		return time.Time{}
	}
	return now.Add(remaining)
}
