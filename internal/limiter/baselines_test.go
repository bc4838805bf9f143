package limiter

import (
	"math"
	"time"
)

type (
	// aimd adds one for each round of successes and multiplies by 0.9 after
	// an overload, like AIMDLimit of Netflix's concurrency-limits.
	aimd struct {
		maxLimit float64
		limit    float64
	}

	// gradient is Gradient2 of Netflix's concurrency-limits: the limit follows
	// the ratio of long-term to current latency.
	gradient struct {
		maxLimit        float64
		limit           float64
		longTermLatency float64
		sampleCount     int
	}
)

func (a *aimd) Limit(time.Time) int {
	a.limit = max(a.limit, 1)
	return int(a.limit)
}

func (a *aimd) Observe(_ time.Time, s Sample) {
	if s.Outcome == OutcomeOverload {
		a.limit = max(1, a.limit*0.9)
		return
	}
	if float64(s.Running)*2 >= a.limit {
		a.limit = min(a.maxLimit, a.limit+1/a.limit)
	}
}

func (a *aimd) Reset(time.Time) { a.limit = 1 }

func (g *gradient) Limit(time.Time) int {
	g.limit = max(g.limit, 1)
	return int(g.limit)
}

func (g *gradient) Observe(_ time.Time, s Sample) {
	if s.Outcome == OutcomeOverload {
		g.limit = max(1, g.limit*0.9)
		return
	}
	g.sampleCount++
	latency := float64(s.Latency)
	g.longTermLatency += (latency - g.longTermLatency) / float64(min(g.sampleCount, 600))
	if g.longTermLatency/latency > 2 {
		g.longTermLatency *= 0.95
	}
	if float64(s.Running) < g.limit/2 {
		return
	}
	slope := min(1, max(0.5, 1.5*g.longTermLatency/latency))
	target := g.limit*slope + math.Sqrt(g.limit)
	g.limit = min(g.maxLimit, max(1, g.limit*0.8+target*0.2))
}

func (g *gradient) Reset(time.Time) { g.limit = 1 }
