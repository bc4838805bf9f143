package beater

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/tailer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	beatTimeout = 700 * time.Millisecond
	// doubtParts is how many sixteenths of the freshness bound a proof from
	// the log may be old before delegates look for a majority. A read takes
	// up to four sixteenths, and another four pass until the next one ends.
	doubtParts   = 7
	fetchLimit   = 256
	fetchTimeout = 2 * time.Second
	// maxEcho is how long ago a stamp may have been given that comes back.
	maxEcho = time.Minute
)

type (
	// Beater sends and answers heartbeats. Its exported fields are set before
	// use. It is safe for concurrent use.
	Beater struct {
		// Clock tells the time.
		Clock timekeeper.Clock
		// Connector keeps the connections to peers.
		Connector *connector.Connector
		// Evict proposes to the log that a member is gone. It must not
		// block.
		ProposeEviction func(folder.Member)
		// Interval is the time between two heartbeats to the same node.
		Interval time.Duration
		// Load returns what the node tells about its backend server.
		LocalLoad func() *messenger.Load
		// Loads takes what guards tell about their backend servers.
		ReceiveLoad func(*messenger.Load)
		// Logger takes what goes wrong.
		Logger *logger.Logger
		// Self names the node.
		Self holder.Identity
		// Tailer keeps the state.
		Tailer *tailer.Tailer
		// Tenure is what the node holds.
		Ownership *holder.Ownership
		// Counts tells what the Beater has done.
		Counters Counters

		mu       sync.Mutex
		detector *Detector
		news     news
		peers    map[uint64]*peer
		stamper  stamper
		fetching atomic.Bool
	}

	// Counts tells what a Beater has done.
	Counters struct {
		// Answered is the number of heartbeats of others.
		HeartbeatsAnswered atomic.Int64
		// Failed is the number of own heartbeats without an answer.
		HeartbeatsFailed atomic.Int64
		// Fetched is the number of times that records came from a peer.
		RecordFetches atomic.Int64
		// Sent is the number of own heartbeats.
		HeartbeatsSent atomic.Int64
	}

	// peer is what the node has told a peer, and what it owes it.
	peer struct {
		// echo is the last stamp that came from the peer.
		echo uint64
		// acked is the sequence of the acknowledgements that the peer has.
		acked uint64
		// sent is the sequence of those sent with stamp; the peer has them
		// once the stamp comes back.
		sent  uint64
		stamp uint64
	}
)

// Answer answers a heartbeat.
func (b *Beater) HandleHeartbeat(r *messenger.BeatRequest) *messenger.BeatResponse {
	b.Counters.HeartbeatsAnswered.Add(1)
	p := r.GetPulse()
	now := b.Clock.Now()
	if sent, valid := b.echoed(now, p); valid {
		b.learn(now, sent, p)
	} else {
		b.learnFacts(now, p)
	}
	b.fetchIfBehind(p)
	return &messenger.BeatResponse{Pulse: b.pulse(now, p.GetSince())}
}

// Greet exchanges a heartbeat with a member at once.
func (b *Beater) ExchangeHeartbeat(ctx context.Context, m folder.Member) {
	b.beat(ctx, m)
}

// Majority reports whether the node hears a majority of the view.
func (b *Beater) HearsMajority(now time.Time) bool {
	return b.Ownership.Freshness().HearsMajority(now)
}

// Run sends heartbeats until ctx ends.
func (b *Beater) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		b.tick(ctx)
		timekeeper.Sleep(ctx, b.Interval-b.Interval/10+rand.N(b.Interval/5))
	}
	return nil
}

// Vouch answers what the node knows about the newest record.
func (b *Beater) HandleVouch(*messenger.VouchRequest) *messenger.VouchResponse {
	proof := b.Ownership.Freshness().Proof(b.Clock.Now())
	return &messenger.VouchResponse{
		Sender: b.sender(),
		Offset: proof.Offset,
		Since:  b.since(),
		Proof:  fromProof(proof),
	}
}

// ask asks a member to vouch, past the ways of heartbeats.
func (b *Beater) ask(ctx context.Context, m folder.Member) {
	sent := b.Clock.Now()
	request := &messenger.VouchRequest{Sender: b.sender(), Offset: b.Tailer.State().Offset}
	response, err := connector.Call(ctx, b.Connector, m.PeerAddress, beatTimeout, func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.VouchResponse, error) {
		return c.Vouch(ctx, request)
	})
	if err != nil || response.GetSender().GetIncarnation() != m.Incarnation {
		return
	}
	b.Ownership.Freshness().RecordPeerProof(sent, toProof(response.GetOffset(), response.GetProof()))
	b.Ownership.Freshness().RecordAttestations(holder.Attestation{MemberJoinOffset: response.GetSince(), Time: sent, Offset: response.GetOffset()})
}

// askIfStale asks a few random members to vouch when heartbeats bring no proof
// in time.
func (b *Beater) askIfStale(ctx context.Context, now time.Time, bound time.Duration) {
	proof := b.Ownership.Freshness().Proof(now)
	members := b.Ownership.View().Members
	if proof.HasAge && proof.Age < bound*3/4 || len(members) == 0 {
		return
	}
	for range 3 {
		m := members[rand.IntN(len(members))]
		if m.Incarnation != b.Self.Incarnation {
			go b.ask(ctx, m)
		}
	}
}

// beat exchanges a heartbeat with a member.
func (b *Beater) beat(ctx context.Context, m folder.Member) {
	b.Counters.HeartbeatsSent.Add(1)
	sent := b.Clock.Now()
	request := &messenger.BeatRequest{Pulse: b.pulse(sent, m.JoinOffset)}
	response, err := connector.Call(ctx, b.Connector, m.PeerAddress, beatTimeout, func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.BeatResponse, error) {
		return c.Beat(ctx, request)
	})
	now := b.Clock.Now()
	if err != nil || response.GetPulse().GetRun() != xxh3.HashString(m.Incarnation) {
		b.Counters.HeartbeatsFailed.Add(1)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.detector.RecordFailure(now, m.JoinOffset)
		return
	}
	p := response.GetPulse()
	// Nodes outside the view have no join offset; the asked member is known.
	p.Since = m.JoinOffset
	b.learn(now, sent, p)
	b.confirm(m.JoinOffset, request.GetPulse().GetStamp())
	b.fetchIfBehind(p)
}

// confirm notes that the peer has got the pulse with that stamp.
func (b *Beater) confirm(since, stamp uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peers[since]; p != nil && p.stamp == stamp {
		p.acked = p.sent
	}
}

// echoed returns when the stamp was given that p returns.
func (b *Beater) echoed(now time.Time, p *messenger.Pulse) (sent time.Time, valid bool) {
	if p.GetSince() == 0 || p.GetEcho() == 0 {
		return time.Time{}, false
	}
	b.mu.Lock()
	sent, valid = b.stamper.time(now, p.GetEcho())
	b.mu.Unlock()
	if valid {
		b.confirm(p.GetSince(), p.GetEcho())
	}
	return sent, valid
}

// learn takes a pulse that was made at sent or later.
func (b *Beater) learn(now, sent time.Time, p *messenger.Pulse) {
	f := b.Ownership.Freshness()
	f.RecordPeerProof(sent, toProof(p.GetOffset(), p.GetProof()))
	f.RecordAttestations(toAttestations(sent, p)...)
	b.learnFacts(now, p)
}

// learnFacts takes what stays true however late it comes.
func (b *Beater) learnFacts(now time.Time, p *messenger.Pulse) {
	b.Ownership.RaiseViewFloor(p.GetFloor())
	b.Ownership.RecordAcks(now, toAcks(p.GetAcks())...)
	b.mu.Lock()
	b.prepare(now)
	b.detector.RecordHeartbeat(now, p.GetSince(), p.GetSuspects())
	if known := b.peers[p.GetSince()]; known != nil {
		known.echo = p.GetStamp()
	}
	fresh := b.news.take(p.GetLoads())
	b.mu.Unlock()
	for _, l := range fresh {
		b.ReceiveLoad(l)
	}
}

// load returns the node's own load, numbered if it isn't yet.
func (b *Beater) load(now time.Time) *messenger.Load {
	l := b.LocalLoad()
	if l.GetSequence() == 0 {
		l.Sequence = b.stamper.stamp(now) - b.stamper.base + 1
	}
	return l
}

// prepare takes the present view. The caller holds the lock.
func (b *Beater) prepare(now time.Time) {
	if b.detector == nil {
		b.detector = NewDetector(b.Self, b.Interval)
		b.peers = map[uint64]*peer{}
		b.stamper = newStamper(now)
	}
	v := b.Ownership.View()
	if v.Offset == b.detector.view.Offset {
		return
	}
	b.detector.SetView(now, v)
	peers := map[uint64]*peer{}
	for _, m := range v.Members {
		peers[m.JoinOffset] = b.peers[m.JoinOffset]
		if peers[m.JoinOffset] == nil {
			peers[m.JoinOffset] = &peer{}
		}
	}
	b.peers = peers
	b.news.keep(v)
}

// pulse returns what the node tells the member that joined at that offset.
func (b *Beater) pulse(now time.Time, to uint64) *messenger.Pulse {
	f := b.Ownership.Freshness()
	proof := f.Proof(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare(now)
	p := &messenger.Pulse{
		Since:    b.since(),
		Offset:   proof.Offset,
		Proof:    fromProof(proof),
		Floor:    b.Ownership.ViewFloor(now),
		Stamp:    b.stamper.stamp(now),
		Suspects: b.detector.Suspects(),
		Loads:    b.news.give(b.load(now)),
		Run:      xxh3.HashString(b.Self.Incarnation),
	}
	known := b.peers[to]
	if known == nil {
		known = &peer{}
	}
	p.Echo = known.echo
	acks, sequence := b.Ownership.Acks(known.acked)
	known.sent, known.stamp = sequence, p.Stamp
	p.Acks = fromAcks(acks)
	p.Attestations = fromAttestations(now, b.attestations(now, to))
	return p
}

// since returns the offset of the node's join record; 0 outside the view.
func (b *Beater) since() uint64 {
	m, found := b.Tailer.State().Member(b.Self.Name)
	if !found || m.Incarnation != b.Self.Incarnation {
		return 0
	}
	return m.JoinOffset
}

func (b *Beater) sender() *messenger.Member {
	return &messenger.Member{Name: b.Self.Name, Incarnation: b.Self.Incarnation}
}

// attestations returns what the member shall know of others. Delegates tell each
// other of their failure domains, once the log has not answered for a while; in
// a small view everybody tells all.
func (b *Beater) attestations(now time.Time, to uint64) []holder.Attestation {
	m, found := b.detector.view.FindMember(to)
	delegates := b.detector.isDelegate() && b.detector.IsDelegate(m)
	if !found || !delegates && !b.detector.IsSmallView() {
		return nil
	}
	f := b.Ownership.Freshness()
	if proof := f.Proof(now); !b.detector.IsSmallView() && proof.HasLogReadAge && proof.LogReadAge < f.Bound()*doubtParts/16 {
		return nil
	}
	known := f.Attestations(now.Add(-maxAge))
	if b.detector.IsSmallView() {
		return known
	}
	near := b.detector.near()
	return slices.DeleteFunc(known, func(a holder.Attestation) bool { return !near[a.MemberJoinOffset] })
}

func (b *Beater) tick(ctx context.Context) {
	now := b.Clock.Now()
	b.mu.Lock()
	b.prepare(now)
	targets := b.detector.HeartbeatTargets(now)
	evictions := b.detector.ProposeEvictions(now, b.HearsMajority(now))
	b.mu.Unlock()
	for _, m := range targets {
		go b.beat(ctx, m)
	}
	for _, m := range evictions {
		b.Logger.Warnf("Evicts %s in failure domain %s, which answers nobody.", m.Name, m.Domain)
		b.ProposeEviction(m)
	}
	b.askIfStale(ctx, now, b.Ownership.Freshness().Bound())
}
