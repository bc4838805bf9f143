package checker

import (
	"fmt"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

// checkKeyHidden finds executions whose backend server received a caller's
// key.
func checkKeyHidden(x *historyIndex, _ Bounds) (found []string) {
	for _, e := range x.Executions {
		if e.KeySeen {
			found = append(found, fmt.Sprintf("request %s exposed a key to server %q", e.Send, e.Server))
		}
	}
	return found
}

// checkKeyWithdrawn finds requests that ran with a key more than
// MaxKeyWithdrawal after its withdrawal.
func checkKeyWithdrawn(x *historyIndex, b Bounds) (found []string) {
	for _, s := range x.intervals(recorder.OperationKeyWithdrawn, recorder.OperationKeyIssued) {
		deadline := s.from.Add(b.MaxKeyWithdrawal)
		for _, c := range x.Calls {
			if c.Key != s.name {
				continue
			}
			for _, e := range x.executionsByAttempt[c.Send] {
				if s.containsFrom(e.Start, deadline) {
					found = append(found, fmt.Sprintf("request %s ran %s after key %q was withdrawn",
						c.Send, e.Start.Sub(s.from), s.name))
				}
			}
		}
	}
	return found
}

// checkRightCustomer finds executions for a customer that does not own the
// request's key.
func checkRightCustomer(x *historyIndex, _ Bounds) (found []string) {
	for _, e := range x.Executions {
		if e.Chain == "" {
			continue
		}
		c, known := x.callByAttempt[recorder.Root(e.Chain)]
		switch {
		case !known:
			found = append(found, fmt.Sprintf("server %q ran request %s, which no caller sent", e.Server, e.Send))
		case c.Customer == "" && !c.Open:
			found = append(found, fmt.Sprintf("request %s ran without a valid key", e.Send))
		case e.Customer != c.Customer && (!c.Open || e.Customer != ""):
			found = append(found, fmt.Sprintf("request %s of customer %q ran for %q", e.Send, c.Customer, e.Customer))
		}
	}
	return found
}
