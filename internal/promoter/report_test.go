package promoter

import (
	"testing"
	"time"
)

// TestOlderReportsAreDropped guards against outcomes that are counted again because a report that
// was relayed arrives after a newer one, which rolled good versions back.
func TestOlderReportsAreDropped(t *testing.T) {
	start := time.Unix(1000, 0)
	p := New(start, Order{Service: "shop", TargetVersion: "v2", Duration: 10 * time.Second}, testBounds)
	report := func(ended, failures, cold uint64) NodeReport {
		return NodeReport{Node: "a", Version: "v2", Started: 110, Cold: RouteOutcomes{Requests: cold}, Routes: map[string]RouteOutcomes{
			"r": {Requests: ended, Failures: failures, TotalTime: time.Duration(ended) * 10 * time.Millisecond},
		}}
	}
	for i := range 10 {
		now := start.Add(time.Duration(i) * reportInterval)
		p.Report(now, report(100, 1, 9))
		p.Report(now, report(99, 1, 9))
		p.Report(now, report(100, 1, 8))
	}
	if got := p.evidence.targetRuns; got != 100 {
		t.Errorf("got %d runs on the target version, want 100", got)
	}
	if got := difference(RouteOutcomes{Requests: 3}, RouteOutcomes{Requests: 4}); got != (RouteOutcomes{}) {
		t.Errorf("got %v added by an earlier sum, want nothing", got)
	}
}
