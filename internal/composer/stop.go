package composer

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// lingerTime is how long a node that stops still takes requests that begin
	// a chain: callers find out that it is not ready by asking once a second.
	lingerTime = 2300 * time.Millisecond
	// graceMargin is the part of the grace that is left for the end.
	graceMargin = 500 * time.Millisecond
	// drainPoll is how often a node that stops looks whether it is idle.
	drainPoll    = 25 * time.Millisecond
	leaveTimeout = time.Second
	// shutdownTimeout bounds the time for which requests that came at the last moment
	// are still answered. It is less than graceMargin.
	shutdownTimeout = 300 * time.Millisecond
)

// drain waits for the end of ctx and stops the node: it takes no work for its
// backend server, still takes callers' requests for the linger, and ends once
// all have their answers.
func (n *Node) drain(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	started := time.Now()
	n.stopping.Store(true)
	n.settings.Logger.Infof("Stops within %s.", n.settings.GracePeriod)
	left := n.guardian.Left()
	n.guardian.Stop()
	if left {
		n.leave(work)
	}
	for work.Err() == nil {
		elapsed := time.Since(started)
		load := n.guardian.Load()
		n.leaving.Store(elapsed >= lingerTime)
		idle := n.acceptor.Busy() == 0 && load.Running == 0
		if elapsed >= n.settings.GracePeriod-graceMargin || elapsed >= lingerTime && idle {
			n.shutdown(work)
			n.settings.Logger.Infof("Ends after %s, %d requests have no answer.", time.Since(started), n.acceptor.Busy())
			return nil
		}
		timekeeper.Sleep(work, drainPoll)
	}
	return nil
}

// shutdown takes no more connections and ends those that there are, behind the answers
// to what was read on them.
func (n *Node) shutdown(ctx context.Context) {
	if err := n.listener.Close(); err != nil {
		n.settings.Logger.Warnf("Can't close the listener for callers: %v.", err)
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	n.acceptor.Shutdown(ctx)
}

// leave says that the node leaves for good, as its backend server has.
func (n *Node) leave(ctx context.Context) {
	n.linker.Leave()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		if err := n.settings.Directory.Leave(ctx, n.self); err != nil {
			n.settings.Logger.Warnf("Can't withdraw from the directory: %v.", err)
		}
	}()
}
