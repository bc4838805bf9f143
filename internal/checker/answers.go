package checker

import (
	"fmt"
	"net/http"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// keyUse is one idempotency key of a customer at a service.
type keyUse struct {
	customer, service, key string
}

// atMostOnce finds non-idempotent requests that ran more than once.
func atMostOnce(x *index, _ Bounds) (found []string) {
	keys := map[keyUse]int{}
	for send, executions := range x.bySend {
		n := 0
		for _, e := range executions {
			if e.Idempotent || !ran(e) {
				continue
			}
			n++
			if e.IdempotencyKey != "" && recorder.IsRoot(e.ChainPath) {
				keys[keyUse{e.Customer, e.Service, e.IdempotencyKey}]++
			}
		}
		if n > 1 && send != "" {
			found = append(found, fmt.Sprintf("request %s ran %d times", send, n))
		}
	}
	for use, n := range keys {
		if n > 1 {
			found = append(found, fmt.Sprintf("customer %q's idempotency key %q ran %d times at service %q",
				use.customer, use.key, n, use.service))
		}
	}
	return found
}

// notRun finds refusals that deny an execution.
func notRun(x *index, _ Bounds) (found []string) {
	for _, c := range x.Calls {
		if c.Outcome != recorder.CallRefused || c.Ran != exchanger.RanNo {
			continue
		}
		if executions := x.bySend[c.AttemptID]; len(executions) > 0 {
			found = append(found, fmt.Sprintf("request %s, refused for %q as not run, reached server %q",
				c.AttemptID, c.Reason, executions[0].Server))
		}
	}
	return found
}

// wholeAnswer finds answers that are broken or another request's.
func wholeAnswer(x *index, _ Bounds) (found []string) {
	for _, c := range x.Calls {
		if c.Outcome != recorder.CallAnswered || c.Status >= http.StatusBadRequest {
			continue
		}
		if !c.AnswerComplete {
			found = append(found, fmt.Sprintf("request %s got a broken answer", c.AttemptID))
			continue
		}
		own := c.AnswerChainPath == c.ChainPath
		replayed := c.IdempotencyKey != "" && recorder.LogicalRequest(c.AnswerChainPath) == recorder.LogicalRequest(c.ChainPath)
		if !own && !replayed {
			found = append(found, fmt.Sprintf("request %s got the answer of %s", c.AttemptID, c.AnswerChainPath))
		}
	}
	return found
}
