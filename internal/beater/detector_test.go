package beater

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
)

// network runs one Detector for each member and carries their heartbeats,
// without delay.
type network struct {
	now       time.Time
	view      holder.View
	detectors map[string]*Detector
	// cut tells which pairs of names can't reach each other; down, which
	// members are silent.
	cut       map[[2]string]bool
	down      map[string]bool
	evictions []string
	sent      map[string]int
	most      int
}

func newNetwork(domains, members int) *network {
	n := &network{
		now:       time.Unix(1000, 0),
		detectors: map[string]*Detector{},
		cut:       map[[2]string]bool{},
		down:      map[string]bool{},
		sent:      map[string]int{},
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

func (n *network) reaches(a, b string) bool {
	return !n.down[a] && !n.down[b] && !n.cut[[2]string{a, b}] && !n.cut[[2]string{b, a}]
}

// run lets so many intervals pass.
func (n *network) run(intervals int) {
	for range intervals {
		n.now = n.now.Add(DefaultInterval)
		for _, m := range slices.Clone(n.view.Members) {
			if !n.down[m.Name] {
				n.tick(m)
			}
		}
	}
}

func (n *network) tick(m folder.Member) {
	d := n.detectors[m.Name]
	d.SetView(n.now, n.view)
	targets := d.HeartbeatTargets(n.now)
	n.sent[m.Name] += len(targets)
	n.most = max(n.most, len(targets))
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

func (n *network) remove(gone folder.Member) {
	n.view.Offset++
	n.view.Members = slices.DeleteFunc(slices.Clone(n.view.Members), func(m folder.Member) bool { return m.JoinOffset == gone.JoinOffset })
}

// delegate returns the delegate of a failure domain.
func (n *network) delegate(domain string) string {
	d := n.detectors[n.view.Members[0].Name]
	d.SetView(n.now, n.view)
	m, _ := d.Delegate(domain)
	return m.Name
}

func TestEvictions(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(n *network)
		after int
		want  []string
	}{
		{"nobody fails", func(*network) {}, 30, nil},
		{"a member is silent", func(n *network) { n.down["d01-n02"] = true }, 15, []string{"d01-n02"}},
		{"a delegate is silent", func(n *network) { n.down[n.delegate("d01")] = true }, 15, []string{newNetwork(3, 5).delegate("d01")}},
		{"two suspect each other", func(n *network) { n.cut[[2]string{"d01-n02", "d01-n03"}] = true }, 60, nil},
		{"a member can't reach its delegate", func(n *network) {
			for i := range 5 {
				n.cut[[2]string{n.delegate("d01"), fmt.Sprintf("d01-n%02d", i)}] = i == 2
			}
		}, 60, nil},
		{"a member pauses shortly", func(n *network) {
			n.down["d01-n02"] = true
			n.run(4)
			n.down["d01-n02"] = false
		}, 60, nil},
		{"a member flaps", func(n *network) {
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
			n := newNetwork(3, 5)
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
	n := newNetwork(3, 10)
	n.run(5)
	for i := range 10 {
		n.down[fmt.Sprintf("d02-n%02d", i)] = true
	}
	last := 0
	for i := range 120 {
		n.run(1)
		if got := len(n.evictions) - last; got > evictBurst {
			t.Errorf("evictions in interval %d: got %d, want at most %d", i, got, evictBurst)
		}
		last = len(n.evictions)
	}
	if last != 10 {
		t.Errorf("evicted: got %v, want the ten of the lost failure domain", n.evictions)
	}
}

func TestMinorityEvictsNobody(t *testing.T) {
	n := newNetwork(1, 3)
	n.run(5)
	n.down["d00-n01"] = true
	d := n.detectors["d00-n00"]
	for range 20 {
		n.now = n.now.Add(DefaultInterval)
		d.RecordFailure(n.now, 2)
		d.RecordHeartbeat(n.now, 3, []uint64{2})
		if got := d.ProposeEvictions(n.now, false); got != nil {
			t.Fatalf("got %v, want none", got)
		}
	}
}

// TestMessagesAreBounded lets a whole failure domain join at once, at the size
// that the design is for.
func TestHeartbeatCountIsBounded(t *testing.T) {
	n := newNetwork(10, 42)
	all := n.view.Members
	n.view.Members = all[:378]
	n.run(10)
	n.view = holder.View{Offset: n.view.Offset + 1, Members: all}
	clear(n.sent)
	n.most = 0
	n.run(10)
	total := 0
	for _, sent := range n.sent {
		total += sent
	}
	if got, most := float64(total)/420/10, 3.0; got > most {
		t.Errorf("heartbeats of a node in an interval: got %.2f, want at most %.0f", got, most)
	}
	if most := 9 + 2 + maxProbes; n.most > most {
		t.Errorf("heartbeats of a delegate in an interval: got %d, want at most %d", n.most, most)
	}
	if len(n.evictions) > 0 {
		t.Errorf("evicted: got %v, want none", n.evictions)
	}
}

func TestForeignStampsAreInvalid(t *testing.T) {
	now := time.Unix(1000, 0)
	s, other := newStamper(now), newStamper(now)
	later := now.Add(3 * time.Second)
	got, valid := s.time(later, s.stamp(now.Add(time.Second)))
	if want := now.Add(time.Second); !valid || !got.Equal(want) {
		t.Errorf("own stamp: got %v, %v, want %v", got, valid, want)
	}
	for name, stamp := range map[string]uint64{"of another process": other.stamp(later), "of the future": s.stamp(later.Add(1)) + 1, "none": 0} {
		if _, valid := s.time(later, stamp); valid {
			t.Errorf("stamp %s: got valid, want refused", name)
		}
	}
	if _, valid := s.time(now.Add(maxEcho+time.Second), s.stamp(now)); valid {
		t.Error("stale stamp: got valid, want refused")
	}
}

func TestChooseState(t *testing.T) {
	offer := func(address string, offset uint64, digest byte) *candidate {
		return &candidate{address: address, state: &folder.State{Offset: offset}, digest: [32]byte{digest}}
	}
	tests := []struct {
		name   string
		offers []*candidate
		lone   bool
		want   string
		err    bool
	}{
		{"none", nil, true, "", false},
		{"two agree", []*candidate{offer("a", 5, 1), offer("b", 5, 1)}, false, "a", false},
		{"alone is too early", []*candidate{offer("a", 5, 1)}, false, "", false},
		{"alone", []*candidate{offer("a", 5, 1)}, true, "a", false},
		{"newest", []*candidate{offer("a", 5, 1), offer("b", 6, 2)}, true, "b", false},
		{"they differ", []*candidate{offer("a", 5, 1), offer("b", 5, 2)}, true, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := choose(tt.offers, tt.lone)
			if (err != nil) != tt.err {
				t.Fatalf("error: got %v, want %v", err, tt.err)
			}
			address := ""
			if got != nil {
				address = got.address
			}
			if address != tt.want {
				t.Errorf("state of: got %q, want %q", address, tt.want)
			}
		})
	}
}
