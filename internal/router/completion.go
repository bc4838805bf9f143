package router

import (
	"math"
	"time"
)

const (
	// choiceCount is the number of nodes that are compared by expected completion. With
	// three, simulated calls wait more often at servers that many senders see as fast,
	// and their mean time is no better.
	choiceCount = 2
	// objectiveMargin is the factor by which the time that is left until the latency
	// objective exceeds the expected time of a request that ends well inside it. About 2 %
	// of the requests of a server whose times vary by a third of their size take longer.
	objectiveMargin = 2
	// fartherAdvantage is the factor by which the expected time at a farther node must be
	// shorter if a nearer one may miss the latency objective, and
	// fartherAdvantageUnknown the same if the objective is not known. Traffic between
	// failure domains is charged by the byte.
	fartherAdvantage        = 1.1
	fartherAdvantageUnknown = 1.5
	// uncertaintyFactor is the number of standard deviations of the slowdown that are added
	// for a request that can't be retried.
	uncertaintyFactor = 2
	// minRelativeTime and maxRelativeTime bound the learned time of a server relative to
	// that of all.
	minRelativeTime, maxRelativeTime = 0.2, 5
	// maxQueueingUtilization is the highest utilization for which the formula of the wait
	// holds.
	maxQueueingUtilization = 0.95
	// brokenSlowdown is added to the slowdown of a node for each of its latest requests
	// that broke, if the request can't be retried.
	brokenSlowdown = 1
)

// workload is the work of a request, as far as it is the same on all nodes. All times are in
// seconds.
type workload struct {
	// ownTime is the time that the request keeps a server of mean speed busy, and nestedTime
	// the time in which it waits for its calls.
	ownTime, nestedTime float64
	// meanOwnTime and meanRunTime are the mean time of all runs on a server of mean speed,
	// without and with their calls.
	meanOwnTime, meanRunTime float64
	// meanUtilization is the utilization of all nodes together.
	meanUtilization float64
	// unrepeatable reports whether the request can't be retried.
	unrepeatable bool
}

// prospect is what is expected of a node for the current request.
type prospect struct {
	// ownFactor is the time of the request's own work as a factor of that on a server of
	// mean speed whose instance is as usual.
	ownFactor float64
	// load is the expected number of running and queued requests.
	load float64
	// weight is the weight of the node in a random choice.
	weight float64
}

// chooseByCompletion returns the node where the request is expected to end first, among a few
// nodes that are drawn at random from near, the nodes in the nearest localities with room. It
// returns a farther one of healthy if the nearer one may miss the latency objective, or if
// the request can't be retried and the farther node is surer.
func (r *Router) chooseByCompletion(now time.Time, random Random, near, healthy []choice, request *Request) *choice {
	work := r.workloadOf(now, request)
	best, bestEnd := chooseSoonest(now, random, near, &work)
	if len(near) >= len(healthy) {
		return best
	}
	left := request.ObjectiveIn.Seconds()
	advantage := fartherAdvantageUnknown
	switch {
	case request.Unrepeatable:
		advantage = fartherAdvantage
	case left > 0 && objectiveMargin*bestEnd <= left:
		return best
	case left > 0:
		advantage = fartherAdvantage
	}
	farther, fartherEnd := chooseSoonest(now, random, healthy[len(near):], &work)
	if fartherEnd*advantage < bestEnd && best.reportsWork() && farther.reportsWork() {
		return farther
	}
	return best
}

// chooseSoonest draws choiceCount nodes at random, weighted by free capacity and speed, and
// returns the one with the earliest expected end, in seconds from now. If one of two nodes
// does not report its work figure, the less utilized one is better.
func chooseSoonest(now time.Time, random Random, choices []choice, work *workload) (best *choice, bestEnd float64) {
	total := 0.0
	for i := range choices {
		choices[i].expect(now, work)
		total += choices[i].node.prospect.weight
	}
	for range choiceCount {
		drawn := drawByProspect(choices, random.Float64()*total)
		if drawn == best {
			continue
		}
		end := drawn.expectedEnd(work)
		if best == nil || drawn.better(end, best, bestEnd) {
			best, bestEnd = drawn, end
		}
	}
	return best, bestEnd
}

func drawByProspect(choices []choice, at float64) *choice {
	for i := range choices {
		at -= choices[i].node.prospect.weight
		if at < 0 {
			return &choices[i]
		}
	}
	return &choices[len(choices)-1]
}

// workloadOf returns the work of the request, from the reports of the usable nodes.
func (r *Router) workloadOf(now time.Time, request *Request) (w workload) {
	ownTime, ownCount, runTime, runCount, load, limit := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for i := range r.usable {
		c := &r.usable[i]
		load += c.load
		limit += c.limit
		n := c.node
		if !c.reportsWork() || n.reportExpired(now) {
			continue
		}
		if n.report.OwnTime > 0 {
			ownTime += n.report.OwnTime.Seconds()
			ownCount++
		}
		runTime += n.report.RunTime.Seconds()
		runCount++
	}
	w.meanUtilization = load / limit
	w.meanRunTime = runTime / max(1, runCount)
	w.meanOwnTime = ownTime / max(1, ownCount)
	total := request.RunTime.Seconds()
	if total <= 0 {
		total = w.meanRunTime
	}
	ownFraction := 1.0
	if w.meanRunTime > 0 && w.meanOwnTime > 0 {
		ownFraction = min(1, w.meanOwnTime/w.meanRunTime)
	}
	w.ownTime, w.nestedTime = ownFraction*total, (1-ownFraction)*total
	w.unrepeatable = request.Unrepeatable
	return w
}

// reportsWork reports whether the node reports its work figure.
func (c *choice) reportsWork() bool {
	return c.node.report.WorkPercent > 0
}

// better reports whether the node with an expected end is better than another one.
func (c *choice) better(end float64, other *choice, otherEnd float64) bool {
	if !c.reportsWork() || !other.reportsWork() {
		return c.utilization() < other.utilization()
	}
	return end < otherEnd
}

// expect sets the node's prospect. What a report says of the load is worth less with each
// mean time of a run that has passed since, as the other senders have seen it too: the
// expected load moves from the reported one to the mean of all nodes. Without this, nodes that
// reported a low load get the requests of all senders until their next report.
func (c *choice) expect(now time.Time, work *workload) {
	n := c.node
	slowdown, correlation := n.slowdown.estimate(now)
	if work.unrepeatable {
		slowdown += uncertaintyFactor*n.slowdown.uncertainty(correlation) + brokenSlowdown*float64(n.consecutiveBroken)
	}
	relativeTime := 1.0
	if n.report.OwnTime > 0 && work.meanOwnTime > 0 {
		relativeTime = min(max(n.report.OwnTime.Seconds()/work.meanOwnTime, minRelativeTime), maxRelativeTime)
	}
	p := &n.prospect
	p.ownFactor = relativeTime * slowdown
	p.load = c.load
	if work.meanRunTime > 0 && !n.reportExpired(now) {
		sent := float64(n.sentSinceReport)
		remaining := math.Exp(-max(0, now.Sub(n.reportedAt).Seconds()) / work.meanRunTime)
		p.load = sent + remaining*(c.load-sent) + (1-remaining)*work.meanUtilization*c.limit
	}
	p.weight = c.weight() / p.ownFactor
}

// expectedEnd returns the time in seconds from now at which the request is expected to end on
// the node: the wait for a slot, its own work at the speed of the server and the momentary
// slowdown of the instance, and the time of its calls.
func (c *choice) expectedEnd(work *workload) float64 {
	return c.expectedWait(work) + work.ownTime*c.node.prospect.ownFactor + work.nestedTime
}

// expectedWait returns the expected time in seconds until a slot of the node is free. Below
// the limit it is the mean wait in a queue with several servers (Sakasegawa: "An
// Approximation Formula Lq = a*rho^b/(1-rho)", 1977), as requests of other senders arrive
// too; beyond it, the time in which the queue ahead is worked off comes in addition.
func (c *choice) expectedWait(work *workload) float64 {
	runTime := c.node.report.RunTime.Seconds()
	if runTime <= 0 {
		runTime = work.ownTime + work.nestedTime
	}
	load := c.node.prospect.load + float64(c.node.report.ServerWaiting)
	utilization := min(load/c.limit, maxQueueingUtilization)
	wait := runTime / c.limit * math.Pow(utilization, math.Sqrt(2*(c.limit+1))-1) / (1 - utilization)
	return wait + max(0, load+1-c.limit)*runTime/c.limit
}
