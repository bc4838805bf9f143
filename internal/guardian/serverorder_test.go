package guardian

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Run(m, seeder.FlagDefault{Name: "rapid.checks", Value: "5000"})
}

type (
	// serverLife is the life of one incarnation of a backend server.
	serverLife struct {
		id                string
		start, leave, end time.Duration
		// leaving is the message with which it leaves.
		leaving string
	}

	// serverEvent is what a node sees at a time since the epoch.
	serverEvent struct {
		at    time.Duration
		apply func(n *serverNode)
	}

	// serverNode is a node with what has happened to it.
	serverNode struct {
		state ServerState
		// acknowledged holds the starts of the incarnations whose leaving was
		// acknowledged, by the node or by a process before it.
		acknowledged map[int64]bool
	}
)

// millis returns the time of day at a time since the epoch, in milliseconds.
func millis(at time.Duration) int64 {
	return epoch.Add(at).UnixMilli()
}

// drawLives draws incarnations that follow each other at one address. The last one stays.
func drawLives(t *rapid.T) (lives []serverLife) {
	var at time.Duration
	count := rapid.IntRange(1, 5).Draw(t, "count")
	for i := range count {
		life := serverLife{
			id:      rapid.SampledFrom([]string{"a", fmt.Sprint("b", i)}).Draw(t, "id"),
			start:   at + time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause"))*time.Millisecond,
			leaving: rapid.SampledFrom([]string{"draining", "departure", "departure without start", "crash"}).Draw(t, "leaving"),
		}
		life.leave = life.start + time.Duration(rapid.IntRange(1, 9000).Draw(t, "life"))*time.Millisecond
		life.end = life.leave + time.Duration(rapid.IntRange(1, 9000).Draw(t, "rest"))*time.Millisecond
		if i == count-1 {
			life.leaving, life.leave, life.end = "", time.Hour, life.start+time.Minute
		}
		lives = append(lives, life)
		at = life.end
	}
	return lives
}

// livingServer returns the incarnation that lives at a time, or the zero value.
func livingServer(lives []serverLife, at time.Duration) serverLife {
	for _, l := range lives {
		if l.start <= at && at <= l.end {
			return l
		}
	}
	return serverLife{}
}

// drawEvents draws when the node gets the messages of an incarnation and checks its health.
func (l serverLife) drawEvents(t *rapid.T) (events []serverEvent) {
	delay := func(most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, "delay")) * time.Millisecond
	}
	// Late heartbeats mostly come together.
	least := rapid.SampledFrom([]int{0, 0, 3000, 6000}).Draw(t, "least")
	sequence := int64(0)
	for at := l.start; at < min(l.leave, l.end); at += 1500 * time.Millisecond {
		sequence++
		h := Heartbeat{ID: l.id, StartUnixMillis: millis(l.start), Sequence: sequence, Slots: 8}
		arrivesAt := at + time.Duration(least)*time.Millisecond + delay(int(maxHeartbeatDelay.Milliseconds())-1-least)
		events = append(events, serverEvent{arrivesAt, func(n *serverNode) { n.state.ApplyHeartbeat(epoch.Add(arrivesAt), h) }})
		checkedAt := at + delay(1400)
		if checkedAt < l.leave {
			events = append(events, serverEvent{checkedAt, func(n *serverNode) { n.state.ConfirmHealthy(epoch.Add(checkedAt), epoch.Add(checkedAt), l.id, 0) }})
		}
	}
	// A server waits for the answer to its departure.
	leaveAt := min(l.end, l.leave+delay(900))
	switch l.leaving {
	case "draining":
		h := Heartbeat{ID: l.id, StartUnixMillis: millis(l.start), Sequence: sequence + 1, Slots: 8, Draining: true}
		events = append(events, serverEvent{leaveAt, func(n *serverNode) {
			n.state.ApplyHeartbeat(epoch.Add(leaveAt), h)
			n.acknowledged[h.StartUnixMillis] = true
		}})
	case "departure", "departure without start":
		start := millis(l.start)
		if l.leaving == "departure without start" {
			start = 0
		}
		events = append(events, serverEvent{leaveAt, func(n *serverNode) {
			n.state.MarkLeft(epoch.Add(leaveAt), l.id, start)
			n.acknowledged[millis(l.start)] = true
		}})
	}
	return events
}

// TestServerOrders draws the lives of servers at one address, late messages of them, refused
// connections and restarts of the node, and guards against a server that is in use although its
// leaving was acknowledged, and against a sound one that stays out of use.
func TestServerOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lives := drawLives(t)
		last := lives[len(lives)-1]
		var events []serverEvent
		for _, l := range lives {
			events = append(events, l.drawEvents(t)...)
		}
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, int(last.start.Milliseconds())).Draw(t, "at")) * time.Millisecond
			restart := rapid.Bool().Draw(t, "restart")
			events = append(events, serverEvent{at, func(n *serverNode) {
				if restart {
					n.state = ServerState{HeartbeatsTrustedFrom: epoch.Add(at + maxHeartbeatDelay)}
				} else {
					n.state.MarkUnknown()
				}
			}})
		}
		slices.SortStableFunc(events, func(a, b serverEvent) int { return cmp.Compare(a.at, b.at) })
		n := &serverNode{state: ServerState{HeartbeatsTrustedFrom: epoch.Add(maxHeartbeatDelay)}, acknowledged: map[int64]bool{}}
		for _, e := range events {
			e.apply(n)
			if l := livingServer(lives, e.at); n.state.Phase == PhaseReady && n.state.LastHeartbeat.ID == l.id && n.acknowledged[millis(l.start)] {
				t.Fatalf("server %s, started at %s, is in use at %s, want it left", l.id, l.start, e.at)
			}
		}
		if h := n.state.LastHeartbeat; n.state.Phase != PhaseReady || h.StartUnixMillis != millis(last.start) {
			t.Fatalf("got phase %d of server %s at the end, want %s ready", n.state.Phase, h.ID, last.id)
		}
	})
}
