package throttler

import "time"

// Lend answers a loan request. The caller must have checked that the tenure, if
// the node has one, still lasts at now.
func (b *Bucket) Lend(now time.Time, request LoanRequest) (g Grant) {
	b.advance(now)
	g.LenderTenure = b.tenureID
	if request.RenewShare && b.IsHolder() && request.LenderTenure == b.tenureID {
		b.renewShare(now, request, &g)
	}
	if request.OnDemandTokens > 0 {
		b.windowDemand += request.OnDemandTokens
		b.lendOnDemand(now, request.OnDemandTokens, &g)
	}
	g.LenderTokens = b.tokens
	return g
}

// confirmedShare returns the part of KeptShare that this holder or an earlier one
// has lent. A share lent by an earlier holder moves from the bound on earlier
// shares to the loans.
func (b *Bucket) confirmedShare(l *loan, request LoanRequest) Limit {
	if l != nil {
		return request.KeptShare.limitedTo(l.share)
	}
	kept := request.KeptShare.limitedTo(b.earlierShares)
	b.earlierShares = b.earlierShares.sub(kept)
	return kept
}

// extraShare returns the share that a borrower gets in addition to kept, the share
// that it keeps.
func (b *Bucket) extraShare(request LoanRequest, kept Limit) Limit {
	if request.DemandPerSecond == 0 {
		return Limit{}
	}
	lendable := LendableLimit(b.ownLimit).sub(b.lentShares())
	want := Limit{RatePerSecond: scale(request.DemandPerSecond, headroomNumerator, headroomDenominator)}
	want.Burst = max(scale(b.ownLimit.Burst, want.RatePerSecond, b.ownLimit.RatePerSecond), 2*Token)
	extra := want.sub(kept).limitedTo(lendable).limitedTo(b.unlentLimit).nonNegative()
	if kept.Burst+extra.Burst < Token {
		return Limit{}
	}
	return extra
}

func (b *Bucket) lendOnDemand(now time.Time, want MilliTokens, g *Grant) {
	validFor := OnDemandDuration
	if !b.IsHolder() {
		validFor = min(validFor, b.shareExpiresAt.Sub(now)-clockMargin(OnDemandDuration))
	}
	tokens := min(want, b.tokens) / Token * Token
	if tokens <= 0 || validFor <= 0 {
		g.TimeToNextToken = b.TimeToNextToken(now)
		return
	}
	g.OnDemandTokens = tokens
	g.OnDemandValidFor = validFor
	b.tokens -= tokens
	b.lentOnDemand = append(b.lentOnDemand, expiringTokens{tokens: tokens, expiresAt: now.Add(validFor + clockMargin(validFor))})
	b.recompute()
}

// reducedShare returns the part of kept that the borrower may continue to use. It
// is less than kept when more is lent than LendableLimit allows.
func (b *Bucket) reducedShare(kept Limit) Limit {
	lendable := LendableLimit(b.ownLimit)
	lent := b.lentShares()
	if lent.RatePerSecond > lendable.RatePerSecond {
		kept.RatePerSecond = scale(kept.RatePerSecond, lendable.RatePerSecond, lent.RatePerSecond)
	}
	if lent.Burst > lendable.Burst {
		kept.Burst = scale(kept.Burst, lendable.Burst, lent.Burst)
	}
	return kept
}

// renewShare records the share that the borrower keeps and increases it to meet
// the borrower's demand.
func (b *Bucket) renewShare(now time.Time, request LoanRequest, g *Grant) {
	l := b.loans[request.Borrower]
	if l != nil && request.Sequence <= l.sequence {
		return
	}
	kept := b.confirmedShare(l, request)
	renewed := &loan{kept, now.Add(ShareDuration + clockMargin(ShareDuration)), request.Sequence}
	b.loans[request.Borrower] = renewed
	b.recompute()
	if l != nil {
		b.tokens = max(min(b.tokens+request.ReturnedTokens, b.unlentLimit.Burst), 0)
	}
	extra := b.extraShare(request, kept)
	tokens := min(scale(b.tokens, extra.Burst, b.unlentLimit.Burst), extra.Burst)
	b.tokens -= tokens
	renewed.share = kept.add(extra)
	g.ShareRenewed = true
	g.Share = b.reducedShare(kept).add(extra)
	g.ShareTokens = tokens
	g.ShareValidFor = ShareDuration
	b.recompute()
}

// lentShares returns the sum of all lent shares.
func (b *Bucket) lentShares() Limit {
	total := b.earlierShares
	for _, l := range b.loans {
		total = total.add(l.share)
	}
	return total
}
