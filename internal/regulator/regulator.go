// Package regulator decides at the ingress which requests begin a chain of
// calls, so that the chains that run fit the scarcest service below them. Guards
// tell how much work they are offered for what they bear; the regulator of each
// ingress keeps a budget of work for each service that is short, which follows
// that pressure. A surge of demand so changes what is refused, not what runs. It
// knows no clock and does no input or output; a Regulator is not safe for
// concurrent use.
package regulator

import (
	"math"
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
)

const (
	// Ranks is the number of ranks of requests; rank 0 is refused last.
	Ranks = 8

	// fullTarget is the offered work, in parts of what the servers bear, that
	// the budgets bring about where servers are large, as guards queue a
	// little. What fluctuates takes headroom in proportion to the square root
	// of the slots (Halfin, Whitt: "Heavy-Traffic Limits for Queues with Many
	// Exponential Servers", 1981).
	fullTarget = 1.1
	headroom   = 0.5
	// onset is how far above the target the pressure is from which on a service
	// is short.
	onset = 0.1
	// surge is the expected work, in parts of what the servers bear, from which on a
	// service is short before its servers tell of it, and expectTime how long after
	// the first report that holds.
	surge      = 2
	expectTime = 3 * time.Second
	// seenFrom and seenTo bound how long ago the budgets were in force whose
	// effect a report shows: calls take time to reach the guards, and guards
	// average.
	seenFrom = 1000 * time.Millisecond
	seenTo   = 200 * time.Millisecond
	// stepTime is the time between two entries of the history of budgets.
	stepTime = 50 * time.Millisecond
	// settleTime is the time over which a budget follows the pressure.
	settleTime = 400 * time.Millisecond
	// maxGrowth bounds the factor by which a budget exceeds those whose effect
	// is seen.
	maxGrowth = 3
	// leastPart is the least budget of all nodes together, in parts of what the
	// servers bear.
	leastPart = 0.2
	// idlePart is the part of the target below which the pressure shows that
	// the servers have room for an equal part of every node, whatever the
	// budgets were.
	idlePart = 0.5
	// leastBears stands for less than what any server bears, in slots.
	leastBears = 0.01
	// saveTime is for how long an unused budget is saved up.
	saveTime = 400 * time.Millisecond
	// reservePart is the part of the savings that the last rank leaves to
	// those before it.
	reservePart = 0.8
	// admittedTime is the time over which admitted work is averaged.
	admittedTime = time.Second
	// idleTime is how long after the last refusal a budget is dropped.
	idleTime = 2 * time.Second
	// reportLife is how long a report counts.
	reportLife = 4 * time.Second
	// fairTime is the time over which the routes' shares are compared, and
	// fairPart the part of the common share that every route gets.
	fairTime = 4 * time.Second
	fairPart = 0.4
)

type (
	// Regulator keeps the budgets of one ingress. The zero Regulator is ready
	// for use.
	Regulator struct {
		// Nodes is the number of nodes that share the servers, at least 1.
		Nodes int

		valves map[string]*valve
		routes map[string]*share
		all    share
	}

	// share is what of the demand was admitted.
	share struct {
		asked, admitted averager.DecayingSum
	}

	// valve is the budget for one service.
	valve struct {
		short bool
		// part is the budget in parts of what the servers bear.
		part float64
		// bears is the number of slots that the servers have.
		bears float64
		// past holds the parts of the last steps, the newest first.
		past     [seenFrom / stepTime]float64
		stepped  time.Time
		saved    float64
		paid     time.Time
		reported time.Time
		refused  time.Time
		// expected is the work that is expected until expectEnd, which is set by
		// the first report.
		expected  float64
		expectEnd time.Time
		// held is until when the budget does not grow, as the reports don't show
		// yet what made the service short.
		held time.Time
		// admitted is the work that was admitted here.
		admitted averager.DecayingSum
	}
)

// Admit reports whether a request may begin its chain. costs is the time for
// which it occupies slots of each service, in seconds.
func (r *Regulator) Admit(now time.Time, route string, rank int, costs map[string]float64) bool {
	rank = max(0, min(rank, Ranks-1))
	s := r.share(route)
	if s.behind(now, &r.all) {
		rank = 0
	}
	admitted := true
	for service, cost := range costs {
		v := r.valve(now, service)
		v.pay(now)
		if v.short && v.saved < v.reserve(rank, cost) {
			v.refused = now
			admitted = false
		}
	}
	s.count(now, admitted)
	r.all.count(now, admitted)
	if !admitted {
		return false
	}
	for service, cost := range costs {
		v := r.valves[service]
		v.admitted.Add(now, admittedTime, cost)
		if v.short {
			v.saved -= cost
		}
	}
	return true
}

// Expect takes the work, in slots, that a service will be offered once its servers
// come back, as after a loss of power, when they tell of none yet.
func (r *Regulator) Expect(now time.Time, service string, work float64) {
	r.valve(now, service).expected = work
}

// Retract takes back an admission of a request that does not begin its chain after
// all. The arguments are those of Admit.
func (r *Regulator) Retract(now time.Time, route string, costs map[string]float64) {
	r.share(route).retract(now)
	r.all.retract(now)
	for service, cost := range costs {
		v := r.valve(now, service)
		v.pay(now)
		v.admitted.Add(now, admittedTime, -cost)
		if v.short {
			v.saved = min(v.saved+cost, v.most())
		}
	}
}

// Report takes the work that the guards of a service are offered and what their
// servers bear, both in slots.
func (r *Regulator) Report(now time.Time, service string, offered, bears float64) {
	v := r.valve(now, service)
	v.pay(now)
	v.step(now)
	elapsed := now.Sub(v.reported)
	v.reported = now
	v.bears = max(bears, leastBears)
	pressure := offered / v.bears
	target := v.target()
	own := v.admitted.Value(now, admittedTime) / admittedTime.Seconds()
	if expected := v.expectedAt(now) / v.bears; !v.short && expected > max(pressure, surge) {
		v.begin(now, target/float64(max(1, r.Nodes)), expected)
		v.held = now.Add(seenFrom)
		return
	}
	least := leastPart / float64(max(1, r.Nodes))
	switch {
	case !v.short && pressure > target+onset:
		v.begin(now, max(least, own/v.bears*target/pressure), pressure)
	case v.short && now.Sub(v.refused) > idleTime && pressure < target:
		v.short = false
	case v.short:
		wanted := v.seen() * min(maxGrowth, target/max(pressure, target/maxGrowth))
		if now.Before(v.held) {
			wanted = min(wanted, v.part)
		}
		v.part += (1 - math.Exp(-elapsed.Seconds()/settleTime.Seconds())) * (wanted - v.part)
		if pressure < idlePart*target {
			least = target / float64(max(1, r.Nodes))
		}
		v.part = max(v.part, least)
	}
}

// target returns the offered work that the budgets bring about, in parts of what
// the servers bear.
func (v *valve) target() float64 {
	return max(1-headroom, fullTarget-headroom/math.Sqrt(v.bears))
}

// Budget returns the budget for a service in seconds of slots a second; none
// while the service is not short.
func (r *Regulator) Budget(service string) (budget float64, short bool) {
	v := r.valves[service]
	if v == nil || !v.short {
		return 0, false
	}
	return v.budget(), true
}

// begin sets a budget when a service becomes short. The history is what brought
// about the pressure.
func (v *valve) begin(now time.Time, part, pressure float64) {
	v.short = true
	v.part = part
	v.saved = 0
	v.refused = now
	v.stepped = now
	for i := range v.past {
		v.past[i] = part * pressure / v.target()
	}
}

// expectedAt returns the work that is expected.
func (v *valve) expectedAt(now time.Time) float64 {
	if v.expectEnd.IsZero() {
		v.expectEnd = now.Add(expectTime)
	}
	if now.After(v.expectEnd) {
		v.expected = 0
	}
	return v.expected
}

// seen returns the mean budget of the time whose effect is reported now.
func (v *valve) seen() float64 {
	sum := 0.0
	recent := v.past[seenTo/stepTime:]
	for _, part := range recent {
		sum += part
	}
	return sum / float64(len(recent))
}

// step brings the history up to now.
func (v *valve) step(now time.Time) {
	steps := int(now.Sub(v.stepped) / stepTime)
	if steps <= 0 {
		return
	}
	v.stepped = v.stepped.Add(time.Duration(steps) * stepTime)
	steps = min(steps, len(v.past))
	copy(v.past[steps:], v.past[:len(v.past)-steps])
	for i := range steps {
		v.past[i] = v.part
	}
}

func (r *Regulator) share(route string) *share {
	if r.routes == nil {
		r.routes = map[string]*share{}
	}
	s := r.routes[route]
	if s == nil {
		s = &share{}
		r.routes[route] = s
	}
	return s
}

func (r *Regulator) valve(now time.Time, service string) *valve {
	v := r.valves[service]
	if v == nil {
		if r.valves == nil {
			r.valves = map[string]*valve{}
		}
		v = &valve{paid: now, reported: now}
		r.valves[service] = v
	}
	return v
}

// behind reports whether the route gets much less than all routes together.
func (s *share) behind(now time.Time, all *share) bool {
	asked, admitted := s.asked.Value(now, fairTime), s.admitted.Value(now, fairTime)
	return asked >= 1 && admitted*all.asked.Value(now, fairTime) < fairPart*all.admitted.Value(now, fairTime)*asked
}

func (s *share) count(now time.Time, admitted bool) {
	s.asked.Add(now, fairTime, 1)
	if admitted {
		s.admitted.Add(now, fairTime, 1)
	}
}

func (s *share) retract(now time.Time) {
	s.asked.Add(now, fairTime, -1)
	s.admitted.Add(now, fairTime, -1)
}

// budget returns the budget in seconds of slots a second.
func (v *valve) budget() float64 {
	return v.part * v.bears
}

// pay saves up the budget up to now.
func (v *valve) pay(now time.Time) {
	elapsed := now.Sub(v.paid)
	if elapsed <= 0 {
		return
	}
	v.paid = now
	if now.Sub(v.reported) > reportLife {
		v.short = false
	}
	if v.short {
		v.saved = min(v.saved+v.budget()*elapsed.Seconds(), v.most())
	}
}

func (v *valve) most() float64 {
	return v.budget() * saveTime.Seconds()
}

// reserve returns what must be saved up for a request of a rank to be admitted.
// A request that costs more than can be saved up is admitted when all is there.
func (v *valve) reserve(rank int, cost float64) float64 {
	return min(v.most(), min(cost, v.most())/2+reservePart*v.most()*float64(rank)/Ranks)
}
