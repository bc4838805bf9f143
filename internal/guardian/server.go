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
		Born int64
		// Sequence grows with each heartbeat of an incarnation.
		Sequence int64
		// Slots is the number of requests that it runs at once.
		Slots int
		// Draining says that it is about to leave.
		Draining bool
		// Warmup is how long it stays cold.
		Warmup time.Duration
	}

	// Phase is what is known of the backend server.
	Phase int

	// Server keeps what is known of the backend server beside the node. It
	// knows no clock and is not safe for concurrent use.
	Server struct {
		// Last is the newest heartbeat of the present incarnation.
		Last Heartbeat
		// Phase never goes back from PhaseDraining or PhaseLeft within an
		// incarnation.
		Phase Phase
		// ColdUntil is when the server stops being cold.
		ColdUntil time.Time

		heard int
	}

	// Verdict is what becomes of a heartbeat.
	Verdict string
)

// What becomes of a heartbeat.
const (
	// VerdictTaken says that the heartbeat was taken.
	VerdictTaken Verdict = "taken"
	// VerdictNew says that it announced a new incarnation.
	VerdictNew Verdict = "new incarnation"
	// VerdictLeaving says that the server leaves from now on.
	VerdictLeaving Verdict = "leaving"
	// VerdictFormer says that it came from a former incarnation.
	VerdictFormer Verdict = "former incarnation"
	// VerdictLate says that a newer one of the incarnation came before.
	VerdictLate Verdict = "late"
)

// Cold reports whether the server is cold at now.
func (s *Server) Cold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// Confirm takes the result of a health check that succeeded.
func (s *Server) Confirm(now time.Time, id string, warmup time.Duration) {
	if id != s.Last.ID || s.Phase == PhaseDraining || s.Phase == PhaseLeft {
		return
	}
	s.Phase = PhaseReady
	s.warm(now, warmup)
}

// Doubt says that the server may not run as it is known, for example because
// it refuses connections.
func (s *Server) Doubt() {
	if s.Phase == PhaseReady {
		s.Phase = PhaseUnknown
		s.heard = 0
	}
}

// Leave says that the server of that id has left. born is 0 when it is not
// known which incarnation.
func (s *Server) Leave(id string, born int64) Verdict {
	if id != s.Last.ID || born != 0 && born < s.Last.Born {
		return VerdictFormer
	}
	s.Last.ID, s.Last.Born = id, max(born, s.Last.Born)
	s.Phase = PhaseLeft
	return VerdictLeaving
}

// Take takes a heartbeat.
func (s *Server) Take(now time.Time, h Heartbeat) Verdict {
	switch {
	case h.Born < s.Last.Born:
		return VerdictFormer
	case h.Born == s.Last.Born && h.ID != s.Last.ID && s.Last.ID != "":
		return VerdictFormer
	case h.Born == s.Last.Born && h.Sequence <= s.Last.Sequence && s.Last.ID != "":
		return VerdictLate
	case h.Born > s.Last.Born || s.Last.ID == "":
		return s.meet(now, h)
	}
	return s.update(now, h)
}

// meet takes the first heartbeat of an incarnation.
func (s *Server) meet(now time.Time, h Heartbeat) Verdict {
	known := s.Last.ID != ""
	s.Last = h
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
	s.warm(now, h.Warmup)
	return VerdictNew
}

// update takes a further heartbeat of the incarnation.
func (s *Server) update(now time.Time, h Heartbeat) Verdict {
	s.Last = h
	s.heard++
	leaves := h.Draining && s.Phase != PhaseDraining && s.Phase != PhaseLeft
	if leaves {
		s.Phase = PhaseDraining
		return VerdictLeaving
	}
	if s.Phase == PhaseUnknown && s.heard >= trustedHeartbeats {
		s.Phase = PhaseReady
	}
	s.warm(now, h.Warmup)
	return VerdictTaken
}

func (s *Server) warm(now time.Time, left time.Duration) {
	if left <= 0 {
		s.ColdUntil = time.Time{}
		return
	}
	s.ColdUntil = now.Add(left)
}
