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
		capacity int
		state    recorder.ServerState
		// stateSince is when the server entered the state.
		stateSince time.Time
		// incarnation is the number of starts of the process.
		incarnation int
	}

	// serverModel models the load and health of a backend server. It has no
	// clock; callers pass the time.
	serverModel struct {
		config          BackendConfig
		random          *rand.Rand
		cold            bool
		draining        bool
		failureFraction float64
		collapsedUntil  time.Time
		inFlight        int
		incarnation     int
		stateSince      time.Time
		slowdown        float64
		// completedInState is the number of requests finished since
		// stateSince.
		completedInState int
	}
)

func newServerModel(c BackendConfig) *serverModel {
	return &serverModel{config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed+1)), slowdown: 1}
}

// arrive admits a request or refuses it. A cold server that gets more than
// collapseFactor times its capacity collapses: it refuses all requests for
// CollapseTime and its cold start begins again.
func (m *serverModel) arrive(now time.Time) admission {
	m.updateWarmup(now)
	a := admission{
		concurrency: m.inFlight + 1,
		capacity:    m.capacity(now),
		state:       m.serverState(),
		stateSince:  m.stateSince,
		incarnation: m.incarnation,
	}
	if m.cold && float64(a.concurrency) > collapseFactor*float64(a.capacity) {
		m.collapsedUntil = now.Add(m.config.CollapseTime)
		m.stateSince = m.collapsedUntil
		m.completedInState = 0
	}
	a.refused = now.Before(m.collapsedUntil) || a.concurrency > m.config.Slots+m.config.QueueCapacity
	if !a.refused {
		m.inFlight++
	}
	return a
}

// capacity returns the number of requests that the server can serve at once.
// While the server is cold, it grows linearly from ColdSlots to Slots within
// WarmupTime.
func (m *serverModel) capacity(now time.Time) int {
	if !m.cold {
		return m.config.Slots
	}
	fraction := now.Sub(m.stateSince).Seconds() / m.config.WarmupTime.Seconds()
	fraction = min(max(fraction, 0), 1)
	return m.config.ColdSlots + int(fraction*float64(m.config.Slots-m.config.ColdSlots))
}

// health returns the true health of the server.
func (m *serverModel) health(now time.Time) relayer.Health {
	m.updateWarmup(now)
	return relayer.Health{
		Ready:        !m.draining && !now.Before(m.collapsedUntil),
		Draining:     m.draining,
		Cold:         m.cold,
		LoadFraction: min(1, float64(m.inFlight)/float64(m.config.Slots)),
		Slots:        m.capacity(now),
	}
}

func (m *serverModel) finishRequest() {
	m.inFlight--
	m.completedInState++
}

// startIncarnation resets the state for a new incarnation.
func (m *serverModel) startIncarnation(now time.Time, cold bool) {
	m.incarnation++
	m.draining = false
	m.collapsedUntil = time.Time{}
	m.inFlight = 0
	m.setCold(now, cold)
}

func (m *serverModel) serverState() recorder.ServerState {
	switch {
	case m.draining:
		return recorder.ServerStateDraining
	case m.cold:
		return recorder.ServerStateCold
	default:
		return recorder.ServerStateWarm
	}
}

func (m *serverModel) setCold(now time.Time, cold bool) {
	m.cold = cold
	m.stateSince = now
	m.completedInState = 0
}

// updateWarmup ends a cold start after WarmupTime and warmupRequestCount
// finished requests.
func (m *serverModel) updateWarmup(now time.Time) {
	if m.cold && m.completedInState >= warmupRequestCount && now.Sub(m.stateSince) >= m.config.WarmupTime {
		m.setCold(now, false)
	}
}

// nextServiceTime returns how long the next request occupies a slot and
// whether it fails afterwards.
func (m *serverModel) nextServiceTime() (serviceTime time.Duration, fails bool) {
	factor := m.slowdown * math.Exp(m.random.NormFloat64()*m.config.ServiceTimeLogStdDev)
	if m.cold {
		factor *= m.config.ColdSlowdown
	}
	if excess := m.inFlight - m.config.Slots; excess > 0 {
		factor *= 1 + 0.5*float64(excess)/float64(m.config.Slots)
	}
	return time.Duration(factor * float64(m.config.MedianServiceTime)), m.random.Float64() < m.failureFraction
}
