package flamingotack

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/limiter"
	"github.com/flamingotack/flamingotack/internal/relayer"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 2 * time.Second
)

// probe asks the backend server for its own word, which only ever lowers what
// it gets. An error says nothing: what requests meet says more.
func (n *Node) probe(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		n.probeOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := n.edges.Backend.Health(ctx)
	if err != nil {
		return
	}
	n.guard.hint(health)
}

// hint takes the backend server's own word.
func (g *guard) hint(h relayer.Health) {
	if g.said().Draining != h.Draining {
		g.node.edges.Logger.Named("guard").Infof("The backend server says draining %v.", h.Draining)
	}
	g.health.Store(&h)
	g.gate.SetHint(limiter.Hint{
		Ready:        h.Ready || h.Draining,
		Cold:         h.Cold,
		LoadFraction: h.Load,
		Slots:        h.Slots,
	})
}
