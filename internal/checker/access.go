package checker

import (
	"fmt"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

// checkKeyHidden finds executions whose backend server received a caller's
// key.
func checkKeyHidden(x *historyIndex, _ Bounds) (found []string) {
	for _, e := range x.Executions {
		if e.ContainsCallerKey {
			found = append(found, fmt.Sprintf("request %s exposed a key to server %q", e.AttemptID, e.Server))
		}
	}
	return found
}

// checkKeyWithdrawn finds requests that ran with a key more than
// MaxKeyWithdrawal after its withdrawal.
func checkKeyWithdrawn(x *historyIndex, b Bounds) (found []string) {
	for _, s := range x.intervals(recorder.EventKeyWithdrawn, recorder.EventKeyIssued) {
		deadline := s.from.Add(b.MaxKeyWithdrawal)
		for _, c := range x.Calls {
			if c.KeyLabel != s.name {
				continue
			}
			for _, e := range x.executionsByAttempt[c.AttemptID] {
				if s.containsFrom(e.Start, deadline) {
					found = append(found, fmt.Sprintf("request %s ran %s after key %q was withdrawn",
						c.AttemptID, e.Start.Sub(s.from), s.name))
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
		if e.ChainPath == "" {
			continue
		}
		c, known := x.callByAttempt[recorder.RootAttemptID(e.ChainPath)]
		switch {
		case !known:
			found = append(found, fmt.Sprintf("server %q ran request %s, which no caller sent", e.Server, e.AttemptID))
		case c.Customer == "" && !c.AllowAnonymous:
			found = append(found, fmt.Sprintf("request %s ran without a valid key", e.AttemptID))
		case e.Customer != c.Customer && (!c.AllowAnonymous || e.Customer != ""):
			found = append(found, fmt.Sprintf("request %s of customer %q ran for %q", e.AttemptID, c.Customer, e.Customer))
		}
	}
	return found
}
