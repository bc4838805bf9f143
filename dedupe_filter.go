package flamingotack

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/deduper"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// claimRetryDelay is how long a claimant waits before it claims again.
	claimRetryDelay = 20 * time.Millisecond
	// claimSearchTimeout is how long a claimant looks for the holder of a key.
	claimSearchTimeout = 2 * time.Second
	// claimTimeout bounds the time that a holder takes to answer.
	claimTimeout = time.Second
	// resendWait is how long a holder lets a resend wait for the first request.
	// Then the resend has to claim again.
	resendWait = 500 * time.Millisecond
	// settleTimeout is how long a claimant tries to report an outcome.
	settleTimeout = 5 * time.Second
	// idempotencyRetryAfter is the retry delay for a request whose key can't be
	// decided now.
	idempotencyRetryAfter = time.Second
)

type (
	// dedupeFilter is the filter that runs a request with an idempotency key at
	// most once.
	dedupeFilter struct {
		node *Node
		next exchanger.Handler
		// pendingSettlements counts the outcomes not yet reported to the holder.
		pendingSettlements atomic.Int64

		mu sync.Mutex
		// table holds the keys of the slots that the node holds.
		table *deduper.Table
		slots map[deduper.Slot]*slotState
		// nextSettlement is closed at the next settlement.
		nextSettlement chan struct{}
	}

	// claimedRequest is a request with its claim.
	claimedRequest struct {
		request *exchanger.Request
		claim   deduper.Claim
		slot    deduper.Slot
	}
)

func newDedupeFilter(n *Node, next exchanger.Handler) *dedupeFilter {
	return &dedupeFilter{
		node:           n,
		next:           next,
		table:          deduper.NewTable(),
		slots:          map[deduper.Slot]*slotState{},
		nextSettlement: make(chan struct{}),
	}
}

// Handle runs r unless its key belongs to a request that has run or may have
// run.
func (f *dedupeFilter) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	if r.Idempotent || r.IdempotencyKey == "" || r.Customer == "" {
		return f.next.Handle(ctx, r)
	}
	c := f.newClaimedRequest(r)
	verdict, stored := f.decide(ctx, c)
	switch verdict {
	case deduper.VerdictRun:
		return f.run(ctx, c)
	case deduper.VerdictAnswered:
		return replayAnswer(stored), nil
	case deduper.VerdictConflict:
		return nil, exchanger.NotRun(http.StatusUnprocessableEntity, exchanger.ReasonIdempotencyKeyReused, "the idempotency key stands for another request")
	case deduper.VerdictTableFull:
		refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "no room for another idempotency key")
		refusal.RetryAfter = idempotencyRetryAfter
		return nil, refusal
	default:
		refusal := exchanger.Unknown(http.StatusServiceUnavailable, exchanger.ReasonReplayUnknown, "a request with this idempotency key may have run")
		refusal.RetryAfter = idempotencyRetryAfter
		return nil, refusal
	}
}

func (f *dedupeFilter) newClaimedRequest(r *exchanger.Request) *claimedRequest {
	key := deduper.KeyDigest(r.Service, r.Customer, r.IdempotencyKey)
	return &claimedRequest{
		request: r,
		slot:    deduper.SlotForKey(r.Service, key),
		claim: deduper.Claim{
			KeyDigest:     key,
			RequestDigest: deduper.RequestDigest(r),
			AttemptID:     uuid.New(),
			Claimant:      f.node.self.Incarnation,
			KeyTime:       deduper.KeyTime(r.IdempotencyKey, f.node.dependencies.Clock.Now()),
			Deadline:      r.Deadline,
		},
	}
}

// decide claims the key until its holder has decided. If the holder is not
// found in time, the result is unknown, because a request with the key may
// have run before.
func (f *dedupeFilter) decide(ctx context.Context, c *claimedRequest) (verdict deduper.Verdict, stored *deduper.Answer) {
	searchDeadline := f.node.dependencies.Clock.Now().Add(claimSearchTimeout)
	for ctx.Err() == nil {
		verdict, stored, err := f.claimOnce(ctx, c)
		waitedForResult := err == nil && verdict == deduper.VerdictRunning
		if err == nil && !waitedForResult && verdict != deduper.VerdictNotHolder {
			return verdict, stored
		}
		if !waitedForResult && f.node.dependencies.Clock.Now().After(searchDeadline) {
			break
		}
		if !waitedForResult {
			timekeeper.Sleep(ctx, claimRetryDelay)
		}
	}
	// The holder may have granted a claim whose answer was lost.
	f.settle(c, deduper.Outcome{NotRun: true})
	return deduper.VerdictUnknown, nil
}

func (f *dedupeFilter) claimOnce(ctx context.Context, c *claimedRequest) (verdict deduper.Verdict, stored *deduper.Answer, err error) {
	owner, found := f.node.membership.ownership.Owner(slotResource(c.slot))
	if !found {
		return deduper.VerdictNotHolder, nil, nil
	}
	if owner.IsSelf {
		verdict, stored = f.claimLocal(ctx, c.slot, c.claim)
		return verdict, stored, nil
	}
	return f.node.sendClaim(ctx, owner.Member, c)
}

// run runs the request and settles its claim.
func (f *dedupeFilter) run(ctx context.Context, c *claimedRequest) (*exchanger.Answer, error) {
	if ctx.Err() != nil {
		f.settle(c, deduper.Outcome{NotRun: true})
		return nil, exchanger.NotRun(http.StatusGatewayTimeout, exchanger.ReasonDeadline, "the deadline passed before the request ran")
	}
	answer, err := f.next.Handle(ctx, c.request)
	if err != nil {
		refusal := exchanger.AsRefusal(err)
		f.settle(c, deduper.Outcome{NotRun: refusal.Ran == exchanger.RanNo})
		return nil, refusal
	}
	body := &recordedBody{ReadCloser: answer.Body, status: answer.Status, header: answer.Header}
	body.onEnd = func(stored *deduper.Answer) { f.settle(c, deduper.Outcome{Answer: stored}) }
	answer.Body = body
	return answer, nil
}

// settle reports the outcome of the request to the holder of the key. The
// caller's answer does not wait for it; until then a resend waits at the
// holder.
func (f *dedupeFilter) settle(c *claimedRequest, outcome deduper.Outcome) {
	f.pendingSettlements.Add(1)
	go func() {
		defer f.pendingSettlements.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		for ctx.Err() == nil && !f.settleOnce(ctx, c, outcome) {
			timekeeper.Sleep(ctx, claimRetryDelay)
		}
	}()
}

func (f *dedupeFilter) settleOnce(ctx context.Context, c *claimedRequest, outcome deduper.Outcome) (settled bool) {
	owner, found := f.node.membership.ownership.Owner(slotResource(c.slot))
	if !found {
		return false
	}
	if owner.IsSelf {
		return f.settleLocal(c.slot, c.claim.KeyDigest, c.claim.AttemptID, outcome)
	}
	return f.node.sendSettlement(ctx, owner.Member, c, outcome)
}

// claimLocal decides on a claim as the holder of its slot. A resend waits up
// to resendWait for the first request to end.
func (f *dedupeFilter) claimLocal(ctx context.Context, s deduper.Slot, c deduper.Claim) (verdict deduper.Verdict, stored *deduper.Answer) {
	ctx, cancel := context.WithTimeout(ctx, resendWait)
	defer cancel()
	for {
		verdict, stored, settled := f.tryClaim(s, c)
		if verdict != deduper.VerdictRunning {
			return verdict, stored
		}
		select {
		case <-ctx.Done():
			return verdict, nil
		case <-settled:
		}
	}
}

func (f *dedupeFilter) tryClaim(s deduper.Slot, c deduper.Claim) (verdict deduper.Verdict, stored *deduper.Answer, settled <-chan struct{}) {
	index := f.node.index.Load()
	service := index.Service(s.Service)
	if service == nil {
		return deduper.VerdictNotHolder, nil, nil
	}
	c.ReplayWindow = service.IdempotencyKeyTTL.Std()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.syncOwnership(s)
	verdict, stored = f.table.Claim(now, s, c)
	return verdict, stored, f.nextSettlement
}

// settleLocal settles a claim as the holder of its slot. It returns false if
// the node does not hold the slot.
func (f *dedupeFilter) settleLocal(s deduper.Slot, key deduper.Digest, id uuid.UUID, outcome deduper.Outcome) (held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.syncOwnership(s)
	held = f.table.Settle(now, s, key, id, outcome)
	close(f.nextSettlement)
	f.nextSettlement = make(chan struct{})
	return held
}

// maintain starts and ends the tenures of slots in time, until ctx ends.
func (f *dedupeFilter) maintain(ctx context.Context) error {
	for ctx.Err() == nil {
		if index := f.node.index.Load(); index != nil && index.State.Manifest != nil {
			f.maintainOnce(index.State)
		}
		f.node.awaitMaintenance(ctx)
	}
	return nil
}

func (f *dedupeFilter) maintainOnce(s *folder.State) {
	alive := map[string]bool{}
	for _, m := range s.Members {
		alive[m.Incarnation] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maintainSlots()
	f.table.AbandonClaims(func(claimant string) bool { return alive[claimant] })
	f.table.Expire(f.node.dependencies.Clock.Now())
}

// handoversDone reports whether the node holds no slot and has nothing left to
// send to another node.
func (f *dedupeFilter) handoversDone() bool {
	if f.pendingSettlements.Load() > 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maintainSlots()
	for _, slot := range f.slots {
		if slot.held || slot.handovers.pending() {
			return false
		}
	}
	return true
}
