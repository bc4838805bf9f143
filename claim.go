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

// handoverBytes bounds the answers in one message.
const handoverBytes = 1 << 20

// keptBody keeps a whole answer of moderate size while it is read.
type keptBody struct {
	io.ReadCloser

	status int
	header http.Header
	data   []byte
	// end is called once, with nil when the answer is not whole or too large.
	end   func(kept *deduper.Answer)
	ended bool
}

// Close ends the answer.
func (b *keptBody) Close() error {
	b.finish(nil)
	return b.ReadCloser.Close()
}

// Read reads the answer.
func (b *keptBody) Read(p []byte) (n int, err error) {
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

func (b *keptBody) finish(kept *deduper.Answer) {
	if !b.ended {
		b.ended = true
		b.end(kept)
	}
}

// Claim decides a claim as the holder of a key.
func (p *peerServer) Claim(ctx context.Context, m *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
	c := deduper.Claim{Claimant: m.GetSender().GetIncarnation()}
	id, err := uuid.FromBytes(m.GetId())
	if err != nil || copy(c.KeyDigest[:], m.GetKey()) != len(c.KeyDigest) || copy(c.RequestDigest[:], m.GetRequest()) != len(c.RequestDigest) {
		return nil, errors.New("claim is malformed")
	}
	if p.node.index.Load() == nil {
		return &messenger.ClaimResponse{Verdict: string(deduper.VerdictNotHolder)}, nil
	}
	c.AttemptID = id
	c.Deadline = p.node.edges.Clock.Now().Add(time.Duration(m.GetTimeoutMicros()) * time.Microsecond)
	if m.GetBornMillis() != 0 {
		c.KeyTime = time.UnixMilli(m.GetBornMillis())
	}
	v, kept := p.node.dedupe.claim(ctx, deduper.SlotForKey(m.GetService(), c.KeyDigest), c)
	response := &messenger.ClaimResponse{Verdict: string(v)}
	response.Head, response.Body = fromKept(kept)
	return response, nil
}

// Handover takes keys of the holder before this one.
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
			Answer:        toKept(k.GetHead(), k.GetBody()),
			ClaimTimeLeft: time.Duration(k.GetEndsMicros()) * time.Microsecond,
			KeepFor:       time.Duration(k.GetKeepMicros()) * time.Microsecond,
			ReplayWindow:  time.Duration(k.GetReplayMicros()) * time.Microsecond,
		}
		copy(e.KeyDigest[:], k.GetKey())
		copy(e.RequestDigest[:], k.GetRequest())
		copy(e.AttemptID[:], k.GetId())
		keys.Entries = append(keys.Entries, e)
	}
	s := deduper.Slot{Service: m.GetService(), Number: int(m.GetSlot())}
	sender := holder.Identity{Name: m.GetSender().GetName(), Incarnation: m.GetSender().GetIncarnation()}
	taken := p.node.dedupe.inherit(s, m.GetSince(), sender, keys, m.GetFirst(), m.GetLast())
	return &messenger.HandoverResponse{Accepted: taken}, nil
}

// Settle takes the outcome of a claimed request.
func (p *peerServer) Settle(_ context.Context, m *messenger.SettleRequest) (*messenger.SettleResponse, error) {
	var key deduper.Digest
	id, err := uuid.FromBytes(m.GetId())
	if err != nil || copy(key[:], m.GetKey()) != len(key) {
		return nil, errors.New("settlement is malformed")
	}
	if p.node.index.Load() == nil {
		return &messenger.SettleResponse{}, nil
	}
	o := deduper.Outcome{NotRun: m.GetReleased(), Answer: toKept(m.GetHead(), m.GetBody())}
	held := p.node.dedupe.settleHere(deduper.SlotForKey(m.GetService(), key), key, id, o)
	return &messenger.SettleResponse{Accepted: held}, nil
}

// claim claims a key at its holder.
func (n *Node) claim(ctx context.Context, m folder.Member, c *claimed) (v deduper.Verdict, kept *deduper.Answer, err error) {
	request := &messenger.ClaimRequest{
		Sender:        n.sender.Self,
		Service:       c.slot.Service,
		Key:           c.claim.KeyDigest[:],
		Request:       c.claim.RequestDigest[:],
		Id:            c.claim.AttemptID[:],
		TimeoutMicros: uint64(max(0, c.claim.Deadline.Sub(n.edges.Clock.Now()).Microseconds())),
	}
	if !c.claim.KeyTime.IsZero() {
		request.BornMillis = c.claim.KeyTime.UnixMilli()
	}
	r, err := connector.Call(ctx, n.connector, m.Peer, claimTimeout,
		func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.ClaimResponse, error) {
			return client.Claim(ctx, request)
		})
	if err != nil {
		return "", nil, errors.Wrapf(err, "claim a key at %q", m.Name)
	}
	return deduper.Verdict(r.GetVerdict()), toKept(r.GetHead(), r.GetBody()), nil
}

// handOver hands the keys of a slot to its next holder; false when it has not
// taken them.
func (n *Node) handOver(t tracker.Tenure, s deduper.Slot, keys deduper.SlotContent) (taken bool) {
	requests := []*messenger.HandoverRequest{{}}
	size := 0
	for _, e := range keys.Entries {
		if size > handoverBytes {
			requests = append(requests, &messenger.HandoverRequest{})
			size = 0
		}
		k := fromEntry(e)
		size += len(k.GetBody()) + len(k.GetKey())
		last := requests[len(requests)-1]
		last.Keys = append(last.Keys, k)
	}
	for i, request := range requests {
		request.Sender = n.sender.Self
		request.Since = t.Until
		request.Service = s.Service
		request.Slot = uint32(s.Number)
		request.First = i == 0
		request.Last = i == len(requests)-1
		if !keys.CompleteSince.IsZero() {
			request.KnownMillis = keys.CompleteSince.UnixMilli() + 1
		}
		r, err := connector.Call(context.Background(), n.connector, t.Next.Peer, passTimeout,
			func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.HandoverResponse, error) {
				return client.Handover(ctx, request)
			})
		if err != nil || !r.GetAccepted() {
			return false
		}
	}
	return true
}

// settle tells the holder of a key how its request ended; false when it has
// not taken it.
func (n *Node) settle(ctx context.Context, m folder.Member, c *claimed, o deduper.Outcome) (settled bool) {
	request := &messenger.SettleRequest{
		Sender:   n.sender.Self,
		Service:  c.slot.Service,
		Key:      c.claim.KeyDigest[:],
		Id:       c.claim.AttemptID[:],
		Released: o.NotRun,
	}
	request.Head, request.Body = fromKept(o.Answer)
	r, err := connector.Call(ctx, n.connector, m.Peer, claimTimeout,
		func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.SettleResponse, error) {
			return client.Settle(ctx, request)
		})
	return err == nil && r.GetAccepted()
}

func fromEntry(e deduper.HandoverEntry) *messenger.KeptKey {
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
	k.Head, k.Body = fromKept(e.Answer)
	return k
}

func fromKept(a *deduper.Answer) (head *messenger.RunHead, body []byte) {
	if a == nil {
		return nil, nil
	}
	return &messenger.RunHead{Status: int32(a.Status), Header: dispatcher.EncodeHeader(a.Header)}, a.Body
}

func toKept(head *messenger.RunHead, body []byte) *deduper.Answer {
	if head == nil {
		return nil
	}
	return &deduper.Answer{Status: int(head.GetStatus()), Header: dispatcher.DecodeHeader(head.GetHeader()), Body: body}
}

func keptAnswer(a *deduper.Answer) *exchanger.Answer {
	return &exchanger.Answer{
		Status:        a.Status,
		Header:        a.Header.Clone(),
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		UnusedRetries: func() int { return 0 },
	}
}
