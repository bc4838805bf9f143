package limiter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	modelSlots   = 100
	modelService = 20 * time.Millisecond
	modelStep    = 40 * time.Second
	modelDown    = 500 * time.Millisecond
)

type (
	// model is a backend server in virtual time that always has demand.
	model struct {
		// bears is the number of requests that run at full speed.
		bears func(at time.Duration) int
		// slow multiplies the service time.
		slow func(at time.Duration) float64
		// overload is what happens to a request above bears.
		overload string

		now     time.Duration
		running int
		down    time.Duration
		random  *rand.Rand
		ends    endings
	}

	ending struct {
		at      time.Duration
		started time.Duration
		outcome Outcome
	}

	endings []ending

	result struct {
		good  int
		bad   int
		above int
		start int
	}
)

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// start begins one request and reports whether it was above what is borne.
func (m *model) start() (above bool) {
	m.running++
	bears := m.bears(m.now)
	above = m.running > bears
	latency := time.Duration(float64(modelService) * m.slow(m.now) * (0.5 + m.random.ExpFloat64()/2))
	outcome := OutcomeSuccess
	switch {
	case m.now < m.down:
		outcome, latency = OutcomeOverload, time.Millisecond
	case above && m.overload == "crash":
		m.down = m.now + modelDown
		for i := range m.ends {
			m.ends[i].outcome = OutcomeOverload
		}
		outcome, latency = OutcomeOverload, time.Millisecond
	case above && m.overload == "shed":
		outcome, latency = OutcomeOverload, time.Millisecond
	case above && m.overload == "share":
		latency = latency * time.Duration(m.running) / time.Duration(bears)
	}
	heap.Push(&m.ends, ending{at: m.now + latency, started: m.now, outcome: outcome})
	return above
}

// run keeps the server as busy as the limiter allows for a time.
func (m *model) run(l *Limiter[Policy], length time.Duration) (r result) {
	for m.now < length {
		for l.Acquire(epoch.Add(m.now)) {
			r.start++
			if m.start() {
				r.above++
			}
		}
		if len(m.ends) == 0 {
			m.now += time.Millisecond
			continue
		}
		e := heap.Pop(&m.ends).(ending)
		m.now = e.at
		m.running--
		l.Release(epoch.Add(m.now), Sample{ResidenceTime: m.now - e.started, Latency: m.now - e.started, Outcome: e.outcome})
		if e.outcome == OutcomeSuccess {
			r.good++
		} else {
			r.bad++
		}
	}
	return r
}

// BenchmarkLimiter reports the goodput in parts of what the server could do,
// and the parts of its requests that failed or came above what it bears.
func BenchmarkLimiter(b *testing.B) {
	full := func(time.Duration) int { return modelSlots }
	even := func(time.Duration) float64 { return 1 }
	half := func(at time.Duration) int {
		if at > modelStep/4 && at < modelStep*3/4 {
			return modelSlots / 10
		}
		return modelSlots
	}
	ramp := func(at time.Duration) int {
		return modelSlots/10 + int(float64(modelSlots)*0.9*min(1, at.Seconds()/5))
	}
	slow := func(at time.Duration) float64 {
		if at > modelStep/4 && at < modelStep*3/4 {
			return 5
		}
		return 1
	}
	tests := []struct {
		name     string
		bears    func(time.Duration) int
		slow     func(time.Duration) float64
		overload string
		unknown  bool
	}{
		{"steady", full, even, "shed", false},
		{"slows", full, slow, "shed", false},
		{"unknown-slots-shed", full, even, "shed", true},
		{"unknown-slots-share", full, even, "share", true},
		{"cold-start-shed", ramp, even, "shed", false},
		{"cold-start-crash", ramp, even, "crash", false},
		{"cold-start-share", ramp, even, "share", false},
		{"cold-again-shed", half, even, "shed", false},
		{"cold-again-crash", half, even, "crash", false},
		{"cold-again-share", half, even, "share", false},
	}
	policies := []struct {
		name string
		make func(highest int) Policy
	}{
		{"fixed", func(int) Policy { return Fixed(modelSlots) }},
		{"aimd", func(n int) Policy { return &aimd{highest: float64(n)} }},
		{"gradient", func(n int) Policy { return &gradient{highest: float64(n)} }},
		{"adaptive", func(n int) Policy { return &Adaptive{MaxLimit: n} }},
	}
	for _, tt := range tests {
		for _, p := range policies {
			b.Run(fmt.Sprintf("%s/%s", tt.name, p.name), func(b *testing.B) {
				highest := modelSlots
				if tt.unknown {
					highest = defaultMax
				}
				var sum result
				for i := range b.N {
					m := &model{bears: tt.bears, slow: tt.slow, overload: tt.overload, random: rand.New(rand.NewPCG(1, uint64(i)))}
					r := m.run(&Limiter[Policy]{Policy: p.make(highest)}, modelStep)
					sum.good += r.good
					sum.bad += r.bad
					sum.above += r.above
					sum.start += r.start
				}
				b.ReportMetric(float64(sum.good)/(possible(tt.bears, tt.slow)*float64(b.N)), "goodput")
				b.ReportMetric(float64(sum.bad)/float64(sum.start), "failed")
				b.ReportMetric(float64(sum.above)/float64(sum.start), "above")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// possible returns the number of requests that a perfect limit would serve.
func possible(bears func(time.Duration) int, slow func(time.Duration) float64) (sum float64) {
	const step = time.Millisecond
	for at := time.Duration(0); at < modelStep; at += step {
		sum += float64(bears(at)) / slow(at) * float64(step) / float64(modelService)
	}
	return sum
}
