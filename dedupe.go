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
	// claimPause is how long a claimant waits before it claims again.
	claimPause = 20 * time.Millisecond
	// claimPatience is how long a claimant looks for the holder of a key.
	claimPatience = 2 * time.Second
	// claimTimeout is how long a holder may take to answer.
	claimTimeout = time.Second
	// joinTime is how long a holder lets a resend wait for the first request
	// before it has to claim again.
	joinTime = 500 * time.Millisecond
	// settlePatience is how long a claimant tries to tell the outcome.
	settlePatience = 5 * time.Second
	// keyRetry is when a caller should send a key again that can't be
	// decided now.
	keyRetry = time.Second
)

type (
	// dedupe is the filter that runs a request with an idempotency key once.
	dedupe struct {
		node *Node
		next exchanger.Handler
		// settling counts outcomes that the holder has not been told.
		settling atomic.Int64

		mu sync.Mutex
		// table holds the keys of the slots in holdings.
		table    *deduper.Table
		holdings map[deduper.Slot]*holding
		// settled is closed at the next settlement.
		settled chan struct{}
	}

	// claimed is a request with its claim.
	claimed struct {
		request *exchanger.Request
		claim   deduper.Claim
		slot    deduper.Slot
	}
)

func newDedupe(n *Node, next exchanger.Handler) *dedupe {
	return &dedupe{
		node:     n,
		next:     next,
		table:    deduper.NewTable(),
		holdings: map[deduper.Slot]*holding{},
		settled:  make(chan struct{}),
	}
}

// Handle runs r unless its key stands for a request that has run or may have.
func (d *dedupe) Handle(ctx context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	if r.Idempotent || r.IdempotencyKey == "" || r.Customer == "" {
		return d.next.Handle(ctx, r)
	}
	c := d.newClaim(r)
	verdict, kept := d.decide(ctx, c)
	switch verdict {
	case deduper.VerdictRun:
		return d.run(ctx, c)
	case deduper.VerdictAnswered:
		return keptAnswer(kept), nil
	case deduper.VerdictConflict:
		return nil, exchanger.NotRun(http.StatusUnprocessableEntity, exchanger.ReasonIdempotencyKeyReused, "the idempotency key stands for another request")
	case deduper.VerdictTableFull:
		refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "no room for another idempotency key")
		refusal.RetryAfter = keyRetry
		return nil, refusal
	default:
		refusal := exchanger.Unknown(http.StatusServiceUnavailable, exchanger.ReasonReplayUnknown, "a request with this idempotency key may have run")
		refusal.RetryAfter = keyRetry
		return nil, refusal
	}
}

func (d *dedupe) newClaim(r *exchanger.Request) *claimed {
	key := deduper.KeyDigest(r.Service, r.Customer, r.IdempotencyKey)
	return &claimed{
		request: r,
		slot:    deduper.SlotForKey(r.Service, key),
		claim: deduper.Claim{
			KeyDigest:     key,
			RequestDigest: deduper.RequestDigest(r),
			AttemptID:     uuid.New(),
			Claimant:      d.node.self.Incarnation,
			KeyTime:       deduper.KeyTime(r.IdempotencyKey, d.node.edges.Clock.Now()),
			Deadline:      r.Deadline,
		},
	}
}

// decide claims the key until its holder has decided. A holder that is not
// found in time leaves it unknown: the key may have run before.
func (d *dedupe) decide(ctx context.Context, c *claimed) (v deduper.Verdict, kept *deduper.Answer) {
	patience := d.node.edges.Clock.Now().Add(claimPatience)
	for ctx.Err() == nil {
		v, kept, err := d.claimOnce(ctx, c)
		joined := err == nil && v == deduper.VerdictRunning
		if err == nil && !joined && v != deduper.VerdictNotHolder {
			return v, kept
		}
		if !joined && d.node.edges.Clock.Now().After(patience) {
			break
		}
		if !joined {
			timekeeper.Sleep(ctx, claimPause)
		}
	}
	// The holder may have granted a claim whose answer was lost.
	d.settle(c, deduper.Outcome{NotRun: true})
	return deduper.VerdictUnknown, nil
}

func (d *dedupe) claimOnce(ctx context.Context, c *claimed) (v deduper.Verdict, kept *deduper.Answer, err error) {
	owner, found := d.node.membership.tenure.Owner(slotResource(c.slot))
	if !found {
		return deduper.VerdictNotHolder, nil, nil
	}
	if owner.Self {
		v, kept = d.claim(ctx, c.slot, c.claim)
		return v, kept, nil
	}
	return d.node.claim(ctx, owner.Member, c)
}

// run runs the request and settles its claim.
func (d *dedupe) run(ctx context.Context, c *claimed) (*exchanger.Answer, error) {
	if ctx.Err() != nil {
		d.settle(c, deduper.Outcome{NotRun: true})
		return nil, exchanger.NotRun(http.StatusGatewayTimeout, exchanger.ReasonDeadline, "the deadline passed before the request ran")
	}
	answer, err := d.next.Handle(ctx, c.request)
	if err != nil {
		refusal := exchanger.AsRefusal(err)
		d.settle(c, deduper.Outcome{NotRun: refusal.Ran == exchanger.RanNo})
		return nil, refusal
	}
	body := &keptBody{ReadCloser: answer.Body, status: answer.Status, header: answer.Header}
	body.end = func(kept *deduper.Answer) { d.settle(c, deduper.Outcome{Answer: kept}) }
	answer.Body = body
	return answer, nil
}

// settle tells the holder of the key how the request ended. The caller's
// answer does not wait for it: a resend joins the claim until then.
func (d *dedupe) settle(c *claimed, o deduper.Outcome) {
	d.settling.Add(1)
	go func() {
		defer d.settling.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), settlePatience)
		defer cancel()
		for ctx.Err() == nil && !d.settleOnce(ctx, c, o) {
			timekeeper.Sleep(ctx, claimPause)
		}
	}()
}

func (d *dedupe) settleOnce(ctx context.Context, c *claimed, o deduper.Outcome) (settled bool) {
	owner, found := d.node.membership.tenure.Owner(slotResource(c.slot))
	if !found {
		return false
	}
	if owner.Self {
		return d.settleHere(c.slot, c.claim.KeyDigest, c.claim.AttemptID, o)
	}
	return d.node.settle(ctx, owner.Member, c, o)
}

// claim decides a claim as the holder of its slot. A resend waits for a while
// for the first request to end.
func (d *dedupe) claim(ctx context.Context, s deduper.Slot, c deduper.Claim) (v deduper.Verdict, kept *deduper.Answer) {
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	for {
		v, kept, settled := d.claimNow(s, c)
		if v != deduper.VerdictRunning {
			return v, kept
		}
		select {
		case <-ctx.Done():
			return v, nil
		case <-settled:
		}
	}
}

func (d *dedupe) claimNow(s deduper.Slot, c deduper.Claim) (v deduper.Verdict, kept *deduper.Answer, settled <-chan struct{}) {
	x := d.node.index.Load()
	service := x.Service(s.Service)
	if service == nil {
		return deduper.VerdictNotHolder, nil, nil
	}
	c.ReplayWindow = service.Replay.Std()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.sync(s)
	v, kept = d.table.Claim(now, s, c)
	return v, kept, d.settled
}

// settleHere settles a claim as the holder of its slot; false when the node
// does not hold it.
func (d *dedupe) settleHere(s deduper.Slot, key deduper.Digest, id uuid.UUID, o deduper.Outcome) (held bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.sync(s)
	held = d.table.Settle(now, s, key, id, o)
	close(d.settled)
	d.settled = make(chan struct{})
	return held
}

// keep begins and ends the tenures of slots in time, until ctx ends.
func (d *dedupe) keep(ctx context.Context) error {
	for ctx.Err() == nil {
		if x := d.node.index.Load(); x != nil && x.State.Manifest != nil {
			d.keepOnce(x.State)
		}
		d.node.awaitKeep(ctx)
	}
	return nil
}

func (d *dedupe) keepOnce(s *folder.State) {
	alive := map[string]bool{}
	for _, m := range s.Members {
		alive[m.Incarnation] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncAll()
	d.table.AbandonClaims(func(claimant string) bool { return alive[claimant] })
	d.table.Expire(d.node.edges.Clock.Now())
}

// idle reports whether nothing has to be told to another node any more.
func (d *dedupe) idle() bool {
	if d.settling.Load() > 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncAll()
	for _, h := range d.holdings {
		if h.held || h.keys.waiting() {
			return false
		}
	}
	return true
}
