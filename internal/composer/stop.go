package composer

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/drainer"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// graceMargin is the part of the grace period that is reserved for shutdown.
	graceMargin = 500 * time.Millisecond
	// drainPollInterval is how often a stopping node checks whether it is idle.
	drainPollInterval = 25 * time.Millisecond
	leaveTimeout      = time.Second
	// shutdownTimeout bounds the time for answering requests that arrive at the
	// last moment. It is less than graceMargin.
	shutdownTimeout = 300 * time.Millisecond
)

// drain waits for the end of ctx and then stops the node. The node accepts no
// calls for its backend server and accepts requests as its schedule says. When all are
// answered or the grace period is nearly over, it ends those that are left with answers of
// its own and closes the connections.
func (n *Node) drain(ctx, workCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return nil
	}
	stopStartedAt := time.Now()
	schedule := drainer.New(stopStartedAt, stopStartedAt.Add(n.settings.GracePeriod-graceMargin))
	n.schedule.Publish(&schedule)
	n.stopping.Store(true)
	n.settings.Logger.Infof("stop started, grace period %s", n.settings.GracePeriod)
	backendLeft := n.guardian.Leaving()
	n.guardian.Stop()
	if backendLeft {
		n.leaveDirectory(workCtx)
	}
	for workCtx.Err() == nil {
		now := time.Now()
		load := n.guardian.LoadReport()
		idle := n.acceptor.PendingRequests() == 0 && load.Running == 0 && n.linker.Idle()
		if !now.Before(schedule.End) || !schedule.Lingers(now) && idle {
			pending := n.acceptor.PendingRequests()
			n.endRequests(exchanger.ErrStopping)
			n.shutdown(workCtx)
			n.settings.Logger.Infof("drain ended after %s: %d requests were ended, %d have no answer", time.Since(stopStartedAt), pending, n.acceptor.PendingRequests())
			return nil
		}
		timekeeper.Sleep(workCtx, drainPollInterval)
	}
	return nil
}

// shutdown closes the listener for callers and then the open connections, each
// after the responses to the requests that were read from it.
func (n *Node) shutdown(ctx context.Context) {
	if err := n.callerListener.Close(); err != nil {
		n.settings.Logger.Warnf("close of the listener for callers failed: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	n.acceptor.Shutdown(ctx)
}

// leaveDirectory notifies the other nodes and the directory that the node leaves,
// because its backend server has left.
func (n *Node) leaveDirectory(ctx context.Context) {
	n.left.Store(true)
	n.linker.Leave()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		if err := n.settings.Directory.Leave(ctx, n.self); err != nil {
			n.settings.Logger.Warnf("deregistration from the directory failed: %v", err)
		}
	}()
}
