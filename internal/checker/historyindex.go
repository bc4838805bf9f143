package checker

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

type (
	// historyIndex is a history with indexes by attempt.
	historyIndex struct {
		recorder.History
		callByAttempt       map[string]*recorder.Call
		executionsByAttempt map[string][]*recorder.Execution
	}

	// interval is the time from an event to the event that ends it.
	interval struct {
		name string
		from time.Time
		// to is zero if no event ended the interval.
		to time.Time
	}
)

func newHistoryIndex(h recorder.History) *historyIndex {
	x := &historyIndex{
		History:             h,
		callByAttempt:       make(map[string]*recorder.Call, len(h.Calls)),
		executionsByAttempt: make(map[string][]*recorder.Execution, len(h.Executions)),
	}
	for i := range h.Calls {
		x.callByAttempt[h.Calls[i].AttemptID] = &h.Calls[i]
	}
	for i := range h.Executions {
		e := &h.Executions[i]
		x.executionsByAttempt[e.AttemptID] = append(x.executionsByAttempt[e.AttemptID], e)
	}
	return x
}

// hasFault reports whether a fault was active between two times.
func (x *historyIndex) hasFault(from, to time.Time) bool {
	for _, s := range x.intervals(recorder.EventFaultStart, recorder.EventFaultEnd) {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// leaveDeadline returns the time from which a server or failure domain that
// leaves service at a time must get no new work.
func (x *historyIndex) leaveDeadline(at time.Time, b Bounds) time.Time {
	if x.hasFault(at, at.Add(b.MaxLeave)) {
		return at.Add(b.MaxLeaveDuringFault)
	}
	return at.Add(b.MaxLeave)
}

// intervals returns the intervals between each begin and the next end with the
// same name.
func (x *historyIndex) intervals(begin, end recorder.EventKind) (found []interval) {
	open := map[string]int{}
	for _, e := range x.Events {
		i, isOpen := open[e.Name]
		switch {
		case e.Kind == begin && !isOpen:
			open[e.Name] = len(found)
			found = append(found, interval{name: e.Name, from: e.At})
		case e.Kind == end && isOpen:
			found[i].to = e.At
			delete(open, e.Name)
		}
	}
	return found
}

// mayHaveRun reports whether the server worked on the request or may have.
func mayHaveRun(e *recorder.Execution) bool {
	return e.Outcome != recorder.ExecutionRefused
}

// containsFrom reports whether at is in the interval and after start.
func (s interval) containsFrom(at, start time.Time) bool {
	return at.After(start) && (s.to.IsZero() || at.Before(s.to))
}
