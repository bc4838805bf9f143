package guardian

import (
	"time"
)

// What is known of the backend server.
const (
	// PhaseUnknown says that it has not announced itself, or that its state
	// is in doubt until a health check confirms it.
	PhaseUnknown Phase = iota
	// PhaseReady says that it takes requests.
	PhaseReady
	// PhaseDraining says that it leaves and takes no new ones.
	PhaseDraining
	// PhaseLeft says that it has left.
	PhaseLeft
)

const (
	// trustedHeartbeats is the number of heartbeats in a row, without a
	// health check that succeeds, after which a server is trusted.
	trustedHeartbeats = 3
)

type (
	// Heartbeat is what the backend server tells about itself.
	Heartbeat struct {
		// ID names the server.
		ID string
		// Born is when this incarnation started, in milliseconds since 1970.
		StartUnixMillis int64
		// Sequence grows with each heartbeat of an incarnation.
		Sequence int64
		// Slots is the number of requests that it runs at once.
		Slots int
		// Draining says that it is about to leave.
		Draining bool
		// Warmup is how long it stays cold.
		WarmupRemaining time.Duration
	}

	// Phase is what is known of the backend server.
	Phase int

	// Server keeps what is known of the backend server beside the node. It
	// knows no clock and is not safe for concurrent use.
	ServerState struct {
		// Last is the newest heartbeat of the present incarnation.
		LastHeartbeat Heartbeat
		// Phase never goes back from PhaseDraining or PhaseLeft within an
		// incarnation.
		Phase Phase
		// ColdUntil is when the server stops being cold.
		ColdUntil time.Time

		heard int
	}

	// Verdict is what becomes of a heartbeat.
	HeartbeatOutcome string
)

// What becomes of a heartbeat.
const (
	// VerdictTaken says that the heartbeat was taken.
	HeartbeatAccepted HeartbeatOutcome = "taken"
	// VerdictNew says that it announced a new incarnation.
	HeartbeatNewIncarnation HeartbeatOutcome = "new incarnation"
	// VerdictLeaving says that the server leaves from now on.
	HeartbeatLeaving HeartbeatOutcome = "leaving"
	// VerdictFormer says that it came from a former incarnation.
	HeartbeatFormerIncarnation HeartbeatOutcome = "former incarnation"
	// VerdictLate says that a newer one of the incarnation came before.
	HeartbeatLate HeartbeatOutcome = "late"
)

// Cold reports whether the server is cold at now.
func (s *ServerState) IsCold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// Confirm takes the result of a health check that succeeded.
func (s *ServerState) ConfirmHealthy(now time.Time, id string, warmup time.Duration) {
	if id != s.LastHeartbeat.ID || s.Phase == PhaseDraining || s.Phase == PhaseLeft {
		return
	}
	s.Phase = PhaseReady
	s.warm(now, warmup)
}

// Doubt says that the server may not run as it is known, for example because
// it refuses connections.
func (s *ServerState) MarkUnknown() {
	if s.Phase == PhaseReady {
		s.Phase = PhaseUnknown
		s.heard = 0
	}
}

// Leave says that the server of that id has left. born is 0 when it is not
// known which incarnation.
func (s *ServerState) MarkLeft(id string, born int64) HeartbeatOutcome {
	if id != s.LastHeartbeat.ID || born != 0 && born < s.LastHeartbeat.StartUnixMillis {
		return HeartbeatFormerIncarnation
	}
	s.LastHeartbeat.ID, s.LastHeartbeat.StartUnixMillis = id, max(born, s.LastHeartbeat.StartUnixMillis)
	s.Phase = PhaseLeft
	return HeartbeatLeaving
}

// Take takes a heartbeat.
func (s *ServerState) ApplyHeartbeat(now time.Time, h Heartbeat) HeartbeatOutcome {
	switch {
	case h.StartUnixMillis < s.LastHeartbeat.StartUnixMillis:
		return HeartbeatFormerIncarnation
	case h.StartUnixMillis == s.LastHeartbeat.StartUnixMillis && h.ID != s.LastHeartbeat.ID && s.LastHeartbeat.ID != "":
		return HeartbeatFormerIncarnation
	case h.StartUnixMillis == s.LastHeartbeat.StartUnixMillis && h.Sequence <= s.LastHeartbeat.Sequence && s.LastHeartbeat.ID != "":
		return HeartbeatLate
	case h.StartUnixMillis > s.LastHeartbeat.StartUnixMillis || s.LastHeartbeat.ID == "":
		return s.meet(now, h)
	}
	return s.update(now, h)
}

// meet takes the first heartbeat of an incarnation.
func (s *ServerState) meet(now time.Time, h Heartbeat) HeartbeatOutcome {
	known := s.LastHeartbeat.ID != ""
	s.LastHeartbeat = h
	s.heard = 1
	s.Phase = PhaseUnknown
	s.ColdUntil = time.Time{}
	if known {
		// A younger incarnation than one that was seen: this is no late
		// heartbeat of a server that was replaced.
		s.Phase = PhaseReady
	}
	if h.Draining {
		s.Phase = PhaseDraining
	}
	s.warm(now, h.WarmupRemaining)
	return HeartbeatNewIncarnation
}

// update takes a further heartbeat of the incarnation.
func (s *ServerState) update(now time.Time, h Heartbeat) HeartbeatOutcome {
	s.LastHeartbeat = h
	s.heard++
	leaves := h.Draining && s.Phase != PhaseDraining && s.Phase != PhaseLeft
	if leaves {
		s.Phase = PhaseDraining
		return HeartbeatLeaving
	}
	if s.Phase == PhaseUnknown && s.heard >= trustedHeartbeats {
		s.Phase = PhaseReady
	}
	s.warm(now, h.WarmupRemaining)
	return HeartbeatAccepted
}

func (s *ServerState) warm(now time.Time, left time.Duration) {
	if left <= 0 {
		s.ColdUntil = time.Time{}
		return
	}
	s.ColdUntil = now.Add(left)
}
