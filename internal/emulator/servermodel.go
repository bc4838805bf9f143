package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
	"github.com/flamingotack/flamingotack/internal/relayer"
)

type (
	// admission is the decision on a request on its arrival.
	admission struct {
		// refused reports whether the server refuses the request.
		refused bool
		// concurrency is the number of requests in flight, including this one.
		concurrency int
		// capacity is the number of requests that the server can serve at
		// once.
		capacity   int
		state      recorder.ServerState
		stateSince time.Time
		// incarnation is the number of starts of the process.
		incarnation int
	}

	// serverModel models the load and health of a backend server. It has no
	// clock; callers pass the time.
	serverModel struct {
		config           BackendConfig
		random           *rand.Rand
		cold             bool
		draining         bool
		failureFraction  float64
		collapsedUntil   time.Time
		inFlight         int
		incarnation      int
		stateSince       time.Time
		slowdown         float64
		completedInState int
	}
)

func newServerModel(c BackendConfig) *serverModel {
	return &serverModel{config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed+1)), slowdown: 1}
}

// arrive admits a request or refuses it. A cold server that gets more than
// collapseFactor times its capacity collapses: it refuses all requests for
// CollapseTime and its cold start begins again.
func (c *serverModel) arrive(now time.Time) admission {
	c.updateWarmup(now)
	a := admission{
		concurrency: c.inFlight + 1,
		capacity:    c.capacity(now),
		state:       c.serverState(),
		stateSince:  c.stateSince,
		incarnation: c.incarnation,
	}
	if c.cold && float64(a.concurrency) > collapseFactor*float64(a.capacity) {
		c.collapsedUntil = now.Add(c.config.CollapseTime)
		c.stateSince = c.collapsedUntil
		c.completedInState = 0
	}
	a.refused = now.Before(c.collapsedUntil) || a.concurrency > c.config.Slots+c.config.QueueCapacity
	if !a.refused {
		c.inFlight++
	}
	return a
}

// capacity returns the number of requests that the server can serve at once.
// While the server is cold, it grows linearly from ColdSlots to Slots within
// WarmupTime.
func (c *serverModel) capacity(now time.Time) int {
	if !c.cold {
		return c.config.Slots
	}
	fraction := now.Sub(c.stateSince).Seconds() / c.config.WarmupTime.Seconds()
	fraction = min(max(fraction, 0), 1)
	return c.config.ColdSlots + int(fraction*float64(c.config.Slots-c.config.ColdSlots))
}

// health returns the true health of the server.
func (c *serverModel) health(now time.Time) relayer.Health {
	c.updateWarmup(now)
	return relayer.Health{
		Ready:        !c.draining && !now.Before(c.collapsedUntil),
		Draining:     c.draining,
		Cold:         c.cold,
		LoadFraction: min(1, float64(c.inFlight)/float64(c.config.Slots)),
		Slots:        c.capacity(now),
	}
}

func (c *serverModel) finishRequest() {
	c.inFlight--
	c.completedInState++
}

// startIncarnation resets the state for a new incarnation.
func (c *serverModel) startIncarnation(now time.Time, cold bool) {
	c.incarnation++
	c.draining = false
	c.collapsedUntil = time.Time{}
	c.inFlight = 0
	c.setCold(now, cold)
}

func (c *serverModel) serverState() recorder.ServerState {
	switch {
	case c.draining:
		return recorder.ServerStateDraining
	case c.cold:
		return recorder.ServerStateCold
	default:
		return recorder.ServerStateWarm
	}
}

func (c *serverModel) setCold(now time.Time, cold bool) {
	c.cold = cold
	c.stateSince = now
	c.completedInState = 0
}

// updateWarmup ends a cold start after WarmupTime and warmupRequestCount
// finished requests.
func (c *serverModel) updateWarmup(now time.Time) {
	if c.cold && c.completedInState >= warmupRequestCount && now.Sub(c.stateSince) >= c.config.WarmupTime {
		c.setCold(now, false)
	}
}

// nextServiceTime returns how long the next request occupies a slot and
// whether it fails afterwards.
func (c *serverModel) nextServiceTime() (serviceTime time.Duration, fails bool) {
	factor := c.slowdown * math.Exp(c.random.NormFloat64()*c.config.ServiceTimeLogStdDev)
	if c.cold {
		factor *= c.config.ColdSlowdown
	}
	if excess := c.inFlight - c.config.Slots; excess > 0 {
		factor *= 1 + 0.5*float64(excess)/float64(c.config.Slots)
	}
	return time.Duration(factor * float64(c.config.MedianServiceTime)), c.random.Float64() < c.failureFraction
}
