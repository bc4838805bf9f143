package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
	"github.com/flamingotack/flamingotack/internal/relayer"
)

type (
	// admission is what became of a request on arrival.
	admission struct {
		// refused tells that the server sheds the request.
		refused bool
		// concurrency counts the requests inside, this one included.
		concurrency int
		// bears is the number of requests that the server bears.
		bears int
		state recorder.ServerState
		since time.Time
		// incarnation counts the starts of the process.
		incarnation int
	}

	// condition is the state of a backend server. It has no clock.
	condition struct {
		config      BackendConfig
		random      *rand.Rand
		cold        bool
		draining    bool
		failing     float64
		fallenUntil time.Time
		inside      int
		incarnation int
		since       time.Time
		slow        float64
		warmCount   int
	}
)

func newCondition(c BackendConfig) *condition {
	return &condition{config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed+1)), slow: 1}
}

// arrive takes a request in, unless it is refused.
func (c *condition) arrive(now time.Time) admission {
	c.warm(now)
	a := admission{
		concurrency: c.inside + 1,
		bears:       c.bears(now),
		state:       c.state(),
		since:       c.since,
		incarnation: c.incarnation,
	}
	if c.cold && float64(a.concurrency) > fallOver*float64(a.bears) {
		c.fallenUntil = now.Add(c.config.Fall)
		c.since = c.fallenUntil
		c.warmCount = 0
	}
	a.refused = now.Before(c.fallenUntil) || a.concurrency > c.config.Slots+c.config.Queue
	if !a.refused {
		c.inside++
	}
	return a
}

// bears returns the number of requests at once that the server bears. While
// it is cold the number grows with time from ColdSlots towards Slots.
func (c *condition) bears(now time.Time) int {
	if !c.cold {
		return c.config.Slots
	}
	part := now.Sub(c.since).Seconds() / c.config.WarmUp.Seconds()
	part = min(max(part, 0), 1)
	return c.config.ColdSlots + int(part*float64(c.config.Slots-c.config.ColdSlots))
}

// health returns what the server truly is.
func (c *condition) health(now time.Time) relayer.Health {
	c.warm(now)
	return relayer.Health{
		Ready:    !c.draining && !now.Before(c.fallenUntil),
		Draining: c.draining,
		Cold:     c.cold,
		Load:     min(1, float64(c.inside)/float64(c.config.Slots)),
		Slots:    c.bears(now),
	}
}

func (c *condition) leave() {
	c.inside--
	c.warmCount++
}

// restart begins a new incarnation.
func (c *condition) restart(now time.Time, cold bool) {
	c.incarnation++
	c.draining = false
	c.fallenUntil = time.Time{}
	c.inside = 0
	c.turn(now, cold)
}

func (c *condition) state() recorder.ServerState {
	switch {
	case c.draining:
		return recorder.ServerStateDraining
	case c.cold:
		return recorder.ServerStateCold
	default:
		return recorder.ServerStateWarm
	}
}

func (c *condition) turn(now time.Time, cold bool) {
	c.cold = cold
	c.since = now
	c.warmCount = 0
}

// warm ends a cold start once the server has worked for long enough.
func (c *condition) warm(now time.Time) {
	if c.cold && c.warmCount >= coldServicesToWarm && now.Sub(c.since) >= c.config.WarmUp {
		c.turn(now, false)
	}
}

// work returns how long the next request keeps a slot busy and whether it
// fails then.
func (c *condition) work() (d time.Duration, fails bool) {
	factor := c.slow * math.Exp(c.random.NormFloat64()*c.config.Spread)
	if c.cold {
		factor *= c.config.ColdFactor
	}
	if over := c.inside - c.config.Slots; over > 0 {
		factor *= 1 + 0.5*float64(over)/float64(c.config.Slots)
	}
	return time.Duration(factor * float64(c.config.Time)), c.random.Float64() < c.failing
}
