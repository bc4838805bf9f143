package flamingotack

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	drainPoll    = 10 * time.Millisecond
	leaveTimeout = 2 * time.Second
	// quietTime without any request of another node shows that the others
	// know of the stop.
	quietTime  = 200 * time.Millisecond
	quietLimit = 3 * time.Second
	// passOnLimit is how long a stopping node waits for next holders.
	passOnLimit = 2 * time.Second
)

// errStopped ends the run group after a planned stop.
var errStopped = errors.New("stopped")

// lifecycle is the part of a node that stops it.
type lifecycle struct {
	draining atomic.Bool
	servers  []*http.Server
}

// drain waits for ctx to end, then stops the node gracefully. work is the
// context of the node's parts.
func (n *Node) drain(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	n.edges.Logger.Infof("Drains: new work is refused, running requests end.")
	n.lifecycle.draining.Store(true)
	n.membership.quit()
	n.membership.tenure.Stop()
	limit, cancel := context.WithTimeout(work, n.settings.GracePeriod.Std())
	defer cancel()
	n.leave(limit)
	n.passOn(limit)
	timekeeper.Sleep(limit, n.settings.DrainDelay.Std())
	n.finish(limit)
	n.quiet(limit)
	return errStopped
}

// finish waits for the requests that run here, of callers and of other nodes.
func (n *Node) finish(ctx context.Context) {
	caller := n.lifecycle.servers[0]
	if err := caller.Shutdown(ctx); err != nil {
		n.edges.Logger.Warnf("Requests of callers did not end within the grace: %v.", err)
	}
	for ctx.Err() == nil && (n.guard.count() > 0 || n.running.Count() > 0 || n.dedupe.settling.Load() > 0) {
		timekeeper.Sleep(ctx, drainPoll)
	}
}

// leave tells everybody through the log. The log may be down, so it is not
// waited for at length.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	record := folder.NewRecord(folder.KindLeave)
	record.Member = &folder.Member{Name: n.self.Name, Incarnation: n.self.Incarnation}
	if _, err := n.membership.appender.Append(ctx, record); err != nil {
		n.edges.Logger.Warnf("Leaves without the log's word: %v.", err)
	}
}

// passOn waits until the next holders have what the node held.
func (n *Node) passOn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, passOnLimit)
	defer cancel()
	for ctx.Err() == nil && (!n.throttle.idle() || !n.dedupe.idle()) {
		timekeeper.Sleep(ctx, drainPoll)
	}
}

// quiet waits until other nodes no longer send requests, so that none of them
// loses the answer that says not run.
func (n *Node) quiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	for ctx.Err() == nil && n.guard.idle() < quietTime {
		timekeeper.Sleep(ctx, drainPoll)
	}
}
