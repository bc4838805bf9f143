package guardian

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

// TestHeartbeats guards against heartbeats and health checks that are late, forged or from
// former incarnations.
func TestHeartbeats(t *testing.T) {
	ready := func(id string, startMillis, sequence int64) Heartbeat {
		return Heartbeat{ID: id, StartUnixMillis: startMillis, Sequence: sequence, Slots: 8}
	}
	draining := func(id string, startMillis, sequence int64) Heartbeat {
		h := ready(id, startMillis, sequence)
		h.Draining = true
		return h
	}
	tests := []struct {
		name  string
		apply func(s *ServerState)
		want  Phase
		id    string
	}{
		{"first heartbeat requires a health check", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
		}, PhaseUnknown, "a"},
		{"health check marks the server as ready", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, epoch, "a", 0)
		}, PhaseReady, "a"},
		{"health check of another server is ignored", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, epoch, "b", 0)
		}, PhaseUnknown, "a"},
		{"three heartbeats in a row are trusted", func(s *ServerState) {
			for i := range int64(3) {
				s.ApplyHeartbeat(epoch, ready("a", 1, i+1))
			}
		}, PhaseReady, "a"},
		{"late heartbeat does not undo draining", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 4))
			s.ApplyHeartbeat(epoch, draining("a", 1, 6))
			s.ApplyHeartbeat(epoch, ready("a", 1, 5))
		}, PhaseDraining, "a"},
		{"newer heartbeat does not undo draining", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, draining("a", 1, 6))
			s.ApplyHeartbeat(epoch, ready("a", 1, 7))
			s.ConfirmHealthy(epoch, epoch, "a", 0)
		}, PhaseDraining, "a"},
		{"late heartbeat tells of draining", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, epoch, "a", 0)
			s.ApplyHeartbeat(epoch, ready("a", 1, 1_000_000))
			s.ApplyHeartbeat(epoch, draining("a", 1, 2))
		}, PhaseDraining, "a"},
		{"former incarnation is ignored", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("b", 2, 1))
			s.ConfirmHealthy(epoch, epoch, "b", 0)
			s.ApplyHeartbeat(epoch, draining("a", 1, 9))
		}, PhaseReady, "b"},
		{"same ID, new incarnation", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, draining("a", 1, 9))
			s.ApplyHeartbeat(epoch, ready("a", 2, 1))
		}, PhaseReady, "a"},
		{"heartbeat after departure is ignored", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, epoch, "a", 0)
			s.MarkLeft(epoch, "a", 1)
			s.ApplyHeartbeat(epoch, ready("a", 1, 2))
		}, PhaseLeft, "a"},
		{"departure of a former incarnation is ignored", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 2, 1))
			s.ConfirmHealthy(epoch, epoch, "a", 0)
			s.MarkLeft(epoch, "a", 1)
		}, PhaseReady, "a"},
		{"departure overtakes the first heartbeats of the next server", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, draining("a", 1, 9))
			s.MarkLeft(epoch, "b", 2)
			s.ApplyHeartbeat(epoch, ready("b", 2, 1))
			s.ConfirmHealthy(epoch, epoch, "b", 0)
		}, PhaseLeft, "b"},
		{"departure without start overtakes the first heartbeat", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, draining("a", 1, 9))
			s.MarkLeft(epoch, "b", 0)
			s.ApplyHeartbeat(epoch, ready("b", 2, 1))
		}, PhaseLeft, "b"},
		{"departure of a restarted server overtakes its first heartbeat", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 9))
			s.MarkLeft(epoch, "a", 2)
			s.ApplyHeartbeat(epoch, ready("a", 2, 1))
		}, PhaseLeft, "a"},
		{"departure without start of a restarted server overtakes its first heartbeat", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 9))
			s.MarkLeft(epoch, "a", 0)
			s.ApplyHeartbeat(epoch, ready("a", 2, 1))
		}, PhaseLeft, "a"},
		{"departure is the first message", func(s *ServerState) {
			s.MarkLeft(epoch, "a", 1)
			for i := range int64(3) {
				s.ApplyHeartbeat(epoch, ready("a", 1, i+1))
			}
		}, PhaseLeft, "a"},
		{"server starts again under its ID after a departure", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.MarkLeft(epoch, "a", 2)
			s.ApplyHeartbeat(epoch, ready("a", 2, 1))
			s.ApplyHeartbeat(epoch, ready("a", 3, 1))
		}, PhaseReady, "a"},
		{"departure of the next server makes the known one unknown", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, epoch, "a", 0)
			s.MarkLeft(epoch, "b", 2)
		}, PhaseUnknown, "a"},
		{"heartbeats right after the node's start require a health check", func(s *ServerState) {
			s.HeartbeatsTrustedFrom = epoch.Add(time.Second)
			for i := range int64(5) {
				s.ApplyHeartbeat(epoch, ready("a", 1, i+1))
			}
			s.ApplyHeartbeat(epoch, ready("b", 2, 1))
		}, PhaseUnknown, "b"},
		{"heartbeats are trusted later", func(s *ServerState) {
			s.HeartbeatsTrustedFrom = epoch.Add(time.Second)
			for i := range int64(3) {
				s.ApplyHeartbeat(epoch.Add(time.Duration(i)*time.Second), ready("a", 1, i+1))
			}
		}, PhaseReady, "a"},
		{"forgotten departure requires a health check", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, draining("a", 1, 9))
			for i := range int64(maxDepartures + 1) {
				s.MarkLeft(epoch, fmt.Sprint("b", i), 2+i)
			}
			s.ApplyHeartbeat(epoch, ready("b0", 2, 1))
		}, PhaseUnknown, "b0"},
		{"refused connection makes the state unknown", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, epoch, "a", 0)
			s.MarkUnknown()
		}, PhaseUnknown, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &ServerState{}
			tt.apply(s)
			if s.Phase != tt.want || s.LastHeartbeat.ID != tt.id {
				t.Errorf("got phase %d of server %q, want %d of %q", s.Phase, s.LastHeartbeat.ID, tt.want, tt.id)
			}
		})
	}
}

// TestSequenceFarAheadIsOutvoted guards against a server that turns cold unnoticed, because a
// heartbeat of another writer makes all of its own look late. A few delayed heartbeats do not
// replace newer ones.
func TestSequenceFarAheadIsOutvoted(t *testing.T) {
	s := &ServerState{}
	cold := func(sequence int64) Heartbeat {
		return Heartbeat{ID: "a", StartUnixMillis: 1, Sequence: sequence, Slots: 8, WarmupRemaining: time.Minute}
	}
	s.ApplyHeartbeat(epoch, cold(1))
	s.ApplyHeartbeat(epoch, Heartbeat{ID: "a", StartUnixMillis: 1, Sequence: 1_000_000, Slots: 8})
	for _, sequence := range []int64{2, 3, 3, 4} {
		if got := s.ApplyHeartbeat(epoch, cold(sequence)); got != HeartbeatLate {
			t.Errorf("sequence %d: got %s, want %s", sequence, got, HeartbeatLate)
		}
	}
	if got := s.ApplyHeartbeat(epoch, cold(5)); got != HeartbeatAccepted || !s.IsCold(epoch) || s.LastHeartbeat.Sequence != 5 {
		t.Errorf("got %s, cold %t, sequence %d after three heartbeats in a row, want %s, cold, 5", got, s.IsCold(epoch), s.LastHeartbeat.Sequence, HeartbeatAccepted)
	}
}

func TestWarmupPeriod(t *testing.T) {
	s := &ServerState{}
	s.ApplyHeartbeat(epoch, Heartbeat{ID: "a", StartUnixMillis: 1, Sequence: 1, Slots: 8, WarmupRemaining: 3 * time.Second})
	if !s.IsCold(epoch.Add(2900 * time.Millisecond)) {
		t.Error("got a warm server before the end of its warm-up, want a cold one")
	}
	s.ApplyHeartbeat(epoch.Add(time.Second), Heartbeat{ID: "a", StartUnixMillis: 1, Sequence: 2, Slots: 8})
	if s.IsCold(epoch.Add(1100 * time.Millisecond)) {
		t.Error("got a cold server after a heartbeat without warm-up, want a warm one")
	}
}

// TestLateHeartbeatDoesNotEndWarmup guards against a heartbeat that was sent before the server
// turned cold, arrives after a health check that has told so, and ends the warm-up.
func TestLateHeartbeatDoesNotEndWarmup(t *testing.T) {
	after := func(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }
	heartbeat := func(sequence int64, warmup time.Duration) Heartbeat {
		return Heartbeat{ID: "a", StartUnixMillis: 1, Sequence: sequence, Slots: 8, WarmupRemaining: warmup}
	}
	tests := []struct {
		name  string
		apply func(s *ServerState)
		// cold and check are wanted at 1 s.
		cold, check bool
	}{
		{"no heartbeat since the check", func(*ServerState) {}, true, false},
		{"heartbeat that tells less", func(s *ServerState) {
			s.ApplyHeartbeat(after(900), heartbeat(2, 0))
		}, true, true},
		{"heartbeat of a later incarnation with the same ID", func(s *ServerState) {
			s.ApplyHeartbeat(after(900), Heartbeat{ID: "a", StartUnixMillis: 2, Sequence: 1, Slots: 8})
		}, true, true},
		{"server with another ID", func(s *ServerState) {
			s.ApplyHeartbeat(after(900), Heartbeat{ID: "b", StartUnixMillis: 2, Sequence: 1, Slots: 8})
		}, false, false},
		{"heartbeat that tells nearly the same", func(s *ServerState) {
			s.ApplyHeartbeat(after(900), heartbeat(2, 1900*time.Millisecond))
		}, true, false},
		{"second check confirms the heartbeat", func(s *ServerState) {
			s.ApplyHeartbeat(after(900), heartbeat(2, 0))
			s.ConfirmHealthy(after(910), after(950), "a", 0)
		}, false, false},
		{"second check confirms the first", func(s *ServerState) {
			s.ApplyHeartbeat(after(900), heartbeat(2, 0))
			s.ConfirmHealthy(after(910), after(950), "a", 2*time.Second)
		}, true, false},
		{"heartbeat during the second check tells more", func(s *ServerState) {
			s.ApplyHeartbeat(after(920), heartbeat(2, 9*time.Second))
			s.ConfirmHealthy(after(910), after(950), "a", 0)
		}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &ServerState{}
			s.ApplyHeartbeat(epoch.Add(-time.Second), heartbeat(1, 0))
			s.ConfirmHealthy(epoch.Add(-time.Millisecond), epoch, "a", 3*time.Second)
			tt.apply(s)
			if got := s.IsCold(after(1000)); got != tt.cold {
				t.Errorf("got cold %t, want %t", got, tt.cold)
			}
			if got := s.NeedsCheck(after(1000)) && s.Phase == PhaseReady; got != tt.check {
				t.Errorf("got a disputed warm-up %t, want %t", got, tt.check)
			}
		})
	}
}
