package flamingotack

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/deduper"
	"github.com/flamingotack/flamingotack/internal/dispatcher"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/tracker"
)

// maxHandoverBytes bounds the keys and stored answers in one handover message;
// the last key may exceed it.
const maxHandoverBytes = 1 << 20

// recordedBody records an answer of at most deduper.MaxAnswerBytes while it is
// read.
type recordedBody struct {
	io.ReadCloser

	status int
	header http.Header
	data   []byte
	// onEnd is called once. Its argument is nil if the answer is incomplete or
	// too large.
	onEnd func(stored *deduper.Answer)
	ended bool
}

// Close ends the recording and closes the body.
func (b *recordedBody) Close() error {
	b.finish(nil)
	return b.ReadCloser.Close()
}

// Read reads the body and records it.
func (b *recordedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if len(b.data) <= deduper.MaxAnswerBytes {
		b.data = append(b.data, p[:n]...)
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && len(b.data) <= deduper.MaxAnswerBytes:
		b.finish(&deduper.Answer{Status: b.status, Header: b.header, Body: b.data})
	default:
		b.finish(nil)
	}
	return n, err
}

func (b *recordedBody) finish(stored *deduper.Answer) {
	if !b.ended {
		b.ended = true
		b.onEnd(stored)
	}
}

// Claim decides on a claim as the holder of the key.
func (p *peerServer) Claim(ctx context.Context, m *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
	claim := deduper.Claim{Claimant: m.GetSender().GetIncarnation()}
	id, err := uuid.FromBytes(m.GetId())
	if err != nil || copy(claim.KeyDigest[:], m.GetKey()) != len(claim.KeyDigest) || copy(claim.RequestDigest[:], m.GetRequest()) != len(claim.RequestDigest) {
		return nil, errors.New("claim is malformed")
	}
	if p.node.index.Load() == nil {
		return &messenger.ClaimResponse{Verdict: string(deduper.VerdictNotHolder)}, nil
	}
	claim.AttemptID = id
	claim.Deadline = p.node.dependencies.Clock.Now().Add(time.Duration(m.GetTimeoutMicros()) * time.Microsecond)
	if m.GetBornMillis() != 0 {
		claim.KeyTime = time.UnixMilli(m.GetBornMillis())
	}
	verdict, stored := p.node.dedupe.claimLocal(ctx, deduper.SlotForKey(m.GetService(), claim.KeyDigest), claim)
	response := &messenger.ClaimResponse{Verdict: string(verdict)}
	response.Head, response.Body = encodeStoredAnswer(stored)
	return response, nil
}

// Handover accepts keys from the previous holder of a slot.
func (p *peerServer) Handover(_ context.Context, m *messenger.HandoverRequest) (*messenger.HandoverResponse, error) {
	if p.node.index.Load() == nil || m.GetSlot() >= deduper.SlotCount {
		return &messenger.HandoverResponse{}, nil
	}
	var keys deduper.SlotContent
	if m.GetKnownMillis() != 0 {
		keys.CompleteSince = time.UnixMilli(m.GetKnownMillis())
	}
	for _, k := range m.GetKeys() {
		e := deduper.HandoverEntry{
			Claimant:      k.GetClaimant(),
			Running:       k.GetRunning(),
			Answer:        decodeStoredAnswer(k.GetHead(), k.GetBody()),
			ClaimTimeLeft: time.Duration(k.GetEndsMicros()) * time.Microsecond,
			KeepFor:       time.Duration(k.GetKeepMicros()) * time.Microsecond,
			ReplayWindow:  time.Duration(k.GetReplayMicros()) * time.Microsecond,
		}
		copy(e.KeyDigest[:], k.GetKey())
		copy(e.RequestDigest[:], k.GetRequest())
		copy(e.AttemptID[:], k.GetId())
		keys.Entries = append(keys.Entries, e)
	}
	slot := deduper.Slot{Service: m.GetService(), Number: int(m.GetSlot())}
	sender := holder.Identity{Name: m.GetSender().GetName(), Incarnation: m.GetSender().GetIncarnation()}
	accepted := p.node.dedupe.receiveHandover(slot, m.GetSince(), sender, keys, m.GetFirst(), m.GetLast())
	return &messenger.HandoverResponse{Accepted: accepted}, nil
}

// Settle records the outcome of a claimed request.
func (p *peerServer) Settle(_ context.Context, m *messenger.SettleRequest) (*messenger.SettleResponse, error) {
	var key deduper.Digest
	id, err := uuid.FromBytes(m.GetId())
	if err != nil || copy(key[:], m.GetKey()) != len(key) {
		return nil, errors.New("settlement is malformed")
	}
	if p.node.index.Load() == nil {
		return &messenger.SettleResponse{}, nil
	}
	outcome := deduper.Outcome{NotRun: m.GetReleased(), Answer: decodeStoredAnswer(m.GetHead(), m.GetBody())}
	held := p.node.dedupe.settleLocal(deduper.SlotForKey(m.GetService(), key), key, id, outcome)
	return &messenger.SettleResponse{Accepted: held}, nil
}

// sendClaim claims a key at its holder.
func (n *Node) sendClaim(ctx context.Context, m folder.Member, c *claimedRequest) (verdict deduper.Verdict, stored *deduper.Answer, err error) {
	request := &messenger.ClaimRequest{
		Sender:        n.sender.Self,
		Service:       c.slot.Service,
		Key:           c.claim.KeyDigest[:],
		Request:       c.claim.RequestDigest[:],
		Id:            c.claim.AttemptID[:],
		TimeoutMicros: uint64(max(0, c.claim.Deadline.Sub(n.dependencies.Clock.Now()).Microseconds())),
	}
	if !c.claim.KeyTime.IsZero() {
		request.BornMillis = c.claim.KeyTime.UnixMilli()
	}
	r, err := connector.Call(ctx, n.connector, m.PeerAddress, claimTimeout,
		func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.ClaimResponse, error) {
			return client.Claim(ctx, request)
		})
	if err != nil {
		return "", nil, errors.Wrapf(err, "claim a key at %q", m.Name)
	}
	return deduper.Verdict(r.GetVerdict()), decodeStoredAnswer(r.GetHead(), r.GetBody()), nil
}

// sendKeyHandover sends the keys of a slot to its next holder. It returns
// false unless the holder has accepted all of them.
func (n *Node) sendKeyHandover(endedPeriod tracker.OwnershipPeriod, slot deduper.Slot, keys deduper.SlotContent) (accepted bool) {
	requests := []*messenger.HandoverRequest{{}}
	size := 0
	for _, e := range keys.Entries {
		if size > maxHandoverBytes {
			requests = append(requests, &messenger.HandoverRequest{})
			size = 0
		}
		k := encodeEntry(e)
		size += len(k.GetBody()) + len(k.GetKey())
		last := requests[len(requests)-1]
		last.Keys = append(last.Keys, k)
	}
	for i, request := range requests {
		request.Sender = n.sender.Self
		request.Since = endedPeriod.EndOffset
		request.Service = slot.Service
		request.Slot = uint32(slot.Number)
		request.First = i == 0
		request.Last = i == len(requests)-1
		if !keys.CompleteSince.IsZero() {
			request.KnownMillis = keys.CompleteSince.UnixMilli() + 1
		}
		r, err := connector.Call(context.Background(), n.connector, endedPeriod.NextOwner.PeerAddress, handoverCallTimeout,
			func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.HandoverResponse, error) {
				return client.Handover(ctx, request)
			})
		if err != nil || !r.GetAccepted() {
			return false
		}
	}
	return true
}

// sendSettlement reports the outcome of a claimed request to the holder of its
// key. It returns false unless the holder has accepted it.
func (n *Node) sendSettlement(ctx context.Context, m folder.Member, c *claimedRequest, outcome deduper.Outcome) (settled bool) {
	request := &messenger.SettleRequest{
		Sender:   n.sender.Self,
		Service:  c.slot.Service,
		Key:      c.claim.KeyDigest[:],
		Id:       c.claim.AttemptID[:],
		Released: outcome.NotRun,
	}
	request.Head, request.Body = encodeStoredAnswer(outcome.Answer)
	r, err := connector.Call(ctx, n.connector, m.PeerAddress, claimTimeout,
		func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.SettleResponse, error) {
			return client.Settle(ctx, request)
		})
	return err == nil && r.GetAccepted()
}

func encodeEntry(e deduper.HandoverEntry) *messenger.KeptKey {
	k := &messenger.KeptKey{
		Key:          e.KeyDigest[:],
		Request:      e.RequestDigest[:],
		Id:           e.AttemptID[:],
		Claimant:     e.Claimant,
		Running:      e.Running,
		EndsMicros:   e.ClaimTimeLeft.Microseconds(),
		KeepMicros:   e.KeepFor.Microseconds(),
		ReplayMicros: e.ReplayWindow.Microseconds(),
	}
	k.Head, k.Body = encodeStoredAnswer(e.Answer)
	return k
}

func encodeStoredAnswer(a *deduper.Answer) (head *messenger.RunHead, body []byte) {
	if a == nil {
		return nil, nil
	}
	return &messenger.RunHead{Status: int32(a.Status), Header: dispatcher.EncodeHeader(a.Header)}, a.Body
}

func decodeStoredAnswer(head *messenger.RunHead, body []byte) *deduper.Answer {
	if head == nil {
		return nil
	}
	return &deduper.Answer{Status: int(head.GetStatus()), Header: dispatcher.DecodeHeader(head.GetHeader()), Body: body}
}

func replayAnswer(a *deduper.Answer) *exchanger.Answer {
	return &exchanger.Answer{
		Status:        a.Status,
		Header:        a.Header.Clone(),
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		UnusedRetries: func() int { return 0 },
	}
}
