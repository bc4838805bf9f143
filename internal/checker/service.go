package checker

import (
	"fmt"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// domainOut finds new work in a failure domain that is out.
func domainOut(x *index, b Bounds) (found []string) {
	for _, s := range x.spans(recorder.OperationDomainOut, recorder.OperationDomainIn) {
		grace := x.grace(s.from, b)
		for _, e := range x.Executions {
			if e.Domain == s.name && s.holds(e.Start, grace) {
				found = append(found, fmt.Sprintf("server %q of failure domain %q got request %s, %s after it was taken out",
					e.Server, s.name, e.Send, e.Start.Sub(s.from)))
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
		switch e.Operation {
		case recorder.OperationAccepted:
			accepted = append(accepted, e)
		case recorder.OperationStart:
			started[e.Name] = e.At
			delete(seen, e.Name)
		case recorder.OperationInForce:
			if e.Version < seen[e.Name] {
				found = append(found, fmt.Sprintf("node %q went back from version %d to %d", e.Name, seen[e.Name], e.Version))
			}
			seen[e.Name] = e.Version
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
		if seen.Version < a.Version && seen.At.Sub(since) > b.MaxConfigDelay {
			found = append(found, fmt.Sprintf("node %q still had version %d %s after %d was accepted",
				seen.Name, seen.Version, seen.At.Sub(a.At), a.Version))
		}
	}
	return found
}

// leaving finds new work at a server that is out, drains or stops.
func leaving(x *index, b Bounds) (found []string) {
	spans := x.spans(recorder.OperationServerOut, recorder.OperationServerIn)
	spans = append(spans, x.spans(recorder.OperationStop, recorder.OperationStart)...)
	for _, s := range spans {
		grace := x.grace(s.from, b)
		for _, e := range x.Executions {
			if e.Server == s.name && s.holds(e.Start, grace) {
				found = append(found, fmt.Sprintf("server %q got request %s, %s after it began to leave",
					e.Server, e.Send, e.Start.Sub(s.from)))
			}
		}
	}
	for _, e := range x.Executions {
		if e.State == recorder.StateDraining && e.Start.After(x.grace(e.Since, b)) {
			found = append(found, fmt.Sprintf("server %q got request %s, %s after it began to drain",
				e.Server, e.Send, e.Start.Sub(e.Since)))
		}
	}
	return found
}

// plannedStop finds requests that a planned stop cut.
func plannedStop(x *index, _ Bounds) (found []string) {
	for _, s := range x.spans(recorder.OperationStop, recorder.OperationStopped) {
		for _, c := range x.Calls {
			if c.Node == s.name && c.Outcome == recorder.OutcomeCut && s.overlaps(c.Start, c.Finish) {
				found = append(found, fmt.Sprintf("the stop of node %q cut the connection of request %s", s.name, c.Send))
			}
		}
		for _, e := range x.Executions {
			if e.Server == s.name && s.overlaps(e.Start, e.Finish) && x.cut(e) {
				found = append(found, fmt.Sprintf("the stop of node %q cut request %s", s.name, e.Send))
			}
		}
	}
	return found
}

// cut tells whether the system ended an execution that its caller still
// waited for.
func (x *index) cut(e recorder.Execution) bool {
	if e.End != recorder.EndCanceled && e.End != recorder.EndRunning {
		return false
	}
	c, known := x.calls[e.Send]
	if !known || c.Outcome != recorder.OutcomeRefused || c.Ran != exchanger.RanUnknown {
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
