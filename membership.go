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
	// beatsPerBound and readsPerBound are how many heartbeats and how many
	// reads of the log fit into the freshness bound.
	beatsPerBound = 8
	readsPerBound = 4

	evictTimeout = 10 * time.Second
	// firstRejoin is how long a node waits before it joins once more after it
	// was evicted; each further eviction doubles it.
	firstRejoin = time.Second
	maxRejoin   = time.Minute
	// rejoinReset is how long a node must stay a member until its evictions
	// are forgotten.
	rejoinReset = 10 * time.Minute
	// stalePeriod is how often a node looks whether it is still fresh.
	stalePeriod = 250 * time.Millisecond
	staleRetry  = time.Second
)

// membership is the part of a node that shares its state with other nodes.
type membership struct {
	appender *appender.Appender
	beater   *beater.Beater
	// connector is not run: heartbeats show by themselves whether their
	// connections live, so these need no pings.
	connector *connector.Connector
	tailer    *tailer.Tailer
	tenure    *holder.Tenure
	// joining ends when the node is about to leave.
	joining context.Context
	quit    context.CancelFunc
}

// gate is the filter that refuses requests while the node can't tell whether
// its state is the newest.
type gate struct {
	node *Node
	next exchanger.Handler
}

// Handle passes r on while the node is fresh.
func (g *gate) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	if err := g.node.checkFresh(); err != nil {
		return nil, err
	}
	return g.next.Handle(ctx, r)
}

func newMembership(n *Node) membership {
	self := holder.Identity{Name: n.self.Name, Incarnation: n.self.Incarnation}
	n.tracker = tracker.New(self, n.resources, expiryTime)
	tenure := holder.NewTenure(holder.NewFreshness(self, n.settings.Freshness.Std()))
	joining, quit := context.WithCancel(context.Background())
	m := membership{
		joining: joining,
		quit:    quit,
		appender: &appender.Appender{
			Index:  &n.index,
			Log:    n.edges.Log,
			Logger: n.edges.Logger.Named("appender"),
		},
		connector: connector.New(n.settings.Peer),
		tailer: &tailer.Tailer{
			Clock:  n.edges.Clock,
			Index:  &n.index,
			Log:    n.edges.Log,
			Logger: n.edges.Logger.Named("tailer"),
			Snapshots: &tailer.Snapshots{
				Self:     self,
				Interval: tailer.DefaultSnapshotInterval,
				Delay:    tailer.DefaultSnapshotDelay,
			},
			Follow: n.follow,
			Tenure: tenure,
			Wait:   min(tailer.DefaultWait, n.settings.Freshness.Std()/readsPerBound),
		},
		tenure: tenure,
	}
	m.connector.WrapConn = n.connector.WrapConn
	m.connector.SecureConn = n.connector.SecureConn
	m.beater = &beater.Beater{
		Clock:     n.edges.Clock,
		Connector: m.connector,
		Evict:     n.evict,
		Interval:  min(beater.Interval, n.settings.Freshness.Std()/beatsPerBound),
		Load:      n.guard.load,
		Loads:     n.sender.OnLoad,
		Logger:    n.edges.Logger.Named("beater"),
		Self:      self,
		Tailer:    m.tailer,
		Tenure:    tenure,
	}
	return m
}

// Beat answers a heartbeat.
func (p *peerServer) Beat(_ context.Context, r *messenger.BeatRequest) (*messenger.BeatResponse, error) {
	return p.node.membership.beater.Answer(r), nil
}

// Fetch returns log records that the asking node lacks.
func (p *peerServer) Fetch(_ context.Context, r *messenger.FetchRequest) (*messenger.FetchResponse, error) {
	return p.node.membership.beater.Fetch(r), nil
}

// Restore returns the node's folded state.
func (p *peerServer) Restore(context.Context, *messenger.RestoreRequest) (*messenger.RestoreResponse, error) {
	return p.node.membership.beater.Restore()
}

// Vouch answers what the node knows about the newest record.
func (p *peerServer) Vouch(_ context.Context, r *messenger.VouchRequest) (*messenger.VouchResponse, error) {
	return p.node.membership.beater.Vouch(r), nil
}

// checkFresh refuses work while the node can't tell whether its state is the
// newest. It reads the clock anew, so a process that was paused finds out.
func (n *Node) checkFresh() error {
	if n.fresh() {
		return nil
	}
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonStale,
		"node %s can't tell whether its configuration is in force", n.self.Name)
	refusal.RetryAfter = staleRetry
	return refusal
}

// cutStale ends the requests with keys that still run when the node is no more
// fresh: a key may have been withdrawn.
func (n *Node) cutStale(ctx context.Context) error {
	for ctx.Err() == nil {
		timekeeper.Sleep(ctx, stalePeriod)
		if !n.fresh() {
			n.running.CutKeyed()
		}
	}
	return nil
}

// evict proposes that a member is gone. The fold takes one of several equal
// proposals.
func (n *Node) evict(m folder.Member) {
	record := folder.NewRecord(folder.KindEvict)
	record.Member = &folder.Member{Name: m.Name, Incarnation: m.Incarnation}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), evictTimeout)
		defer cancel()
		if _, err := n.membership.appender.Append(ctx, record); err != nil {
			n.edges.Logger.Warnf("Can't evict %s: %v.", m.Name, err)
		}
	}()
}

func (n *Node) fresh() bool {
	return n.membership.tenure.Freshness().Fresh(n.edges.Clock.Now())
}

// join makes the node a member, and does so again when others have evicted it,
// until the node is about to leave.
func (n *Node) join(ctx context.Context) error {
	joining, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(n.membership.joining, cancel)
	rejoin := firstRejoin
	for n.joinOnce(joining) {
		since := n.edges.Clock.Now()
		n.awaitEviction(joining)
		if joining.Err() != nil {
			break
		}
		if n.edges.Clock.Now().Sub(since) > rejoinReset {
			rejoin = firstRejoin
		}
		n.edges.Logger.Warnf("Was evicted, joins again in %s.", rejoin)
		timekeeper.Sleep(joining, rejoin)
		rejoin = min(2*rejoin, maxRejoin)
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
		if x := n.index.Load(); x != nil && !n.isMember(x.State) {
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

// startFromPeers takes the state from peers while the log is down.
func (n *Node) startFromPeers(ctx context.Context) error {
	n.membership.beater.Start(ctx, n.settings.Peers)
	<-ctx.Done()
	return nil
}
