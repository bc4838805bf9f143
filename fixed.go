package flamingotack

import (
	"context"
	"net/http"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/indexer"
)

// handleFixed is the baseline policy: it picks nodes at random, and each hop
// retries a refused call as often as a whole call chain may under the adaptive
// policy.
func (f *routingFilter) handleFixed(ctx context.Context, r *exchanger.Request, index *indexer.Index, maxRetries int) (*exchanger.Answer, error) {
	var final *exchanger.Refusal
	for range 1 + maxRetries {
		answer, err := f.sendFixed(ctx, r, index)
		if err == nil {
			return answer, nil
		}
		refusal := exchanger.AsRefusal(err)
		if final == nil || final.Ran == exchanger.RanNo {
			final = refusal
		}
		if refusal.Ran != exchanger.RanNo && !r.Idempotent || ctx.Err() != nil {
			break
		}
	}
	return nil, final
}

func (f *routingFilter) sendFixed(ctx context.Context, r *exchanger.Request, index *indexer.Index) (*exchanger.Answer, error) {
	f.mu.Lock()
	nodes := f.serviceNodes(index, r.Service)
	if len(nodes.candidates) == 0 {
		f.mu.Unlock()
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonNoServer, "service %q has no backend server in service", r.Service)
	}
	picked := nodes.candidates[f.random.IntN(len(nodes.candidates))]
	f.mu.Unlock()
	return f.send(ctx, nodes.membersByName[picked.Name], r)
}
