package guardian

import (
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
			s.ConfirmHealthy(epoch, "a", 0)
		}, PhaseReady, "a"},
		{"health check of another server is ignored", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, "b", 0)
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
			s.ConfirmHealthy(epoch, "a", 0)
		}, PhaseDraining, "a"},
		{"late heartbeat tells of draining", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, "a", 0)
			s.ApplyHeartbeat(epoch, ready("a", 1, 1_000_000))
			s.ApplyHeartbeat(epoch, draining("a", 1, 2))
		}, PhaseDraining, "a"},
		{"former incarnation is ignored", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("b", 2, 1))
			s.ConfirmHealthy(epoch, "b", 0)
			s.ApplyHeartbeat(epoch, draining("a", 1, 9))
		}, PhaseReady, "b"},
		{"same ID, new incarnation", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, draining("a", 1, 9))
			s.ApplyHeartbeat(epoch, ready("a", 2, 1))
		}, PhaseReady, "a"},
		{"heartbeat after departure is ignored", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, "a", 0)
			s.MarkLeft("a", 1)
			s.ApplyHeartbeat(epoch, ready("a", 1, 2))
		}, PhaseLeft, "a"},
		{"departure of a former incarnation is ignored", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 2, 1))
			s.ConfirmHealthy(epoch, "a", 0)
			s.MarkLeft("a", 1)
		}, PhaseReady, "a"},
		{"refused connection makes the state unknown", func(s *ServerState) {
			s.ApplyHeartbeat(epoch, ready("a", 1, 1))
			s.ConfirmHealthy(epoch, "a", 0)
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
