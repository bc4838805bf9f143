package checker

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

type (
	// index finds the parts of a history.
	index struct {
		recorder.History
		calls  map[string]*recorder.Call
		bySend map[string][]*recorder.Execution
	}

	// span is a time from an operation to the one that ends it.
	span struct {
		name string
		from time.Time
		// to is zero when nothing ended it.
		to time.Time
	}
)

func newIndex(h recorder.History) *index {
	x := &index{
		History: h,
		calls:   make(map[string]*recorder.Call, len(h.Calls)),
		bySend:  make(map[string][]*recorder.Execution, len(h.Executions)),
	}
	for i := range h.Calls {
		x.calls[h.Calls[i].AttemptID] = &h.Calls[i]
	}
	for i := range h.Executions {
		e := &h.Executions[i]
		x.bySend[e.AttemptID] = append(x.bySend[e.AttemptID], e)
	}
	return x
}

// disturbed tells whether a fault lay between two times.
func (x *index) disturbed(from, to time.Time) bool {
	for _, s := range x.spans(recorder.EventFaultStart, recorder.EventFaultEnd) {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// grace returns when new work must have ended after an operation.
func (x *index) grace(at time.Time, b Bounds) time.Time {
	if x.disturbed(at, at.Add(b.Leave)) {
		return at.Add(b.Disturbed)
	}
	return at.Add(b.Leave)
}

// spans returns the times between each begin and the next end of the same
// name.
func (x *index) spans(begin, end recorder.EventKind) (found []span) {
	open := map[string]int{}
	for _, e := range x.Events {
		i, isOpen := open[e.Name]
		switch {
		case e.Kind == begin && !isOpen:
			open[e.Name] = len(found)
			found = append(found, span{name: e.Name, from: e.At})
		case e.Kind == end && isOpen:
			found[i].to = e.At
			delete(open, e.Name)
		}
	}
	return found
}

// ran tells whether the server worked on the request, or may have.
func ran(e *recorder.Execution) bool {
	return e.Outcome != recorder.ExecutionRefused
}

// holds tells whether at lies in the span, from the end of its grace on.
func (s span) holds(at, grace time.Time) bool {
	return at.After(grace) && (s.to.IsZero() || at.Before(s.to))
}
