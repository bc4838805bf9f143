package linker

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/promoter"
	"github.com/flamingotack/flamingotack/internal/releaser"
)

// TestRolloutMessagesSurviveTheWire guards against reports and decisions that arrive changed.
func TestRolloutMessagesSurviveTheWire(t *testing.T) {
	report := releaser.Report{
		NodeReport: promoter.NodeReport{
			Node: "n", Incarnation: "n-1", Version: "v2", Started: 7, Busy: true,
			Routes: map[string]promoter.RouteOutcomes{"r": {Requests: 4, Failures: 1, TotalTime: time.Second}},
			Cold:   promoter.RouteOutcomes{Requests: 2, TotalTime: time.Minute},
		},
		Service: "s", Order: releaser.OrderID{Era: 1, Revision: 9}, Age: 3 * time.Second,
	}
	if got, err := toReport(fromReports([]releaser.Report{report})[0]); err != nil || !reflect.DeepEqual(got, report) {
		t.Errorf("got report %+v and error %v, want %+v", got, err, report)
	}
	decision := releaser.Decision{
		Service: "s", Order: releaser.OrderID{Era: 1, Revision: 9}, TargetVersion: "v2", State: promoter.StateRunning,
		Share: 0.3, MaxRequests: math.MaxUint64, Sequence: 5, Decider: "d", ValidFor: time.Second,
	}
	if got, err := toDecision(fromDecision(decision)); err != nil || got != decision {
		t.Errorf("got decision %+v and error %v, want %+v", got, err, decision)
	}
}

// TestOddRolloutMessagesAreDiscarded guards against numbers from other nodes that raise the share
// or break the comparison of versions.
func TestOddRolloutMessagesAreDiscarded(t *testing.T) {
	for name, change := range map[string]func(d *framer.RolloutDecision){
		"no service":     func(d *framer.RolloutDecision) { d.Service = "" },
		"no decider":     func(d *framer.RolloutDecision) { d.Decider = "" },
		"unknown state":  func(d *framer.RolloutDecision) { d.State = "done" },
		"share above 1":  func(d *framer.RolloutDecision) { d.Share = 1.5 },
		"share below 0":  func(d *framer.RolloutDecision) { d.Share = -0.5 },
		"share not real": func(d *framer.RolloutDecision) { d.Share = math.NaN() },
	} {
		d := &framer.RolloutDecision{Service: "s", Decider: "d", State: "running"}
		change(d)
		if _, err := toDecision(d); err == nil {
			t.Errorf("decision with %s: got no error, want one", name)
		}
	}
	for name, r := range map[string]*framer.RolloutReport{
		"no node":                     {Service: "s"},
		"no service":                  {Node: "n"},
		"more failures than requests": {Service: "s", Node: "n", Routes: []*framer.RouteOutcomes{{Route: "r", Requests: 1, Failures: 2}}},
		"too many routes":             {Service: "s", Node: "n", Routes: make([]*framer.RouteOutcomes, maxReportedRoutes+1)},
	} {
		if _, err := toReport(r); err == nil {
			t.Errorf("report with %s: got no error, want one", name)
		}
	}
	odd := &framer.RolloutReport{Service: "s", Node: "n", Routes: []*framer.RouteOutcomes{{TotalMicros: -5}, {TotalMicros: math.MaxInt64}}}
	if r, err := toReport(odd); err != nil || r.Age != 0 || r.Cold.TotalTime < 0 {
		t.Errorf("got age %s, time %s and error %v, want both times from 0 on", r.Age, r.Cold.TotalTime, err)
	}
}
