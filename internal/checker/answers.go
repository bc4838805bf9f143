package checker

import (
	"fmt"
	"net/http"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// idempotencyKeyUse identifies an idempotency key of a customer at a service.
type idempotencyKeyUse struct {
	customer, service, key string
}

// checkAtMostOnce finds non-idempotent requests that ran more than once.
func checkAtMostOnce(x *historyIndex, _ Bounds) (found []string) {
	keys := map[idempotencyKeyUse]int{}
	for attemptID, executions := range x.executionsByAttempt {
		n := 0
		for _, e := range executions {
			if e.Idempotent || !mayHaveRun(e) {
				continue
			}
			n++
			if e.IdempotencyKey != "" && recorder.IsRoot(e.ChainPath) {
				keys[idempotencyKeyUse{e.Customer, e.Service, e.IdempotencyKey}]++
			}
		}
		if n > 1 && attemptID != "" {
			found = append(found, fmt.Sprintf("request %s ran %d times", attemptID, n))
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

// checkNotRun finds requests that ran although they were refused as not run.
func checkNotRun(x *historyIndex, _ Bounds) (found []string) {
	for _, c := range x.Calls {
		if c.Outcome != recorder.CallRefused || c.Ran != exchanger.RanNo {
			continue
		}
		if executions := x.executionsByAttempt[c.AttemptID]; len(executions) > 0 {
			found = append(found, fmt.Sprintf("request %s, refused for %q as not run, reached server %q",
				c.AttemptID, c.Reason, executions[0].Server))
		}
	}
	return found
}

// checkWholeAnswer finds answers that are incomplete or belong to another
// request.
func checkWholeAnswer(x *historyIndex, _ Bounds) (found []string) {
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
