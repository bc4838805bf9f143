package throttler

import "time"

const (
	// answerTimeout is how long a share request may remain unanswered before
	// the next one is sent.
	answerTimeout = 500 * time.Millisecond
	// minRaiseInterval is the shortest time between two requests for a larger
	// share.
	minRaiseInterval = time.Second
)

// NextLoanRequest returns the share request to send to the holder; false when
// none is due. isDomainLender reports whether other nodes request tokens from
// this one. The bucket has already given up the part of its share that is not in
// KeptShare.
func (b *Bucket) NextLoanRequest(now time.Time, isDomainLender bool) (request LoanRequest, due bool) {
	b.advance(now)
	wantsShare := b.demandPerSecond >= minShareDemand || isDomainLender && b.demandPerSecond > 0
	if b.IsHolder() || !wantsShare && b.share == (Limit{}) || !b.isRequestDue(now) {
		return LoanRequest{}, false
	}
	tokensBefore := b.tokens
	b.share = b.shareToKeep(wantsShare)
	b.recompute()
	b.lastSequence++
	b.lastSentAt = now
	b.nextRequestAt = now.Add(answerTimeout)
	request = LoanRequest{
		Sequence:       b.lastSequence,
		LenderTenure:   b.lenderTenure,
		RenewShare:     true,
		KeptShare:      b.share,
		ReturnedTokens: tokensBefore - b.tokens,
	}
	if wantsShare {
		request.DemandPerSecond = b.demandPerSecond
	}
	return request, true
}

// ApplyGrant applies the answer to a request that was sent at sentAt. It is
// called at most once for each request.
func (b *Bucket) ApplyGrant(now, sentAt time.Time, request LoanRequest, g Grant) {
	b.advance(now)
	if request.RenewShare && request.Sequence == b.lastSequence {
		b.applyShare(now, sentAt, request, g)
	}
	if g.OnDemandTokens > 0 {
		b.borrowedOnDemand = append(b.borrowedOnDemand, expiringTokens{tokens: g.OnDemandTokens, expiresAt: sentAt.Add(g.OnDemandValidFor)})
	}
	b.advance(now)
}

func (b *Bucket) isRequestDue(now time.Time) bool {
	if !now.Before(b.nextRequestAt) {
		return true
	}
	return b.demandPerSecond > b.share.RatePerSecond && now.Sub(b.lastSentAt) >= minRaiseInterval
}

// shareToKeep returns the part of the share that the node still needs. It
// includes the tokens that the node lent from the share.
func (b *Bucket) shareToKeep(wantsShare bool) Limit {
	need := scale(b.demandPerSecond, headroomNumerator, headroomDenominator)
	if wantsShare && b.share.RatePerSecond <= 2*need {
		return b.share
	}
	var kept Limit
	if wantsShare {
		kept.RatePerSecond = need
		kept.Burst = max(scale(b.share.Burst, need, b.share.RatePerSecond), Token)
	}
	for _, s := range b.lentOnDemand {
		kept.Burst += s.tokens
	}
	return kept.limitedTo(b.share)
}

func (b *Bucket) applyShare(now, sentAt time.Time, request LoanRequest, g Grant) {
	if g.LenderTenure != request.LenderTenure && g.LenderTenure != 0 {
		b.lenderTenure = g.LenderTenure
		b.nextRequestAt = now
		return
	}
	expiresAt := sentAt.Add(g.ShareValidFor)
	if !g.ShareRenewed || !now.Before(expiresAt) {
		return
	}
	b.share = g.Share
	b.shareExpiresAt = expiresAt
	b.nextRequestAt = sentAt.Add(RenewalInterval)
	b.recompute()
	b.tokens = max(min(b.tokens+g.ShareTokens, b.unlentLimit.Burst), 0)
}
