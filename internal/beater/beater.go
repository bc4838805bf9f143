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
	heartbeatTimeout = 700 * time.Millisecond
	// maxLogProofSixteenths is the age of the newest proof from the log, in
	// sixteenths of the freshness bound, from which on delegates exchange
	// attestations of a majority. A read of the log takes up to four
	// sixteenths, and the next one ends up to four sixteenths later.
	maxLogProofSixteenths = 7
	maxFetchRecords       = 256
	fetchTimeout          = 2 * time.Second
	// maxEchoAge is the age from which on an echoed stamp is invalid.
	maxEchoAge = time.Minute
)

type (
	// Beater sends and answers heartbeats. Its exported fields must be set
	// before use. It is safe for concurrent use.
	Beater struct {
		// Clock returns the current time.
		Clock timekeeper.Clock
		// Connector manages the connections to peers.
		Connector *connector.Connector
		// ProposeEviction proposes to evict a member by a record in the log.
		// It must not block.
		ProposeEviction func(folder.Member)
		// Interval is the time between two heartbeats to the same node.
		Interval time.Duration
		// LocalLoad returns the load of the node's own backend server.
		LocalLoad func() *messenger.Load
		// OnLoad is called with each new load of a backend server that a
		// heartbeat carries.
		OnLoad func(*messenger.Load)
		// Logger receives log lines about evictions, fetches and restores.
		Logger *logger.Logger
		// Self identifies the node.
		Self holder.Identity
		// Tailer holds the state folded from the log.
		Tailer *tailer.Tailer
		// Ownership decides which resources the node holds.
		Ownership *holder.Ownership
		// Counters count heartbeats and fetches.
		Counters Counters

		mu       sync.Mutex
		detector *Detector
		gossip   loadGossip
		// peers are the states of the members of the view, by join offset.
		peers    map[uint64]*peerState
		stamper  stamper
		fetching atomic.Bool
	}

	// Counters count the heartbeats and fetches of a Beater.
	Counters struct {
		// HeartbeatsAnswered is the number of heartbeats received from others.
		HeartbeatsAnswered atomic.Int64
		// HeartbeatsFailed is the number of sent heartbeats without a valid
		// answer.
		HeartbeatsFailed atomic.Int64
		// RecordFetches is the number of fetches of records from a peer.
		RecordFetches atomic.Int64
		// HeartbeatsSent is the number of heartbeats sent.
		HeartbeatsSent atomic.Int64
	}

	// peerState tracks the stamps and acknowledgements exchanged with a peer.
	peerState struct {
		// lastStamp is the last stamp received from the peer.
		lastStamp uint64
		// ackedSequence is the sequence of the newest acknowledgement that the
		// peer is known to have received.
		ackedSequence uint64
		// sentSequence is the sequence of the acknowledgements last sent,
		// together with sentStamp. The peer has received them once it echoes
		// that stamp.
		sentSequence uint64
		sentStamp    uint64
	}
)

// HandleHeartbeat applies a heartbeat from a peer and returns the answer.
func (b *Beater) HandleHeartbeat(r *messenger.BeatRequest) *messenger.BeatResponse {
	b.Counters.HeartbeatsAnswered.Add(1)
	p := r.GetPulse()
	now := b.Clock.Now()
	if sentAt, valid := b.echoedStampTime(now, p); valid {
		b.applyPulse(now, sentAt, p)
	} else {
		b.applyLastingFacts(now, p)
	}
	b.fetchIfBehind(p)
	return &messenger.BeatResponse{Pulse: b.newPulse(now, p.GetSince())}
}

// ExchangeHeartbeat sends a heartbeat to a member immediately and applies the
// answer.
func (b *Beater) ExchangeHeartbeat(ctx context.Context, m folder.Member) {
	b.sendHeartbeat(ctx, m)
}

// HearsMajority reports whether the node has heard a majority of the view within
// the freshness bound.
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

// HandleVouch answers a peer with the offset of the newest folded record and the
// proof of the node's freshness.
func (b *Beater) HandleVouch(*messenger.VouchRequest) *messenger.VouchResponse {
	proof := b.Ownership.Freshness().Proof(b.Clock.Now())
	return &messenger.VouchResponse{
		Sender: b.selfMember(),
		Offset: proof.Offset,
		Since:  b.joinOffset(),
		Proof:  encodeProof(proof),
	}
}

// requestProof asks a member for its proof of freshness, independently of
// heartbeats.
func (b *Beater) requestProof(ctx context.Context, m folder.Member) {
	sentAt := b.Clock.Now()
	request := &messenger.VouchRequest{Sender: b.selfMember(), Offset: b.Tailer.State().Offset}
	response, err := connector.Call(ctx, b.Connector, m.PeerAddress, heartbeatTimeout, func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.VouchResponse, error) {
		return c.Vouch(ctx, request)
	})
	if err != nil || response.GetSender().GetIncarnation() != m.Incarnation {
		return
	}
	b.Ownership.Freshness().RecordPeerProof(sentAt, decodeProof(response.GetOffset(), response.GetProof()))
	b.Ownership.Freshness().RecordAttestations(holder.Attestation{MemberJoinOffset: response.GetSince(), Time: sentAt, Offset: response.GetOffset()})
}

// requestProofsIfStale asks up to three random members for a proof when the node
// has none or its newest one is older than three quarters of bound.
func (b *Beater) requestProofsIfStale(ctx context.Context, now time.Time, bound time.Duration) {
	proof := b.Ownership.Freshness().Proof(now)
	members := b.Ownership.View().Members
	if proof.HasAge && proof.Age < bound*3/4 || len(members) == 0 {
		return
	}
	for range 3 {
		m := members[rand.IntN(len(members))]
		if m.Incarnation != b.Self.Incarnation {
			go b.requestProof(ctx, m)
		}
	}
}

// sendHeartbeat sends a heartbeat to a member and applies the answer.
func (b *Beater) sendHeartbeat(ctx context.Context, m folder.Member) {
	b.Counters.HeartbeatsSent.Add(1)
	sentAt := b.Clock.Now()
	request := &messenger.BeatRequest{Pulse: b.newPulse(sentAt, m.JoinOffset)}
	response, err := connector.Call(ctx, b.Connector, m.PeerAddress, heartbeatTimeout, func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.BeatResponse, error) {
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
	// A node outside the view answers without a join offset.
	p.Since = m.JoinOffset
	b.applyPulse(now, sentAt, p)
	b.confirmDelivery(m.JoinOffset, request.GetPulse().GetStamp())
	b.fetchIfBehind(p)
}

// confirmDelivery records that the peer has received the pulse with that stamp.
func (b *Beater) confirmDelivery(joinOffset, stamp uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peers[joinOffset]; p != nil && p.sentStamp == stamp {
		p.ackedSequence = p.sentSequence
	}
}

// echoedStampTime returns the time of the stamp that p echoes.
func (b *Beater) echoedStampTime(now time.Time, p *messenger.Pulse) (sentAt time.Time, valid bool) {
	if p.GetSince() == 0 || p.GetEcho() == 0 {
		return time.Time{}, false
	}
	b.mu.Lock()
	sentAt, valid = b.stamper.timeOf(now, p.GetEcho())
	b.mu.Unlock()
	if valid {
		b.confirmDelivery(p.GetSince(), p.GetEcho())
	}
	return sentAt, valid
}

// applyPulse applies a pulse that was created at sentAt or later.
func (b *Beater) applyPulse(now, sentAt time.Time, p *messenger.Pulse) {
	f := b.Ownership.Freshness()
	f.RecordPeerProof(sentAt, decodeProof(p.GetOffset(), p.GetProof()))
	f.RecordAttestations(decodeAttestations(sentAt, p)...)
	b.applyLastingFacts(now, p)
}

// applyLastingFacts applies the parts of a pulse that hold no matter how late it
// arrives.
func (b *Beater) applyLastingFacts(now time.Time, p *messenger.Pulse) {
	b.Ownership.RaiseViewFloor(p.GetFloor())
	b.Ownership.RecordAcks(now, decodeAcks(p.GetAcks())...)
	b.mu.Lock()
	b.updateView(now)
	b.detector.RecordHeartbeat(now, p.GetSince(), p.GetSuspects())
	if sender := b.peers[p.GetSince()]; sender != nil {
		sender.lastStamp = p.GetStamp()
	}
	newer := b.gossip.merge(p.GetLoads())
	b.mu.Unlock()
	for _, l := range newer {
		b.OnLoad(l)
	}
}

// localLoad returns the node's own load and gives it a sequence number if it has
// none.
func (b *Beater) localLoad(now time.Time) *messenger.Load {
	l := b.LocalLoad()
	if l.GetSequence() == 0 {
		l.Sequence = b.stamper.stamp(now) - b.stamper.firstStamp + 1
	}
	return l
}

// updateView updates the detector, the peers and the gossip to the current view.
// The caller must hold b.mu.
func (b *Beater) updateView(now time.Time) {
	if b.detector == nil {
		b.detector = NewDetector(b.Self, b.Interval)
		b.peers = map[uint64]*peerState{}
		b.stamper = newStamper(now)
	}
	v := b.Ownership.View()
	if v.Offset == b.detector.view.Offset {
		return
	}
	b.detector.SetView(now, v)
	peers := map[uint64]*peerState{}
	for _, m := range v.Members {
		peers[m.JoinOffset] = b.peers[m.JoinOffset]
		if peers[m.JoinOffset] == nil {
			peers[m.JoinOffset] = &peerState{}
		}
	}
	b.peers = peers
	b.gossip.retainMembers(v)
}

// newPulse returns the pulse for the member with that join offset.
func (b *Beater) newPulse(now time.Time, toJoinOffset uint64) *messenger.Pulse {
	f := b.Ownership.Freshness()
	proof := f.Proof(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateView(now)
	p := &messenger.Pulse{
		Since:    b.joinOffset(),
		Offset:   proof.Offset,
		Proof:    encodeProof(proof),
		Floor:    b.Ownership.ViewFloor(now),
		Stamp:    b.stamper.stamp(now),
		Suspects: b.detector.Suspects(),
		Loads:    b.gossip.nextLoads(b.localLoad(now)),
		Run:      xxh3.HashString(b.Self.Incarnation),
	}
	receiver := b.peers[toJoinOffset]
	if receiver == nil {
		receiver = &peerState{}
	}
	p.Echo = receiver.lastStamp
	acks, sequence := b.Ownership.Acks(receiver.ackedSequence)
	receiver.sentSequence, receiver.sentStamp = sequence, p.Stamp
	p.Acks = encodeAcks(acks)
	p.Attestations = encodeAttestations(now, b.attestationsFor(now, toJoinOffset))
	return p
}

// joinOffset returns the offset of the node's join record, or 0 if the node is
// not a member of the view.
func (b *Beater) joinOffset() uint64 {
	m, found := b.Tailer.State().Member(b.Self.Name)
	if !found || m.Incarnation != b.Self.Incarnation {
		return 0
	}
	return m.JoinOffset
}

func (b *Beater) selfMember() *messenger.Member {
	return &messenger.Member{Name: b.Self.Name, Incarnation: b.Self.Incarnation}
}

// attestationsFor returns the attestations to send to the member with that join
// offset. In a small view every node sends all that it knows. In a larger one only
// delegates send them to each other, for their own failure domains, and only once
// the newest proof from the log is older than maxLogProofSixteenths allows.
func (b *Beater) attestationsFor(now time.Time, toJoinOffset uint64) []holder.Attestation {
	m, found := b.detector.view.FindMember(toJoinOffset)
	delegates := b.detector.selfIsDelegate() && b.detector.IsDelegate(m)
	if !found || !delegates && !b.detector.IsSmallView() {
		return nil
	}
	f := b.Ownership.Freshness()
	if proof := f.Proof(now); !b.detector.IsSmallView() && proof.HasLogReadAge && proof.LogReadAge < f.Bound()*maxLogProofSixteenths/16 {
		return nil
	}
	known := f.Attestations(now.Add(-maxAttestationAge))
	if b.detector.IsSmallView() {
		return known
	}
	inDomain := b.detector.domainJoinOffsets()
	return slices.DeleteFunc(known, func(a holder.Attestation) bool { return !inDomain[a.MemberJoinOffset] })
}

func (b *Beater) tick(ctx context.Context) {
	now := b.Clock.Now()
	b.mu.Lock()
	b.updateView(now)
	targets := b.detector.HeartbeatTargets(now)
	evictions := b.detector.ProposeEvictions(now, b.HearsMajority(now))
	b.mu.Unlock()
	for _, m := range targets {
		go b.sendHeartbeat(ctx, m)
	}
	for _, m := range evictions {
		b.Logger.Warnf("eviction of node %s in failure domain %s proposed: it answers no node", m.Name, m.Domain)
		b.ProposeEviction(m)
	}
	b.requestProofsIfStale(ctx, now, b.Ownership.Freshness().Bound())
}
