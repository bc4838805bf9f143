package promoter

import (
	"fmt"
	"math"
	"time"
)

const (
	// minBucketTime is the shortest time that a bucket covers, and maxBuckets the number of
	// buckets in the duration of an order.
	minBucketTime = 100 * time.Millisecond
	maxBuckets    = 200
	// nearBuckets is the number of buckets before and after one whose outcomes of the old
	// version a bucket of the target version is compared with.
	nearBuckets = 2
	// recentBuckets is the number of buckets of the recent window. It detects a version that
	// turns bad late, whose good outcomes would hide the bad ones in the whole time.
	recentBuckets = 10
	// unjudgedBuckets is the number of newest buckets that are not judged, as reports of
	// the old version's nodes may still be missing.
	unjudgedBuckets = 1

	// minFailures is the least number of failures of a version that is rolled back.
	minFailures = 3
	// maxChance is the chance at which the old version would have as many failures below
	// which the target version is rolled back. A rollout makes about 1000 such tests, most of
	// them on nearly the same outcomes.
	maxChance = 3e-5
	// minFailureExcess and minFailureRatio are by how much the failure rate must exceed that
	// of the old version. A lower one does not use up the exposure bound's worth.
	minFailureExcess = 0.02
	minFailureRatio  = 1.5
	// priorRuns is the weight, in runs, of the failure rate that is assumed where there are
	// few outcomes of the old version: that of all its routes at about the same time or of
	// the route at all times. serviceRuns is the weight of the latter, and priorFailureRate
	// the rate without any outcome. The rate of all routes has a low weight of its own
	// assumption, so that it shows at once when a service degrades as a whole.
	priorRuns        = 20.0
	serviceRuns      = 5.0
	priorFailureRate = 0.005
	// minTimedRuns is the least number of runs whose times are judged, and minNearRuns the
	// least number of runs of the old version from which an expected time is taken.
	minTimedRuns = 4
	minNearRuns  = 12
	// minSlowRatio is the least ratio of the run times to those of the old version at
	// which a version is slow, and slowRatioSpread what is added to 1 for a single run and
	// falls with the root of the number of runs, as run times vary. With 8, the chance of a
	// false verdict is 1e-5 for 4 runs with exponentially distributed times.
	minSlowRatio    = 2.0
	slowRatioSpread = 8.0
)

type (
	// evidence holds the outcomes of both versions by time, so that outcomes are compared
	// with those of the same time.
	evidence struct {
		bucketTime time.Duration
		buckets    []*bucket
		// targetRuns is the number of ended runs on warm servers of the target version.
		targetRuns uint64
		// oldRoutes sums the outcomes of the old version by route, oldTotal over all.
		oldRoutes map[string]*RouteOutcomes
		oldTotal  RouteOutcomes
	}

	// bucket holds the outcomes that were reported in one interval.
	bucket struct {
		evidence    *evidence
		target, old map[string]RouteOutcomes
		oldTotal    RouteOutcomes
		// cold holds the outcomes on cold servers of the target version.
		cold RouteOutcomes
		// targetTurnedAway and oldTurnedAway are the numbers of requests that warm servers
		// of the versions turned away.
		targetTurnedAway, oldTurnedAway uint64
	}

	// comparison compares the outcomes of the target version with those expected from the
	// old version's.
	comparison struct {
		runs, failures, expectedFailures float64
		// timedRuns is the number of runs for which an expected time is known.
		timedRuns, seconds, expectedSeconds float64
	}
)

func newEvidence(duration time.Duration) evidence {
	return evidence{bucketTime: max(minBucketTime, duration/maxBuckets), oldRoutes: map[string]*RouteOutcomes{}}
}

// at returns the bucket of a time since the order.
func (e *evidence) at(elapsed time.Duration) *bucket {
	index := e.index(elapsed)
	for len(e.buckets) <= index {
		e.buckets = append(e.buckets, &bucket{evidence: e, target: map[string]RouteOutcomes{}, old: map[string]RouteOutcomes{}})
	}
	return e.buckets[index]
}

func (e *evidence) index(elapsed time.Duration) int {
	return int(min(2*maxBuckets, max(0, elapsed/e.bucketTime)))
}

func (b *bucket) add(target bool, route string, o RouteOutcomes) {
	switch {
	case o.Requests == 0:
		return
	case route == TurnedAwayRoute && target:
		b.targetTurnedAway += o.Requests
		return
	case route == TurnedAwayRoute:
		b.oldTurnedAway += o.Requests
		return
	case target:
		b.target[route] = sum(b.target[route], o)
		b.evidence.targetRuns += o.Requests
		return
	}
	b.old[route], b.oldTotal = sum(b.old[route], o), sum(b.oldTotal, o)
	if b.evidence.oldRoutes[route] == nil {
		b.evidence.oldRoutes[route] = &RouteOutcomes{}
	}
	*b.evidence.oldRoutes[route] = sum(*b.evidence.oldRoutes[route], o)
	b.evidence.oldTotal = sum(b.evidence.oldTotal, o)
}

func (b *bucket) addCold(o RouteOutcomes) {
	b.cold = sum(b.cold, o)
}

// Add returns the sum of two outcomes.
func (r RouteOutcomes) Add(o RouteOutcomes) RouteOutcomes {
	return RouteOutcomes{r.Requests + o.Requests, r.Failures + o.Failures, r.TotalTime + o.TotalTime}
}

func sum(a, b RouteOutcomes) RouteOutcomes {
	return a.Add(b)
}

// oldMeanTime returns the mean duration of a run of the old version.
func (e *evidence) oldMeanTime() time.Duration {
	if e.oldTotal.Requests == 0 {
		return 0
	}
	return e.oldTotal.TotalTime / time.Duration(e.oldTotal.Requests)
}

// verdict returns why the target version is bad, or an empty text. It judges each route and
// all together, over the whole time and over the last recentBuckets.
func (e *evidence) verdict(elapsed time.Duration) string {
	end := min(len(e.buckets), e.index(elapsed)+1-unjudgedBuckets)
	for _, start := range []int{0, max(0, end-recentBuckets)} {
		all, routes := comparison{}, map[string]*comparison{}
		for i := start; i < end; i++ {
			e.compare(i, &all, routes)
		}
		for route, c := range routes {
			if reason := c.verdict(); reason != "" {
				return fmt.Sprintf("route %q: %s", route, reason)
			}
		}
		if reason := all.verdict(); reason != "" {
			return "all routes: " + reason
		}
		if reason := e.turnedAwayVerdict(start, end); reason != "" {
			return "all routes: " + reason
		}
	}
	return ""
}

// compare adds the comparisons of the bucket i.
func (e *evidence) compare(i int, all *comparison, routes map[string]*comparison) {
	b := e.buckets[i]
	for route, o := range b.target {
		failureRate, seconds := e.expected(i, route)
		if routes[route] == nil {
			routes[route] = &comparison{}
		}
		for _, c := range []*comparison{all, routes[route]} {
			c.add(o, failureRate, seconds)
		}
	}
	if b.cold.Requests > 0 {
		// A cold server is slow in any case, so only failures count.
		failureRate, _ := e.expected(i, "")
		all.add(b.cold, failureRate, 0)
	}
}

// expected returns the failure rate and the mean duration, in seconds, of the old version's
// runs of a route, or of all routes if it is empty, near the bucket i; a duration of 0 stands for an unknown one. When the
// service degrades, the old version's outcomes before that do not count, so the higher value
// of two intervals is taken.
func (e *evidence) expected(i int, route string) (failureRate, seconds float64) {
	whole := e.oldTotal
	if route != "" {
		whole = RouteOutcomes{}
		if known := e.oldRoutes[route]; known != nil {
			whole = *known
		}
	}
	seconds = meanSeconds(whole)
	near := [][2]int{{i - nearBuckets, i + nearBuckets}, {i, i + 1}, {i, i + nearBuckets}, {i - recentBuckets, i + nearBuckets}}
	prior := smoothedRate(whole, priorFailureRate, priorRuns)
	for _, interval := range near {
		prior = max(prior, smoothedRate(e.oldBetween(interval[0], interval[1], ""), priorFailureRate, serviceRuns))
	}
	nearSeconds := 0.0
	for _, interval := range near {
		o := e.oldBetween(interval[0], interval[1], route)
		failureRate = max(failureRate, smoothedRate(o, prior, priorRuns))
		if o.Requests >= minNearRuns {
			nearSeconds = max(nearSeconds, meanSeconds(o))
		}
	}
	if nearSeconds > 0 {
		seconds = nearSeconds
	}
	return failureRate, seconds
}

// oldBetween sums the old version's outcomes of a route, or of all routes if it is empty, in
// the buckets first to last.
func (e *evidence) oldBetween(first, last int, route string) (o RouteOutcomes) {
	for i := max(0, first); i <= min(last, len(e.buckets)-1); i++ {
		if route == "" {
			o = sum(o, e.buckets[i].oldTotal)
		} else {
			o = sum(o, e.buckets[i].old[route])
		}
	}
	return o
}

// smoothedRate returns the failure rate of o, drawn towards prior with the weight of runs.
func smoothedRate(o RouteOutcomes, prior, runs float64) float64 {
	return (float64(o.Failures) + runs*prior) / (float64(o.Requests) + runs)
}

func (c *comparison) add(o RouteOutcomes, failureRate, seconds float64) {
	runs := float64(o.Requests)
	c.runs += runs
	c.failures += float64(o.Failures)
	c.expectedFailures += runs * failureRate
	if seconds > 0 {
		c.timedRuns += runs
		c.seconds += o.TotalTime.Seconds()
		c.expectedSeconds += runs * seconds
	}
}

// verdict returns why the compared outcomes are bad, or an empty text.
func (c *comparison) verdict() string {
	rate, expectedRate := c.failures/c.runs, c.expectedFailures/c.runs
	if c.failures >= minFailures && rate > minFailureRatio*expectedRate+minFailureExcess && poissonTail(c.failures, c.expectedFailures) < maxChance {
		return fmt.Sprintf("%.0f of %.0f runs failed, %.1f expected", c.failures, c.runs, c.expectedFailures)
	}
	limit := max(minSlowRatio, 1+slowRatioSpread/math.Sqrt(c.timedRuns))
	if c.timedRuns >= minTimedRuns && c.seconds > limit*c.expectedSeconds {
		return fmt.Sprintf("%.0f runs took %.1f times as long as those of the old version", c.timedRuns, c.seconds/c.expectedSeconds)
	}
	return ""
}

// poissonTail returns the chance of at least count events where mean are expected.
func poissonTail(count, mean float64) float64 {
	term, tail := math.Exp(-mean), 1.0
	for k := 0.0; k < count; k++ {
		tail -= term
		term *= mean / (k + 1)
	}
	if tail > 1e-9 {
		return tail
	}
	// The difference from 1 is lost in rounding, so the tail itself is summed up.
	tail = 0
	for k := count; k < count+100; k++ {
		tail += term
		term *= mean / (k + 1)
	}
	return tail
}

func meanSeconds(o RouteOutcomes) float64 {
	if o.Requests == 0 {
		return 0
	}
	return o.TotalTime.Seconds() / float64(o.Requests)
}
