package regulator

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

// world is a deep service with its ingress nodes: what begins at an ingress
// reaches the service later, and the service tells of it later still.
type world struct {
	now    time.Time
	nodes  []*Regulator
	random *rand.Rand
	bears  float64
	cost   float64
	// offered is the mean of the last 400 ms, as guards tell it.
	offered []float64
	step    int
}

const (
	tick = 10 * time.Millisecond
	// lag is the time from a decision until the calls reach the service.
	lag = 30
	// tell is how often guards tell their load.
	tell = 25
)

func newWorld(nodes int, bears, cost float64) *world {
	w := &world{now: epoch, random: rand.New(rand.NewPCG(1, 2)), bears: bears, cost: cost}
	for range nodes {
		w.nodes = append(w.nodes, &Regulator{NodeCount: nodes})
	}
	return w
}

// play offers demand in parts of what the service bears, with the given part of
// rank 1 and the rest of rank 5, and returns for each rank what was asked and
// admitted.
func (w *world) play(ticks int, demand, urgent float64) (asked, admitted [RankCount]float64) {
	for range ticks {
		w.now = w.now.Add(tick)
		w.step++
		begun := 0.0
		perTick := demand * w.bears / w.cost * tick.Seconds()
		for n := perTick; n > 0; n-- {
			if n < 1 && w.random.Float64() > n {
				break
			}
			rank, route := 5, "view"
			if w.random.Float64() < urgent {
				rank, route = 1, "book"
			}
			asked[rank]++
			if w.nodes[w.random.IntN(len(w.nodes))].Admit(w.now, route, rank, map[string]float64{"deep": w.cost}) {
				admitted[rank]++
				begun += w.cost / tick.Seconds()
			}
		}
		w.tell(begun)
	}
	return asked, admitted
}

func (w *world) tell(begun float64) {
	w.offered = append(w.offered, begun)
	if w.step%tell != 0 || len(w.offered) < lag+40 {
		return
	}
	sum := 0.0
	seen := w.offered[len(w.offered)-lag-40 : len(w.offered)-lag]
	for _, o := range seen {
		sum += o
	}
	for _, r := range w.nodes {
		r.ReportLoad(w.now, "deep", sum/float64(len(seen)), w.bears)
	}
}

// work returns the mean work of the last ticks in parts of what the service
// bears.
func (w *world) work(ticks int) float64 {
	sum := 0.0
	for _, o := range w.offered[len(w.offered)-ticks:] {
		sum += o
	}
	return sum / float64(ticks) / w.bears
}

// TestBurstOnASlowDeepService is a long burst of twice what the deep service
// bears: what begins comes to what it bears, and the urgent are refused last.
func TestBurstOnSlowDownstreamService(t *testing.T) {
	w := newWorld(12, 80, 0.07)
	w.play(300, 0.8, 0.2)
	if asked, admitted := w.play(100, 0.8, 0.2); admitted != asked {
		t.Errorf("got %v of %v admitted with room, want all", admitted, asked)
	}
	w.play(400, 2, 0.2)
	asked, admitted := w.play(600, 2, 0.2)
	if got := w.work(600); got < 0.85 || got > 1.1 {
		t.Errorf("got work %.2f of what the service bears, want 0.85 to 1.1", got)
	}
	if got := admitted[1] / asked[1]; got < 0.9 {
		t.Errorf("got %.2f of the urgent admitted, want at least 0.9", got)
	}
	if got := admitted[5] / asked[5]; got < 0.1 {
		t.Errorf("got %.2f of the rest admitted, want at least 0.1", got)
	}
	w.play(400, 0.7, 0.2)
	if asked, admitted := w.play(100, 0.7, 0.2); admitted != asked {
		t.Errorf("got %v of %v admitted after the burst, want all", admitted, asked)
	}
}

// TestReturnOfColdServers lets the service bear a tenth for a while, as after a
// restart of all: soon after it bears everything again, so does what begins.
func TestRecoveryFromColdServers(t *testing.T) {
	w := newWorld(12, 80, 0.07)
	w.bears = 8
	w.play(400, 9, 0.2)
	w.bears = 80
	w.play(300, 0.9, 0.2)
	w.play(300, 0.9, 0.2)
	if got := w.work(300); got < 0.8 {
		t.Errorf("got work %.2f three to six seconds after the return, want at least 0.8", got)
	}
}

// TestNoRouteStarves offers only urgent requests that fill the service, and a few
// others.
func TestNoRouteStarves(t *testing.T) {
	w := newWorld(4, 80, 0.07)
	w.play(400, 2, 0.95)
	asked, admitted := w.play(800, 2, 0.95)
	all := (admitted[1] + admitted[5]) / (asked[1] + asked[5])
	if got := admitted[5] / asked[5]; got < all/4 {
		t.Errorf("got %.2f of the less urgent admitted, want a quarter of %.2f", got, all)
	}
}

func TestRoutesWithoutOverloadedServiceAreAdmitted(t *testing.T) {
	w := newWorld(1, 80, 0.07)
	w.play(800, 3, 0.2)
	for range 100 {
		if !w.nodes[0].Admit(w.now, "download", 5, map[string]float64{"library": 0.05}) {
			t.Fatal("got a refusal, want an admission: the library is not short")
		}
	}
}

// TestServersThatWereCold is the load after a loss of power: servers that start
// cold bear a fraction of what they bear a moment later. The budgets were made
// for the cold ones and must not hold back what the warm ones bear.
func TestBudgetGrowsWhenServersWarmUp(t *testing.T) {
	const cold, warm, nodes, interval = 10, 200, 10, 50 * time.Millisecond
	r := Regulator{NodeCount: nodes}
	now := time.Unix(1000, 0)
	costs := map[string]float64{"deep": 0.1}
	for range 60 {
		now = now.Add(interval)
		r.ReportLoad(now, "deep", 10*cold, cold)
		r.Admit(now, "view", 4, costs)
	}
	if _, short := r.Budget("deep"); !short {
		t.Fatal("got no budget while servers are cold, want one")
	}
	for range 4 {
		now = now.Add(interval)
		r.ReportLoad(now, "deep", 0.1*warm, warm)
		r.Admit(now, "view", 4, costs)
	}
	budget, short := r.Budget("deep")
	if want := 0.9 * warm / nodes; short && budget < want {
		t.Errorf("got a budget of %.1f after %s, want at least %.1f", budget, 4*interval, want)
	}
}

// TestSurgeOnColdServersThatShowNoPressureYet is the load in the first moments after a
// loss of power: all that was there before comes back to cold servers that bear a
// fraction of it, and the guards have seen none of it yet. By what was offered before,
// what begins comes near what they bear from the first moment.
func TestSurgeOnColdServersBeforeLoadIsReported(t *testing.T) {
	const nodes, interval, demand = 20, 10 * time.Millisecond, 10
	costs := map[string]float64{"deep": 0.2}
	tests := []struct {
		name string
		// bears is what the servers bear, in slots.
		bears float64
		// least and most bound the part that begins in the first second.
		least, most float64
	}{
		// Cold servers of the users' deployments bear a twentieth.
		{"cold", nodes * demand * 0.2 / 20, 0.02, 0.3},
		{"warm", nodes * demand * 0.2 * 1.5, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			regulators := make([]Regulator, nodes)
			now := epoch
			asked, admitted := 0, 0
			for i := range regulators {
				regulators[i].NodeCount = nodes
				regulators[i].ExpectLoad(now, "deep", nodes*demand*0.2)
			}
			for range 100 {
				now = now.Add(interval)
				for i := range regulators {
					r := &regulators[i]
					r.ReportLoad(now, "deep", 0, tt.bears)
					if random.Float64() > demand*interval.Seconds() {
						continue
					}
					asked++
					if r.Admit(now, "view", 4, costs) {
						admitted++
					}
				}
			}
			if got := float64(admitted) / float64(asked); got < tt.least || got > tt.most {
				t.Errorf("got %.2f of %d requests begun, want %.2f to %.2f", got, asked, tt.least, tt.most)
			}
		})
	}
}

// TestUnevenLoadWithRoomIsNoSurge is a busy time at many nodes with few requests each,
// of which some take four times as long as the others, and one node whose callers send
// four times as much: what the servers bear is not reached, so that all begin.
func TestUnevenLoadBelowCapacityIsAdmitted(t *testing.T) {
	const (
		nodes, interval = 96, 10 * time.Millisecond
		demand, heavy   = 8.0, 0.1
		light, times    = 0.3, 4
		load            = 0.8
	)
	random := rand.New(rand.NewPCG(1, 2))
	bears := nodes * demand * light * (1 - heavy + heavy*times) / load
	regulators := make([]Regulator, nodes)
	now := epoch
	asked, admitted, busiest := 0, 0, 0
	for range 1000 {
		now = now.Add(interval)
		for i := range regulators {
			r := &regulators[i]
			r.NodeCount = nodes
			r.ReportLoad(now, "deep", load*bears, bears)
			here := demand
			if i == 0 {
				here *= 4
			}
			if random.Float64() > here*interval.Seconds() {
				continue
			}
			cost := light
			if random.Float64() < heavy {
				cost *= times
			}
			asked++
			switch {
			case r.Admit(now, "view", 4, map[string]float64{"deep": cost}):
				admitted++
			case i == 0:
				busiest++
			}
		}
	}
	if got := float64(admitted) / float64(asked); got < 0.999 || busiest > 0 {
		t.Errorf("got %.4f of %d requests begun, %d refused at the busiest node, want all begun", got, asked, busiest)
	}
}
