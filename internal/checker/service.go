package checker

import (
	"fmt"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// domainOut finds new work in a failure domain that is out.
func domainOut(x *index, b Bounds) (found []string) {
	for _, s := range x.spans(recorder.EventDomainOutOfService, recorder.EventDomainInService) {
		grace := x.grace(s.from, b)
		for _, e := range x.Executions {
			if e.Domain == s.name && s.holds(e.Start, grace) {
				found = append(found, fmt.Sprintf("server %q of failure domain %q got request %s, %s after it was taken out",
					e.Server, s.name, e.AttemptID, e.Start.Sub(s.from)))
			}
		}
	}
	return found
}

// inForce finds nodes whose configuration went back or came too late.
func inForce(x *index, b Bounds) (found []string) {
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
				found = append(found, fmt.Sprintf("node %q went back from version %d to %d", e.Name, seen[e.Name], e.ConfigVersion))
			}
			seen[e.Name] = e.ConfigVersion
			found = append(found, late(accepted, started[e.Name], e, b)...)
		}
	}
	return found
}

// late finds accepted versions that a node should have had when it was seen.
func late(accepted []recorder.Event, started time.Time, seen recorder.Event, b Bounds) (found []string) {
	for _, a := range accepted {
		since := a.At
		if started.After(since) {
			since = started
		}
		if seen.ConfigVersion < a.ConfigVersion && seen.At.Sub(since) > b.InForce {
			found = append(found, fmt.Sprintf("node %q still had version %d %s after %d was accepted",
				seen.Name, seen.ConfigVersion, seen.At.Sub(a.At), a.ConfigVersion))
		}
	}
	return found
}

// leaving finds new work at a server that is out, drains or stops.
func leaving(x *index, b Bounds) (found []string) {
	spans := x.spans(recorder.EventServerOutOfService, recorder.EventServerInService)
	spans = append(spans, x.spans(recorder.EventNodeStopRequested, recorder.EventNodeStarted)...)
	for _, s := range spans {
		grace := x.grace(s.from, b)
		for _, e := range x.Executions {
			if e.Server == s.name && s.holds(e.Start, grace) {
				found = append(found, fmt.Sprintf("server %q got request %s, %s after it began to leave",
					e.Server, e.AttemptID, e.Start.Sub(s.from)))
			}
		}
	}
	for _, e := range x.Executions {
		if e.State == recorder.ServerStateDraining && e.Start.After(x.grace(e.StateSince, b)) {
			found = append(found, fmt.Sprintf("server %q got request %s, %s after it began to drain",
				e.Server, e.AttemptID, e.Start.Sub(e.StateSince)))
		}
	}
	return found
}

// plannedStop finds requests that a planned stop cut.
func plannedStop(x *index, _ Bounds) (found []string) {
	for _, s := range x.spans(recorder.EventNodeStopRequested, recorder.EventNodeStopped) {
		for _, c := range x.Calls {
			if c.Node == s.name && c.Outcome == recorder.CallConnectionLost && s.overlaps(c.Start, c.Finish) {
				found = append(found, fmt.Sprintf("the stop of node %q cut the connection of request %s", s.name, c.AttemptID))
			}
		}
		for _, e := range x.Executions {
			if e.Server == s.name && s.overlaps(e.Start, e.Finish) && x.cut(e) {
				found = append(found, fmt.Sprintf("the stop of node %q cut request %s", s.name, e.AttemptID))
			}
		}
	}
	return found
}

// cut tells whether the system ended an execution that its caller still
// waited for.
func (x *index) cut(e recorder.Execution) bool {
	if e.Outcome != recorder.ExecutionCanceled && e.Outcome != recorder.ExecutionRunning {
		return false
	}
	c, known := x.calls[e.AttemptID]
	if !known || c.Outcome != recorder.CallRefused || c.Ran != exchanger.RanUnknown {
		return false
	}
	return c.Reason != exchanger.ReasonDeadline && c.Reason != exchanger.ReasonCanceled
}

// overlaps tells whether a time from start to finish meets the span.
func (s span) overlaps(start, finish time.Time) bool {
	if !finish.IsZero() && finish.Before(s.from) {
		return false
	}
	return s.to.IsZero() || start.Before(s.to)
}
