package limiter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simulatedSlots         = 100
	simulatedServiceTime   = 20 * time.Millisecond
	simulatedDuration      = 40 * time.Second
	simulatedCrashDuration = 500 * time.Millisecond
)

type (
	// simulatedServer is a backend server in virtual time under constant demand.
	simulatedServer struct {
		// capacity is the number of requests that run at full speed.
		capacity func(at time.Duration) int
		// slowdown multiplies the service time.
		slowdown func(at time.Duration) float64
		// overloadBehavior is the reaction to a request above capacity: "crash",
		// "shed" or "share".
		overloadBehavior string

		elapsed   time.Duration
		running   int
		downUntil time.Duration
		random    *rand.Rand
		pending   requestHeap
	}

	// pendingRequest is a running request and its scheduled end.
	pendingRequest struct {
		endsAt    time.Duration
		startedAt time.Duration
		outcome   Outcome
	}

	requestHeap []pendingRequest

	// result counts requests.
	result struct {
		successes    int
		failures     int
		overCapacity int
		started      int
	}
)

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(pendingRequest)) }
func (h *requestHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// start starts a request and reports whether it exceeds the capacity.
func (s *simulatedServer) start() (overCapacity bool) {
	s.running++
	capacity := s.capacity(s.elapsed)
	overCapacity = s.running > capacity
	latency := time.Duration(float64(simulatedServiceTime) * s.slowdown(s.elapsed) * (0.5 + s.random.ExpFloat64()/2))
	outcome := OutcomeSuccess
	switch {
	case s.elapsed < s.downUntil:
		outcome, latency = OutcomeOverload, time.Millisecond
	case overCapacity && s.overloadBehavior == "crash":
		s.downUntil = s.elapsed + simulatedCrashDuration
		for i := range s.pending {
			s.pending[i].outcome = OutcomeOverload
		}
		outcome, latency = OutcomeOverload, time.Millisecond
	case overCapacity && s.overloadBehavior == "shed":
		outcome, latency = OutcomeOverload, time.Millisecond
	case overCapacity && s.overloadBehavior == "share":
		latency = latency * time.Duration(s.running) / time.Duration(capacity)
	}
	heap.Push(&s.pending, pendingRequest{endsAt: s.elapsed + latency, startedAt: s.elapsed, outcome: outcome})
	return overCapacity
}

// run keeps the server as busy as the limiter allows until virtual time duration.
func (s *simulatedServer) run(l *Limiter[Policy], duration time.Duration) (r result) {
	for s.elapsed < duration {
		for l.Acquire(epoch.Add(s.elapsed)) {
			r.started++
			if s.start() {
				r.overCapacity++
			}
		}
		if len(s.pending) == 0 {
			s.elapsed += time.Millisecond
			continue
		}
		e := heap.Pop(&s.pending).(pendingRequest)
		s.elapsed = e.endsAt
		s.running--
		l.Release(epoch.Add(s.elapsed), Sample{ResidenceTime: s.elapsed - e.startedAt, Latency: s.elapsed - e.startedAt, Outcome: e.outcome})
		if e.outcome == OutcomeSuccess {
			r.successes++
		} else {
			r.failures++
		}
	}
	return r
}

// BenchmarkLimiter reports the goodput as a fraction of what the server could deliver,
// and the fractions of its requests that failed or exceeded its capacity.
func BenchmarkLimiter(b *testing.B) {
	fullCapacity := func(time.Duration) int { return simulatedSlots }
	constantSpeed := func(time.Duration) float64 { return 1 }
	capacityDrop := func(at time.Duration) int {
		if at > simulatedDuration/4 && at < simulatedDuration*3/4 {
			return simulatedSlots / 10
		}
		return simulatedSlots
	}
	capacityRamp := func(at time.Duration) int {
		return simulatedSlots/10 + int(float64(simulatedSlots)*0.9*min(1, at.Seconds()/5))
	}
	slowdown := func(at time.Duration) float64 {
		if at > simulatedDuration/4 && at < simulatedDuration*3/4 {
			return 5
		}
		return 1
	}
	tests := []struct {
		name             string
		capacity         func(time.Duration) int
		slowdown         func(time.Duration) float64
		overloadBehavior string
		unknownSlots     bool
	}{
		{"steady", fullCapacity, constantSpeed, "shed", false},
		{"slows", fullCapacity, slowdown, "shed", false},
		{"unknown-slots-shed", fullCapacity, constantSpeed, "shed", true},
		{"unknown-slots-share", fullCapacity, constantSpeed, "share", true},
		{"cold-start-shed", capacityRamp, constantSpeed, "shed", false},
		{"cold-start-crash", capacityRamp, constantSpeed, "crash", false},
		{"cold-start-share", capacityRamp, constantSpeed, "share", false},
		{"cold-again-shed", capacityDrop, constantSpeed, "shed", false},
		{"cold-again-crash", capacityDrop, constantSpeed, "crash", false},
		{"cold-again-share", capacityDrop, constantSpeed, "share", false},
	}
	policies := []struct {
		name string
		make func(maxLimit int) Policy
	}{
		{"fixed", func(int) Policy { return Fixed(simulatedSlots) }},
		{"aimd", func(n int) Policy { return &aimd{maxLimit: float64(n)} }},
		{"gradient", func(n int) Policy { return &gradient{maxLimit: float64(n)} }},
		{"adaptive", func(n int) Policy { return &Adaptive{MaxLimit: n} }},
	}
	for _, tt := range tests {
		for _, p := range policies {
			b.Run(fmt.Sprintf("%s/%s", tt.name, p.name), func(b *testing.B) {
				maxLimit := simulatedSlots
				if tt.unknownSlots {
					maxLimit = defaultMaxLimit
				}
				var sum result
				for i := range b.N {
					s := &simulatedServer{capacity: tt.capacity, slowdown: tt.slowdown, overloadBehavior: tt.overloadBehavior, random: rand.New(rand.NewPCG(1, uint64(i)))}
					r := s.run(&Limiter[Policy]{Policy: p.make(maxLimit)}, simulatedDuration)
					sum.successes += r.successes
					sum.failures += r.failures
					sum.overCapacity += r.overCapacity
					sum.started += r.started
				}
				b.ReportMetric(float64(sum.successes)/(maxServed(tt.capacity, tt.slowdown)*float64(b.N)), "goodput")
				b.ReportMetric(float64(sum.failures)/float64(sum.started), "failed")
				b.ReportMetric(float64(sum.overCapacity)/float64(sum.started), "above")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// maxServed returns the number of requests that a perfect limit would serve.
func maxServed(capacity func(time.Duration) int, slowdown func(time.Duration) float64) (sum float64) {
	const step = time.Millisecond
	for at := time.Duration(0); at < simulatedDuration; at += step {
		sum += float64(capacity(at)) / slowdown(at) * float64(step) / float64(simulatedServiceTime)
	}
	return sum
}
