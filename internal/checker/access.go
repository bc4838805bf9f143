package checker

import (
	"fmt"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

// keyHidden finds executions whose server saw a caller's key.
func keyHidden(x *index, _ Bounds) (found []string) {
	for _, e := range x.Executions {
		if e.ContainsCallerKey {
			found = append(found, fmt.Sprintf("request %s showed a key to server %q", e.AttemptID, e.Server))
		}
	}
	return found
}

// keyWithdrawn finds requests that ran for a key long after its withdrawal.
func keyWithdrawn(x *index, b Bounds) (found []string) {
	for _, s := range x.spans(recorder.EventKeyWithdrawn, recorder.EventKeyIssued) {
		grace := s.from.Add(b.Withdrawal)
		for _, c := range x.Calls {
			if c.KeyLabel != s.name {
				continue
			}
			for _, e := range x.bySend[c.AttemptID] {
				if s.holds(e.Start, grace) {
					found = append(found, fmt.Sprintf("request %s ran %s after key %q was withdrawn",
						c.AttemptID, e.Start.Sub(s.from), s.name))
				}
			}
		}
	}
	return found
}

// rightCustomer finds executions for another customer than the key's.
func rightCustomer(x *index, _ Bounds) (found []string) {
	for _, e := range x.Executions {
		if e.ChainPath == "" {
			continue
		}
		c, known := x.calls[recorder.RootAttemptID(e.ChainPath)]
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
