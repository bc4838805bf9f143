// Package regulator implements admission control at the ingress. It decides which
// requests start a chain of calls, so that the chains that run fit the capacity of
// the scarcest downstream service. Nodes report the offered load and the capacity of
// their backend servers. For each overloaded service, the Regulator of each ingress
// keeps a work budget that follows the pressure, the ratio of offered load to
// capacity. So a surge of demand changes which requests are refused, not how much
// work runs. The package reads no clock and does no input or output. A Regulator is
// not safe for concurrent use.
package regulator

import (
	"math"
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
)

const (
	// RankCount is the number of ranks of requests; rank 0 is refused last.
	RankCount = 32

	// largeTargetUtilization is the ratio of offered load to capacity that the
	// budgets aim for at services with many slots. It exceeds 1 because nodes queue
	// a little. Fluctuations need headroom in proportion to the square root of the
	// slots (Halfin, Whitt: "Heavy-Traffic Limits for Queues with Many Exponential
	// Servers", 1981): headroomFactor scales it.
	largeTargetUtilization = 1.1
	headroomFactor         = 0.5
	// onsetMargin is how far the pressure must exceed the target for a service to
	// be limited.
	onsetMargin = 0.1
	// surgeUtilization is the ratio of expected load to capacity above which a
	// service is limited before its nodes report any pressure. The expected load
	// counts for expectDuration after the first report.
	surgeUtilization = 2
	expectDuration   = 3 * time.Second
	// maxEffectDelay and minEffectDelay bound the age of the budgets whose effect a
	// report shows. Calls take time to reach the nodes that report them, and those
	// nodes average their load.
	maxEffectDelay = 1000 * time.Millisecond
	minEffectDelay = 200 * time.Millisecond
	// historyStep is the time between two entries of the budget history.
	historyStep = 50 * time.Millisecond
	// settleTime is the time constant with which a budget follows the pressure.
	settleTime = 400 * time.Millisecond
	// maxGrowthFactor bounds the ratio of a budget to the past budgets whose effect
	// the report shows.
	maxGrowthFactor = 3
	// minTotalFraction is the least sum of the budgets of all nodes, as a fraction
	// of the capacity.
	minTotalFraction = 0.2
	// idleTargetFraction is the fraction of the target below which the pressure
	// shows room for an equal share of every node with full savings, whatever the
	// budgets were.
	idleTargetFraction = 0.5
	// capacityJumpFactor is the ratio of the capacities in two reports from which the
	// capacity has jumped.
	capacityJumpFactor = 1.5
	// minCapacitySlots is less than the capacity of any server.
	minCapacitySlots = 0.01
	// maxSavingTime bounds the time for which an unused budget accrues.
	maxSavingTime = 400 * time.Millisecond
	// reserveFraction is the fraction of the savings that ranks leave to more important
	// ones, at most: each rank leaves a part in proportion to the number of more
	// important ranks in use.
	reserveFraction = 0.8
	// admittedDecayTime is the time constant of the average of the admitted work.
	admittedDecayTime = time.Second
	// limitIdleTime is the time after the last refusal until a limit is lifted.
	limitIdleTime = 2 * time.Second
	// reportTTL is how long a report is valid.
	reportTTL = 4 * time.Second
	// fairnessWindow is the time over which the admission ratios of the routes are
	// compared. minFairFraction is the fraction of the common ratio that every
	// route gets.
	fairnessWindow  = 4 * time.Second
	minFairFraction = 0.4
)

type (
	// Regulator keeps the work budgets of one ingress. The zero value is ready to
	// use.
	Regulator struct {
		// NodeCount is the number of nodes that share the servers, at least 1.
		NodeCount int

		budgets     map[string]*serviceBudget
		routeCounts map[string]*admissionCounts
		totalCounts admissionCounts
		// requestedAt holds the time of the last request of each rank.
		requestedAt [RankCount]time.Time
	}

	// admissionCounts counts requested and admitted chains over fairnessWindow.
	admissionCounts struct {
		requested, admitted averager.DecayingSum
	}

	// serviceBudget is the work budget for one service.
	serviceBudget struct {
		limited bool
		// capacityFraction is the budget as a fraction of the capacity.
		capacityFraction float64
		// capacitySlots is the number of slots of all servers of the service.
		capacitySlots float64
		// history holds capacityFraction at the last steps, which are historyStep
		// apart, the newest first.
		history          [maxEffectDelay / historyStep]float64
		steppedAt        time.Time
		savedSlotSeconds float64
		accruedAt        time.Time
		reportedAt       time.Time
		refusedAt        time.Time
		// expectedSlots is the load that is expected until expectUntil, which the
		// first report sets.
		expectedSlots float64
		expectUntil   time.Time
		// noGrowthUntil is the time until which the budget does not grow, because
		// reports do not show yet the load for which the service was limited.
		noGrowthUntil time.Time
		// admittedSlotSeconds is the work that this ingress admitted.
		admittedSlotSeconds averager.DecayingSum
	}
)

// Admit returns the services whose budgets do not allow a request to start its chain; none
// if it may start. costs is the slot time that the chain occupies at each service, in
// seconds. A request of a route whose admission ratio is much lower than that of all routes
// together is treated as rank 0.
func (r *Regulator) Admit(now time.Time, route string, rank int, costs map[string]float64) (scarce []string) {
	rank = max(0, min(rank, RankCount-1))
	c := r.countsOf(route)
	if c.underserved(now, &r.totalCounts) {
		rank = 0
	}
	reserve := reserveFraction * r.relativeRank(now, rank)
	for service, cost := range costs {
		b := r.budgetOf(now, service)
		b.accrue(now)
		if b.limited && b.savedSlotSeconds < b.requiredSlotSeconds(reserve, cost) {
			b.refusedAt = now
			scarce = append(scarce, service)
		}
	}
	admitted := len(scarce) == 0
	c.record(now, admitted)
	r.totalCounts.record(now, admitted)
	if !admitted {
		return scarce
	}
	for service, cost := range costs {
		b := r.budgets[service]
		b.admittedSlotSeconds.Add(now, admittedDecayTime, cost)
		if b.limited {
			b.savedSlotSeconds -= cost
		}
	}
	return nil
}

// ExpectLoad sets the load, in slots, that a service will be offered once its servers
// are back, such as after a loss of power, while they do not report any load yet.
func (r *Regulator) ExpectLoad(now time.Time, service string, expectedSlots float64) {
	r.budgetOf(now, service).expectedSlots = expectedSlots
}

// CancelAdmission reverts the admission of a request that does not start its chain.
// The arguments are those of Admit.
func (r *Regulator) CancelAdmission(now time.Time, route string, costs map[string]float64) {
	r.countsOf(route).cancelAdmission(now)
	r.totalCounts.cancelAdmission(now)
	for service, cost := range costs {
		b := r.budgetOf(now, service)
		b.accrue(now)
		b.admittedSlotSeconds.Add(now, admittedDecayTime, -cost)
		if b.limited {
			b.savedSlotSeconds = min(b.savedSlotSeconds+cost, b.maxSavedSlotSeconds())
		}
	}
}

// ReportLoad updates the budget for a service by the load offered to its nodes and the
// capacity of their servers, both in slots.
func (r *Regulator) ReportLoad(now time.Time, service string, offered, capacity float64) {
	b := r.budgetOf(now, service)
	b.accrue(now)
	b.advanceHistory(now)
	elapsed := now.Sub(b.reportedAt)
	b.reportedAt = now
	b.setCapacity(capacity, r.NodeCount)
	pressure := offered / b.capacitySlots
	target := b.targetUtilization()
	admittedSlots := b.admittedSlotSeconds.Value(now, admittedDecayTime) / admittedDecayTime.Seconds()
	if expected := b.expectedSlotsAt(now) / b.capacitySlots; !b.limited && expected > max(pressure, surgeUtilization) {
		b.startLimiting(now, target/float64(max(1, r.NodeCount)), expected)
		b.noGrowthUntil = now.Add(maxEffectDelay)
		return
	}
	minFraction := minTotalFraction / float64(max(1, r.NodeCount))
	switch {
	case !b.limited && pressure > target+onsetMargin:
		b.startLimiting(now, max(minFraction, admittedSlots/b.capacitySlots*target/pressure), pressure)
	case b.limited && now.Sub(b.refusedAt) > limitIdleTime && pressure < target:
		b.limited = false
	case b.limited:
		wantedFraction := b.effectiveFraction() * min(maxGrowthFactor, target/max(pressure, target/maxGrowthFactor))
		if now.Before(b.noGrowthUntil) {
			wantedFraction = min(wantedFraction, b.capacityFraction)
		}
		b.capacityFraction += (1 - math.Exp(-elapsed.Seconds()/settleTime.Seconds())) * (wantedFraction - b.capacityFraction)
		idle := pressure < idleTargetFraction*target
		if idle {
			minFraction = target / float64(max(1, r.NodeCount))
		}
		b.capacityFraction = max(b.capacityFraction, minFraction)
		if idle && !now.Before(b.noGrowthUntil) {
			b.savedSlotSeconds = b.maxSavedSlotSeconds()
		}
	}
}

// setCapacity sets the capacity. After a jump, such as when servers have warmed up, the budget
// is at most an equal share of the target, since the earlier fraction rests on another load.
func (b *serviceBudget) setCapacity(capacity float64, nodeCount int) {
	jumped := capacity >= capacityJumpFactor*b.capacitySlots
	b.capacitySlots = max(capacity, minCapacitySlots)
	if b.limited && jumped {
		b.capacityFraction = min(b.capacityFraction, b.targetUtilization()/float64(max(1, nodeCount)))
	}
}

// targetUtilization returns the ratio of offered load to capacity that the budgets aim
// for.
func (b *serviceBudget) targetUtilization() float64 {
	return max(1-headroomFactor, largeTargetUtilization-headroomFactor/math.Sqrt(b.capacitySlots))
}

// Budget returns the budget for a service in slot seconds per second. It returns false
// while the service is not limited.
func (r *Regulator) Budget(service string) (budget float64, limited bool) {
	b := r.budgets[service]
	if b == nil || !b.limited {
		return 0, false
	}
	return b.budgetSlots(), true
}

// startLimiting sets the budget of a service that becomes overloaded. It fills the
// history with the budget that would have caused the pressure.
func (b *serviceBudget) startLimiting(now time.Time, fraction, pressure float64) {
	b.limited = true
	b.capacityFraction = fraction
	b.savedSlotSeconds = 0
	b.refusedAt = now
	b.steppedAt = now
	for i := range b.history {
		b.history[i] = fraction * pressure / b.targetUtilization()
	}
}

// expectedSlotsAt returns the expected load in slots; 0 after its time has expired.
func (b *serviceBudget) expectedSlotsAt(now time.Time) float64 {
	if b.expectUntil.IsZero() {
		b.expectUntil = now.Add(expectDuration)
	}
	if now.After(b.expectUntil) {
		b.expectedSlots = 0
	}
	return b.expectedSlots
}

// effectiveFraction returns the mean budget, as a fraction of the capacity, over the
// time whose effect a current report shows.
func (b *serviceBudget) effectiveFraction() float64 {
	sum := 0.0
	recent := b.history[minEffectDelay/historyStep:]
	for _, fraction := range recent {
		sum += fraction
	}
	return sum / float64(len(recent))
}

// advanceHistory adds the steps up to now to the history.
func (b *serviceBudget) advanceHistory(now time.Time) {
	steps := int(now.Sub(b.steppedAt) / historyStep)
	if steps <= 0 {
		return
	}
	b.steppedAt = b.steppedAt.Add(time.Duration(steps) * historyStep)
	steps = min(steps, len(b.history))
	copy(b.history[steps:], b.history[:len(b.history)-steps])
	for i := range steps {
		b.history[i] = b.capacityFraction
	}
}

// relativeRank records a request of a rank and returns the fraction of the ranks in use that
// are more important, from 0 to below 1. A rank is in use for fairnessWindow after a
// request.
func (r *Regulator) relativeRank(now time.Time, rank int) float64 {
	r.requestedAt[rank] = now
	above, used := 0, 0
	for other, at := range r.requestedAt {
		if at.IsZero() || now.Sub(at) > fairnessWindow {
			continue
		}
		used++
		if other < rank {
			above++
		}
	}
	return float64(above) / float64(used)
}

func (r *Regulator) countsOf(route string) *admissionCounts {
	if r.routeCounts == nil {
		r.routeCounts = map[string]*admissionCounts{}
	}
	c := r.routeCounts[route]
	if c == nil {
		c = &admissionCounts{}
		r.routeCounts[route] = c
	}
	return c
}

func (r *Regulator) budgetOf(now time.Time, service string) *serviceBudget {
	b := r.budgets[service]
	if b == nil {
		if r.budgets == nil {
			r.budgets = map[string]*serviceBudget{}
		}
		b = &serviceBudget{accruedAt: now, reportedAt: now}
		r.budgets[service] = b
	}
	return b
}

// underserved reports whether the admission ratio of the route is much lower than that
// of all routes together.
func (c *admissionCounts) underserved(now time.Time, all *admissionCounts) bool {
	requested, admitted := c.requested.Value(now, fairnessWindow), c.admitted.Value(now, fairnessWindow)
	return requested >= 1 && admitted*all.requested.Value(now, fairnessWindow) < minFairFraction*all.admitted.Value(now, fairnessWindow)*requested
}

func (c *admissionCounts) record(now time.Time, admitted bool) {
	c.requested.Add(now, fairnessWindow, 1)
	if admitted {
		c.admitted.Add(now, fairnessWindow, 1)
	}
}

func (c *admissionCounts) cancelAdmission(now time.Time) {
	c.requested.Add(now, fairnessWindow, -1)
	c.admitted.Add(now, fairnessWindow, -1)
}

// budgetSlots returns the budget in slot seconds per second.
func (b *serviceBudget) budgetSlots() float64 {
	return b.capacityFraction * b.capacitySlots
}

// accrue adds the budget of the time up to now to the savings.
func (b *serviceBudget) accrue(now time.Time) {
	elapsed := now.Sub(b.accruedAt)
	if elapsed <= 0 {
		return
	}
	b.accruedAt = now
	if now.Sub(b.reportedAt) > reportTTL {
		b.limited = false
	}
	if b.limited {
		b.savedSlotSeconds = min(b.savedSlotSeconds+b.budgetSlots()*elapsed.Seconds(), b.maxSavedSlotSeconds())
	}
}

func (b *serviceBudget) maxSavedSlotSeconds() float64 {
	return b.budgetSlots() * maxSavingTime.Seconds()
}

// requiredSlotSeconds returns the savings that are needed to admit a request that leaves
// the reserve, a fraction of the maximum savings. A request that costs more than the
// maximum is admitted at that maximum.
func (b *serviceBudget) requiredSlotSeconds(reserve, cost float64) float64 {
	return min(b.maxSavedSlotSeconds(), min(cost, b.maxSavedSlotSeconds())/2+reserve*b.maxSavedSlotSeconds())
}
