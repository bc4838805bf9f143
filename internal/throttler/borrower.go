package throttler

import "time"

const (
	// answerTime is how long a renewal may go unanswered before the next.
	answerTime = 500 * time.Millisecond
	// raiseTime is the shortest time between two asks for a larger share.
	raiseTime = time.Second
)

// Renewal returns the ask for a share, to be sent to the holder; false when
// none is due. deputy says that other nodes ask this one for tokens. The
// bucket has already given up what the ask does not hold.
func (b *Bucket) NextLoanRequest(now time.Time, deputy bool) (a LoanRequest, due bool) {
	b.advance(now)
	wanted := b.demand >= minShareDemand || deputy && b.demand > 0
	if b.IsHolder() || !wanted && b.share == (Limit{}) || !b.due(now) {
		return LoanRequest{}, false
	}
	before := b.tokens
	b.share = b.kept(wanted)
	b.settle()
	b.sequence++
	b.sent = now
	b.renewAt = now.Add(answerTime)
	a = LoanRequest{
		Sequence:       b.sequence,
		LenderTenure:   b.lender,
		RenewShare:     true,
		KeptShare:      b.share,
		ReturnedTokens: before - b.tokens,
	}
	if wanted {
		a.DemandPerSecond = b.demand
	}
	return a, true
}

// Take accepts the answer to an ask that was sent at sent. It is called at
// most once for each ask.
func (b *Bucket) ApplyGrant(now, sent time.Time, a LoanRequest, g Grant) {
	b.advance(now)
	if a.RenewShare && a.Sequence == b.sequence {
		b.takeShare(now, sent, a, g)
	}
	if g.OnDemandTokens > 0 {
		b.spots = append(b.spots, spot{tokens: g.OnDemandTokens, until: sent.Add(g.OnDemandValidFor)})
	}
	b.advance(now)
}

func (b *Bucket) due(now time.Time) bool {
	if !now.Before(b.renewAt) {
		return true
	}
	return b.demand > b.share.RatePerSecond && now.Sub(b.sent) >= raiseTime
}

// kept returns the part of the share that the node still needs. What it lent
// out of the share stays with it.
func (b *Bucket) kept(wanted bool) Limit {
	need := scale(b.demand, headroom, headroomWhole)
	if wanted && b.share.RatePerSecond <= 2*need {
		return b.share
	}
	var kept Limit
	if wanted {
		kept.RatePerSecond = need
		kept.Burst = max(scale(b.share.Burst, need, b.share.RatePerSecond), Token)
	}
	for _, s := range b.lent {
		kept.Burst += s.tokens
	}
	return kept.limited(b.share)
}

func (b *Bucket) takeShare(now, sent time.Time, a LoanRequest, g Grant) {
	if g.LenderTenure != a.LenderTenure && g.LenderTenure != 0 {
		b.lender = g.LenderTenure
		b.renewAt = now
		return
	}
	until := sent.Add(g.ShareValidFor)
	if !g.ShareRenewed || !now.Before(until) {
		return
	}
	b.share = g.Share
	b.shareUntil = until
	b.renewAt = sent.Add(RenewalInterval)
	b.settle()
	b.tokens = max(min(b.tokens+g.ShareTokens, b.free.Burst), 0)
}
