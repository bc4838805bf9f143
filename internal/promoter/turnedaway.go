package promoter

import "fmt"

const (
	// TurnedAwayRoute stands, among the routes of a report, for the requests that a warm server
	// has turned away as not executed. They are not counted in their own routes, as their
	// times say nothing.
	TurnedAwayRoute = "(turned away)"

	// minTurnedAway is the least number of requests turned away by a version that is rolled
	// back, and minTurnedAwayExcess and minTurnedAwayRatio are by how much their rate must
	// exceed that of the old version. The bounds are wide, as nodes send such requests to other
	// servers, and servers turn some away while the limits of their nodes adapt.
	minTurnedAway       = 10
	minTurnedAwayExcess = 0.2
	minTurnedAwayRatio  = 2.0
)

// turnedAwayVerdict returns why the target version is bad for the requests that it turned away in
// the buckets from start to end, end excluded, or an empty text. A service that is full as a whole
// turns away requests on both versions.
func (e *evidence) turnedAwayVerdict(start, end int) string {
	runs, turnedAway, expected := 0.0, 0.0, 0.0
	for i := start; i < end; i++ {
		b := e.buckets[i]
		all := float64(b.targetTurnedAway)
		for _, o := range b.target {
			all += float64(o.Requests)
		}
		runs += all
		turnedAway += float64(b.targetTurnedAway)
		if all > 0 {
			expected += all * e.oldTurnedAwayRate(i)
		}
	}
	if turnedAway >= minTurnedAway && turnedAway > minTurnedAwayRatio*expected+minTurnedAwayExcess*runs {
		return fmt.Sprintf("%.0f of %.0f requests were turned away, %.1f expected", turnedAway, runs, expected)
	}
	return ""
}

// oldTurnedAwayRate returns the rate of requests that the old version turned away near the bucket i,
// the higher one of two intervals.
func (e *evidence) oldTurnedAwayRate(i int) (rate float64) {
	for _, first := range []int{i - nearBuckets, i - recentBuckets} {
		turnedAway, runs := 0.0, 0.0
		for j := max(0, first); j <= min(i+nearBuckets, len(e.buckets)-1); j++ {
			b := e.buckets[j]
			turnedAway += float64(b.oldTurnedAway)
			runs += float64(b.oldTurnedAway + b.oldTotal.Requests)
		}
		if runs > 0 {
			rate = max(rate, turnedAway/runs)
		}
	}
	return rate
}
