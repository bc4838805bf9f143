package beater

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
)

// testNetwork runs one Detector for each member and delivers their heartbeats
// without delay.
type testNetwork struct {
	now       time.Time
	view      holder.View
	detectors map[string]*Detector
	// unreachable are the pairs of names that cannot reach each other. down
	// are the members that neither send nor answer.
	unreachable map[[2]string]bool
	down        map[string]bool
	evictions   []string
	sent        map[string]int
	maxSent     int
}

func newTestNetwork(domains, members int) *testNetwork {
	n := &testNetwork{
		now:         time.Unix(1000, 0),
		detectors:   map[string]*Detector{},
		unreachable: map[[2]string]bool{},
		down:        map[string]bool{},
		sent:        map[string]int{},
	}
	for d := range domains {
		for i := range members {
			n.view.Offset++
			n.view.Members = append(n.view.Members, folder.Member{
				Name:        fmt.Sprintf("d%02d-n%02d", d, i),
				Incarnation: "a",
				Domain:      fmt.Sprintf("d%02d", d),
				JoinOffset:  n.view.Offset,
			})
		}
	}
	for _, m := range n.view.Members {
		n.detectors[m.Name] = NewDetector(holder.Identity{Name: m.Name, Incarnation: "a"}, DefaultInterval)
	}
	return n
}

func (n *testNetwork) reaches(a, b string) bool {
	return !n.down[a] && !n.down[b] && !n.unreachable[[2]string{a, b}] && !n.unreachable[[2]string{b, a}]
}

// run simulates that number of intervals.
func (n *testNetwork) run(intervals int) {
	for range intervals {
		n.now = n.now.Add(DefaultInterval)
		for _, m := range slices.Clone(n.view.Members) {
			if !n.down[m.Name] {
				n.tick(m)
			}
		}
	}
}

func (n *testNetwork) tick(m folder.Member) {
	d := n.detectors[m.Name]
	d.SetView(n.now, n.view)
	targets := d.HeartbeatTargets(n.now)
	n.sent[m.Name] += len(targets)
	n.maxSent = max(n.maxSent, len(targets))
	for _, to := range targets {
		if !n.reaches(m.Name, to.Name) {
			d.RecordFailure(n.now, to.JoinOffset)
			continue
		}
		other := n.detectors[to.Name]
		other.SetView(n.now, n.view)
		other.RecordHeartbeat(n.now, m.JoinOffset, d.Suspects())
		d.RecordHeartbeat(n.now, to.JoinOffset, other.Suspects())
	}
	for _, gone := range d.ProposeEvictions(n.now, true) {
		n.evictions = append(n.evictions, gone.Name)
		n.remove(gone)
	}
}

func (n *testNetwork) remove(gone folder.Member) {
	n.view.Offset++
	n.view.Members = slices.DeleteFunc(slices.Clone(n.view.Members), func(m folder.Member) bool { return m.JoinOffset == gone.JoinOffset })
}

// delegate returns the name of the delegate of a failure domain, as the first
// member sees it.
func (n *testNetwork) delegate(domain string) string {
	d := n.detectors[n.view.Members[0].Name]
	d.SetView(n.now, n.view)
	m, _ := d.Delegate(domain)
	return m.Name
}

func TestEvictions(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(n *testNetwork)
		after int
		want  []string
	}{
		{"no member fails", func(*testNetwork) {}, 30, nil},
		{"member is silent", func(n *testNetwork) { n.down["d01-n02"] = true }, 15, []string{"d01-n02"}},
		{"delegate is silent", func(n *testNetwork) { n.down[n.delegate("d01")] = true }, 15, []string{newTestNetwork(3, 5).delegate("d01")}},
		{"two members suspect each other", func(n *testNetwork) { n.unreachable[[2]string{"d01-n02", "d01-n03"}] = true }, 60, nil},
		{"member cannot reach its delegate", func(n *testNetwork) {
			for i := range 5 {
				n.unreachable[[2]string{n.delegate("d01"), fmt.Sprintf("d01-n%02d", i)}] = i == 2
			}
		}, 60, nil},
		{"member pauses briefly", func(n *testNetwork) {
			n.down["d01-n02"] = true
			n.run(4)
			n.down["d01-n02"] = false
		}, 60, nil},
		{"member flaps", func(n *testNetwork) {
			for range 10 {
				n.down["d01-n02"] = true
				n.run(3)
				n.down["d01-n02"] = false
				n.run(3)
			}
		}, 10, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newTestNetwork(3, 5)
			n.run(5)
			tt.fail(n)
			n.run(tt.after)
			if !slices.Equal(n.evictions, tt.want) {
				t.Errorf("evicted: got %v, want %v", n.evictions, tt.want)
			}
		})
	}
}

func TestFailedDomainIsEvictedAtBoundedRate(t *testing.T) {
	n := newTestNetwork(3, 10)
	n.run(5)
	for i := range 10 {
		n.down[fmt.Sprintf("d02-n%02d", i)] = true
	}
	last := 0
	for i := range 120 {
		n.run(1)
		if got := len(n.evictions) - last; got > evictionBurst {
			t.Errorf("evictions in interval %d: got %d, want at most %d", i, got, evictionBurst)
		}
		last = len(n.evictions)
	}
	if last != 10 {
		t.Errorf("evicted: got %v, want the ten members of the failed domain", n.evictions)
	}
}

func TestMinorityEvictsNobody(t *testing.T) {
	n := newTestNetwork(1, 3)
	n.run(5)
	n.down["d00-n01"] = true
	d := n.detectors["d00-n00"]
	for range 20 {
		n.now = n.now.Add(DefaultInterval)
		d.RecordFailure(n.now, 2)
		d.RecordHeartbeat(n.now, 3, []uint64{2})
		if got := d.ProposeEvictions(n.now, false); got != nil {
			t.Fatalf("evictions without a majority: got %v, want none", got)
		}
	}
}

// TestHeartbeatCountIsBounded guards against a flood of heartbeats when a whole
// failure domain joins at once, at the design size of 420 members in 10 failure
// domains.
func TestHeartbeatCountIsBounded(t *testing.T) {
	n := newTestNetwork(10, 42)
	all := n.view.Members
	n.view.Members = all[:378]
	n.run(10)
	n.view = holder.View{Offset: n.view.Offset + 1, Members: all}
	clear(n.sent)
	n.maxSent = 0
	n.run(10)
	total := 0
	for _, sent := range n.sent {
		total += sent
	}
	if got, most := float64(total)/420/10, 3.0; got > most {
		t.Errorf("heartbeats per node and interval: got %.2f, want at most %.0f", got, most)
	}
	if most := 9 + 2 + maxProbes; n.maxSent > most {
		t.Errorf("most heartbeats of one node in an interval: got %d, want at most %d", n.maxSent, most)
	}
	if len(n.evictions) > 0 {
		t.Errorf("evicted: got %v, want none", n.evictions)
	}
}

func TestForeignStampsAreInvalid(t *testing.T) {
	now := time.Unix(1000, 0)
	s, other := newStamper(now), newStamper(now)
	later := now.Add(3 * time.Second)
	got, valid := s.timeOf(later, s.stamp(now.Add(time.Second)))
	if want := now.Add(time.Second); !valid || !got.Equal(want) {
		t.Errorf("own stamp: got %v, %v, want %v", got, valid, want)
	}
	for name, stamp := range map[string]uint64{"from another process": other.stamp(later), "from the future": s.stamp(later.Add(1)) + 1, "zero": 0} {
		if _, valid := s.timeOf(later, stamp); valid {
			t.Errorf("stamp %s: got valid, want invalid", name)
		}
	}
	if _, valid := s.timeOf(now.Add(maxEchoAge+time.Second), s.stamp(now)); valid {
		t.Error("stale stamp: got valid, want invalid")
	}
}

func TestChooseOffer(t *testing.T) {
	offer := func(address string, offset uint64, digest byte) *stateOffer {
		return &stateOffer{address: address, state: &folder.State{Offset: offset}, digest: [32]byte{digest}}
	}
	tests := []struct {
		name        string
		offers      []*stateOffer
		allowSingle bool
		want        string
		err         bool
	}{
		{"no offers", nil, true, "", false},
		{"two peers agree", []*stateOffer{offer("a", 5, 1), offer("b", 5, 1)}, false, "a", false},
		{"single offer too early", []*stateOffer{offer("a", 5, 1)}, false, "", false},
		{"single offer allowed", []*stateOffer{offer("a", 5, 1)}, true, "a", false},
		{"newest of two offers", []*stateOffer{offer("a", 5, 1), offer("b", 6, 2)}, true, "b", false},
		{"different states of one offset", []*stateOffer{offer("a", 5, 1), offer("b", 5, 2)}, true, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := chooseOffer(tt.offers, tt.allowSingle)
			if (err != nil) != tt.err {
				t.Fatalf("error: got %v, want %v", err, tt.err)
			}
			address := ""
			if got != nil {
				address = got.address
			}
			if address != tt.want {
				t.Errorf("address of the chosen offer: got %q, want %q", address, tt.want)
			}
		})
	}
}
