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

// probeBackend polls the health that the backend server reports. The report
// can only reduce the load that the server gets. Errors are ignored, because
// the outcomes of requests say more.
func (n *Node) probeBackend(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		n.probeBackendOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) probeBackendOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := n.dependencies.Backend.Health(ctx)
	if err != nil {
		return
	}
	n.guard.applyHealth(health)
}

// applyHealth applies the health that the backend server reported.
func (g *guard) applyHealth(health relayer.Health) {
	if g.lastHealth().Draining != health.Draining {
		g.node.dependencies.Logger.Named("guard").Infof("backend server reported draining %v", health.Draining)
	}
	g.health.Store(&health)
	g.admissionQueue.SetHint(limiter.Hint{
		Ready:        health.Ready || health.Draining,
		Cold:         health.Cold,
		LoadFraction: health.LoadFraction,
		Slots:        health.Slots,
	})
}
