package checker

import (
	"fmt"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// checkDomainOutOfService finds new work in a failure domain that is out of
// service.
func checkDomainOutOfService(x *historyIndex, b Bounds) (found []string) {
	for _, s := range x.intervals(recorder.EventDomainOutOfService, recorder.EventDomainInService) {
		deadline := x.leaveDeadline(s.from, b)
		for _, e := range x.Executions {
			if e.Domain == s.name && s.containsFrom(e.Start, deadline) {
				found = append(found, fmt.Sprintf("server %q of failure domain %q got request %s, %s after it was taken out",
					e.Server, s.name, e.AttemptID, e.Start.Sub(s.from)))
			}
		}
	}
	return found
}

// checkConfigInForce finds nodes whose configuration reverted to an older
// version or was updated too late.
func checkConfigInForce(x *historyIndex, b Bounds) (found []string) {
	seen := map[string]uint64{}
	started := map[string]time.Time{}
	var accepted []recorder.Event
	for _, e := range x.Events {
		switch e.Kind {
		case recorder.EventConfigAccepted:
			accepted = append(accepted, e)
		case recorder.EventNodeStarted:
			started[e.Name] = e.At
			delete(seen, e.Name)
		case recorder.EventConfigInForce:
			if e.ConfigVersion < seen[e.Name] {
				found = append(found, fmt.Sprintf("node %q reverted from version %d to %d", e.Name, seen[e.Name], e.ConfigVersion))
			}
			seen[e.Name] = e.ConfigVersion
			found = append(found, lateVersions(accepted, started[e.Name], e, b)...)
		}
	}
	return found
}

// lateVersions finds accepted versions that should have been in force on a
// node at the time of a report.
func lateVersions(accepted []recorder.Event, started time.Time, report recorder.Event, b Bounds) (found []string) {
	for _, a := range accepted {
		since := a.At
		if started.After(since) {
			since = started
		}
		if report.ConfigVersion < a.ConfigVersion && report.At.Sub(since) > b.MaxConfigDelay {
			found = append(found, fmt.Sprintf("node %q still had version %d %s after %d was accepted",
				report.Name, report.ConfigVersion, report.At.Sub(a.At), a.ConfigVersion))
		}
	}
	return found
}

// checkLeavingServer finds new work at a server that is out of service, drains
// or stops.
func checkLeavingServer(x *historyIndex, b Bounds) (found []string) {
	intervals := x.intervals(recorder.EventServerOutOfService, recorder.EventServerInService)
	intervals = append(intervals, x.intervals(recorder.EventNodeStopRequested, recorder.EventNodeStarted)...)
	for _, s := range intervals {
		deadline := x.leaveDeadline(s.from, b)
		for _, e := range x.Executions {
			if e.Server == s.name && s.containsFrom(e.Start, deadline) {
				found = append(found, fmt.Sprintf("server %q got request %s, %s after it began to leave",
					e.Server, e.AttemptID, e.Start.Sub(s.from)))
			}
		}
	}
	for _, e := range x.Executions {
		if e.State == recorder.ServerStateDraining && e.Start.After(x.leaveDeadline(e.StateSince, b)) {
			found = append(found, fmt.Sprintf("server %q got request %s, %s after it began to drain",
				e.Server, e.AttemptID, e.Start.Sub(e.StateSince)))
		}
	}
	return found
}

// checkPlannedStop finds requests that were cut by a planned stop.
func checkPlannedStop(x *historyIndex, _ Bounds) (found []string) {
	for _, s := range x.intervals(recorder.EventNodeStopRequested, recorder.EventNodeStopped) {
		for _, c := range x.Calls {
			if c.Node == s.name && c.Outcome == recorder.CallConnectionLost && s.overlaps(c.Start, c.Finish) {
				found = append(found, fmt.Sprintf("the stop of node %q cut the connection of request %s", s.name, c.AttemptID))
			}
		}
		for _, e := range x.Executions {
			if e.Server == s.name && s.overlaps(e.Start, e.Finish) && x.isCutByStop(e) {
				found = append(found, fmt.Sprintf("the stop of node %q cut request %s", s.name, e.AttemptID))
			}
		}
	}
	return found
}

// isCutByStop reports whether the system ended an execution while its caller
// was waiting for the answer.
func (x *historyIndex) isCutByStop(e recorder.Execution) bool {
	if e.Outcome != recorder.ExecutionCanceled && e.Outcome != recorder.ExecutionRunning {
		return false
	}
	c, known := x.callByAttempt[e.AttemptID]
	if !known || c.Outcome != recorder.CallRefused || c.Ran != exchanger.RanUnknown {
		return false
	}
	return c.Reason != exchanger.ReasonDeadline && c.Reason != exchanger.ReasonCanceled
}

// overlaps reports whether the time from start to finish overlaps the
// interval.
func (s interval) overlaps(start, finish time.Time) bool {
	if !finish.IsZero() && finish.Before(s.from) {
		return false
	}
	return s.to.IsZero() || start.Before(s.to)
}
