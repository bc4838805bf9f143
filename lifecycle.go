package flamingotack

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	drainPollInterval = 10 * time.Millisecond
	leaveTimeout      = 2 * time.Second
	// peerIdleTime without any request from another node shows that the others
	// know of the shutdown.
	peerIdleTime    = 200 * time.Millisecond
	peerIdleTimeout = 3 * time.Second
	// maxEndingTime is the part of the grace period that is reserved for the answers to the
	// requests that are still running, maxEndingFraction bounds it as a fraction of the period.
	maxEndingTime     = 500 * time.Millisecond
	maxEndingFraction = 0.25
	// stopHandoverTimeout is how long a stopping node waits for the next holders.
	stopHandoverTimeout = 2 * time.Second
)

// errStopped ends the run group after a planned stop.
var errStopped = errors.New("stopped")

// lifecycle is the part of a node that stops it.
type lifecycle struct {
	draining atomic.Bool
	// httpServers are in the order in which serve adds them, the server for
	// callers first.
	httpServers []*http.Server
	// requestsCtx is the parent of the contexts of all requests over HTTP, endRequests
	// cancels it.
	requestsCtx context.Context
	endRequests context.CancelCauseFunc
}

// drain waits for ctx to end, then stops the node gracefully. Requests that run until the grace
// period is nearly over are ended, so that they are answered before their connections close.
// componentsCtx is the context of the node's components.
func (n *Node) drain(ctx, componentsCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-componentsCtx.Done():
		return nil
	}
	n.dependencies.Logger.Infof("drain started: new requests are refused, running requests finish")
	n.lifecycle.draining.Store(true)
	n.membership.stopJoining()
	n.membership.ownership.Stop()
	gracePeriod := n.settings.GracePeriod.Std()
	graceCtx, cancel := context.WithTimeout(componentsCtx, gracePeriod)
	defer cancel()
	endingTime := min(maxEndingTime, time.Duration(maxEndingFraction*float64(gracePeriod)))
	defer time.AfterFunc(gracePeriod-endingTime, n.endRequests).Stop()
	n.announceLeave(graceCtx)
	n.awaitHandovers(graceCtx)
	timekeeper.Sleep(graceCtx, n.settings.DrainDelay.Std())
	n.awaitRequests(graceCtx)
	n.awaitPeerIdle(graceCtx)
	return errStopped
}

// endRequests ends the requests that are running.
func (n *Node) endRequests() {
	n.dependencies.Logger.Warnf("grace period nearly over, %d running requests ended", n.runningRequests.Count())
	n.lifecycle.endRequests(exchanger.ErrStopping)
}

// awaitRequests waits for the running requests of callers and of other nodes.
func (n *Node) awaitRequests(ctx context.Context) {
	caller := n.lifecycle.httpServers[0]
	if err := caller.Shutdown(ctx); err != nil {
		n.dependencies.Logger.Warnf("caller requests did not finish within the grace period: %v", err)
	}
	for ctx.Err() == nil && (n.guard.runningCount() > 0 || n.runningRequests.Count() > 0 || n.dedupe.pendingSettlements.Load() > 0) {
		timekeeper.Sleep(ctx, drainPollInterval)
	}
}

// announceLeave announces the leave to all nodes through the shared log. The
// log may be down, so it waits for at most leaveTimeout.
func (n *Node) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	record := folder.NewRecord(folder.KindLeave)
	record.Member = &folder.Member{Name: n.self.Name, Incarnation: n.self.Incarnation}
	if _, err := n.membership.appender.Append(ctx, record); err != nil {
		n.dependencies.Logger.Warnf("leave record not appended to the log: %v", err)
	}
}

// awaitHandovers waits until the next holders have what the node held.
func (n *Node) awaitHandovers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopHandoverTimeout)
	defer cancel()
	for ctx.Err() == nil && (!n.rateLimit.handoversDone() || !n.dedupe.handoversDone()) {
		timekeeper.Sleep(ctx, drainPollInterval)
	}
}

// awaitPeerIdle waits until other nodes no longer send requests, so that none
// of them loses an answer that says that its request has not run.
func (n *Node) awaitPeerIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerIdleTimeout)
	defer cancel()
	for ctx.Err() == nil && n.guard.sinceLastRequest() < peerIdleTime {
		timekeeper.Sleep(ctx, drainPollInterval)
	}
}
