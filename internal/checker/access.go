package checker

import (
	"fmt"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

// keyHidden finds executions whose server saw a caller's key.
func keyHidden(x *index, _ Bounds) (found []string) {
	for _, e := range x.Executions {
		if e.KeySeen {
			found = append(found, fmt.Sprintf("request %s showed a key to server %q", e.Send, e.Server))
		}
	}
	return found
}

// keyWithdrawn finds requests that ran for a key long after its withdrawal.
func keyWithdrawn(x *index, b Bounds) (found []string) {
	for _, s := range x.spans(recorder.OperationKeyWithdrawn, recorder.OperationKeyIssued) {
		grace := s.from.Add(b.MaxKeyWithdrawal)
		for _, c := range x.Calls {
			if c.Key != s.name {
				continue
			}
			for _, e := range x.bySend[c.Send] {
				if s.holds(e.Start, grace) {
					found = append(found, fmt.Sprintf("request %s ran %s after key %q was withdrawn",
						c.Send, e.Start.Sub(s.from), s.name))
				}
			}
		}
	}
	return found
}

// rightCustomer finds executions for another customer than the key's.
func rightCustomer(x *index, _ Bounds) (found []string) {
	for _, e := range x.Executions {
		if e.Chain == "" {
			continue
		}
		c, known := x.calls[recorder.Root(e.Chain)]
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
