package flamingotack

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingotack/flamingotack/internal/appender"
	"github.com/flamingotack/flamingotack/internal/beater"
	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/tailer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
	"github.com/flamingotack/flamingotack/internal/tracker"
)

const (
	// heartbeatsPerFreshness and readsPerFreshness are the numbers of heartbeats
	// and of reads of the shared log within the freshness bound.
	heartbeatsPerFreshness = 8
	readsPerFreshness      = 4

	evictTimeout = 10 * time.Second
	// initialRejoinDelay is how long an evicted node waits before it rejoins.
	// Each further eviction doubles the delay.
	initialRejoinDelay = time.Second
	maxRejoinDelay     = time.Minute
	// rejoinDelayReset is how long a node must stay a member until its earlier
	// evictions no longer count.
	rejoinDelayReset = 10 * time.Minute
	// staleCheckInterval is how often a node checks that its state is fresh.
	staleCheckInterval = 250 * time.Millisecond
	staleRetryAfter    = time.Second
)

// membership is the part of a node that shares its state with other nodes.
type membership struct {
	appender *appender.Appender
	beater   *beater.Beater
	// connector is for heartbeats. Its Run is not called: heartbeats show whether
	// their connections are alive, so these need no pings.
	connector *connector.Connector
	tailer    *tailer.Tailer
	ownership *holder.Ownership
	// joinContext ends when the node is about to leave.
	joinContext context.Context
	stopJoining context.CancelFunc
}

// freshnessFilter is the filter that refuses requests while the node can't
// tell whether its state is the newest.
type freshnessFilter struct {
	node *Node
	next exchanger.Handler
}

// Handle passes r on while the node's state is fresh.
func (f *freshnessFilter) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	if err := f.node.checkFresh(); err != nil {
		return nil, err
	}
	return f.next.Handle(ctx, r)
}

func newMembership(n *Node) membership {
	self := holder.Identity{Name: n.self.Name, Incarnation: n.self.Incarnation}
	n.tracker = tracker.New(self, n.resources, tokenExpiryTime)
	ownership := holder.NewOwnership(holder.NewFreshness(self, n.settings.MaxStateAge.Std()))
	joinContext, stopJoining := context.WithCancel(context.Background())
	m := membership{
		joinContext: joinContext,
		stopJoining: stopJoining,
		appender: &appender.Appender{
			Index:  &n.index,
			Log:    n.dependencies.Log,
			Logger: n.dependencies.Logger.Named("appender"),
		},
		connector: connector.New(n.settings.PeerAddress),
		tailer: &tailer.Tailer{
			Clock:  n.dependencies.Clock,
			Index:  &n.index,
			Log:    n.dependencies.Log,
			Logger: n.dependencies.Logger.Named("tailer"),
			SnapshotScheduler: &tailer.SnapshotScheduler{
				Self:      self,
				Interval:  tailer.DefaultSnapshotInterval,
				RankDelay: tailer.DefaultSnapshotRankDelay,
			},
			OnStateChange: n.onStateChange,
			Ownership:     ownership,
			LongPollWait:  min(tailer.DefaultLongPollWait, n.settings.MaxStateAge.Std()/readsPerFreshness),
		},
		ownership: ownership,
	}
	m.connector.WrapConn = n.connector.WrapConn
	m.connector.SecureConn = n.connector.SecureConn
	m.beater = &beater.Beater{
		Clock:           n.dependencies.Clock,
		Connector:       m.connector,
		ProposeEviction: n.evict,
		Interval:        min(beater.DefaultInterval, n.settings.MaxStateAge.Std()/heartbeatsPerFreshness),
		LocalLoad:       n.guard.loadReport,
		OnLoad:          n.sender.OnLoad,
		Logger:          n.dependencies.Logger.Named("beater"),
		Self:            self,
		Tailer:          m.tailer,
		Ownership:       ownership,
	}
	return m
}

// Beat answers a heartbeat.
func (p *peerServer) Beat(_ context.Context, r *messenger.BeatRequest) (*messenger.BeatResponse, error) {
	return p.node.membership.beater.HandleHeartbeat(r), nil
}

// Fetch returns the log records that the requesting node lacks.
func (p *peerServer) Fetch(_ context.Context, r *messenger.FetchRequest) (*messenger.FetchResponse, error) {
	return p.node.membership.beater.HandleFetch(r), nil
}

// Restore returns the node's state.
func (p *peerServer) Restore(context.Context, *messenger.RestoreRequest) (*messenger.RestoreResponse, error) {
	return p.node.membership.beater.HandleRestore()
}

// Vouch returns what the node knows about the newest record.
func (p *peerServer) Vouch(_ context.Context, r *messenger.VouchRequest) (*messenger.VouchResponse, error) {
	return p.node.membership.beater.HandleVouch(r), nil
}

// checkFresh refuses requests while the node can't tell whether its state is
// the newest. It reads the clock each time, so a process that was paused
// detects that its state is stale.
func (n *Node) checkFresh() error {
	if n.isFresh() {
		return nil
	}
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonStale,
		"node %s can't tell whether its configuration is in force", n.self.Name)
	refusal.RetryAfter = staleRetryAfter
	return refusal
}

// cancelWhenStale cancels the running requests with keys while the node's
// state is stale, because a key may have been withdrawn.
func (n *Node) cancelWhenStale(ctx context.Context) error {
	for ctx.Err() == nil {
		timekeeper.Sleep(ctx, staleCheckInterval)
		if !n.isFresh() {
			n.runningRequests.CancelAllKeyed()
		}
	}
	return nil
}

// evict proposes to remove a member. If several nodes propose the same, one
// proposal takes effect.
func (n *Node) evict(m folder.Member) {
	record := folder.NewRecord(folder.KindEvict)
	record.Member = &folder.Member{Name: m.Name, Incarnation: m.Incarnation}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), evictTimeout)
		defer cancel()
		if _, err := n.membership.appender.Append(ctx, record); err != nil {
			n.dependencies.Logger.Warnf("eviction of node %s failed: %v", m.Name, err)
		}
	}()
}

func (n *Node) isFresh() bool {
	return n.membership.ownership.Freshness().IsFresh(n.dependencies.Clock.Now())
}

// join makes the node a member and rejoins after each eviction, until the node
// is about to leave.
func (n *Node) join(ctx context.Context) error {
	joinCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(n.membership.joinContext, cancel)
	delay := initialRejoinDelay
	for n.joinOnce(joinCtx) {
		joinedAt := n.dependencies.Clock.Now()
		n.awaitEviction(joinCtx)
		if joinCtx.Err() != nil {
			break
		}
		if n.dependencies.Clock.Now().Sub(joinedAt) > rejoinDelayReset {
			delay = initialRejoinDelay
		}
		n.dependencies.Logger.Warnf("node evicted, rejoining in %s", delay)
		timekeeper.Sleep(joinCtx, delay)
		delay = min(2*delay, maxRejoinDelay)
	}
	<-ctx.Done()
	return nil
}

// joinOnce reports whether the node is a member now.
func (n *Node) joinOnce(ctx context.Context) bool {
	record := folder.NewRecord(folder.KindJoin)
	record.Member = &n.self
	_, err := n.membership.appender.Append(ctx, record)
	return err == nil
}

func (n *Node) awaitEviction(ctx context.Context) {
	for {
		changed := n.index.Changed()
		if index := n.index.Load(); index != nil && !n.isMember(index.State) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *Node) isMember(s *folder.State) bool {
	m, found := s.Member(n.self.Name)
	return found && m.Incarnation == n.self.Incarnation
}

// startFromPeers takes the state from peers while the log is unavailable.
func (n *Node) startFromPeers(ctx context.Context) error {
	n.membership.beater.BootstrapFromPeers(ctx, n.settings.FallbackPeers)
	<-ctx.Done()
	return nil
}
