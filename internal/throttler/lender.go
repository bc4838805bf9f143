package throttler

import "time"

// Lend answers an ask. The caller has made sure that the tenure, if the node
// has one, still lasts at now.
func (b *Bucket) Lend(now time.Time, a LoanRequest) (g Grant) {
	b.advance(now)
	g.LenderTenure = b.tenure
	if a.RenewShare && b.IsHolder() && a.LenderTenure == b.tenure {
		b.renew(now, a, &g)
	}
	if a.OnDemandTokens > 0 {
		b.wanted += a.OnDemandTokens
		b.lendSpot(now, a.OnDemandTokens, &g)
	}
	g.LenderTokens = b.tokens
	return g
}

// confirmed returns the part of the borrower's hold that a holder did lend.
// What an earlier holder lent moves from the bound on its shares to the books.
func (b *Bucket) confirmed(l *loan, a LoanRequest) Limit {
	if l != nil {
		return a.KeptShare.limited(l.limit)
	}
	hold := a.KeptShare.limited(b.earlier)
	b.earlier = b.earlier.sub(hold)
	return hold
}

// extra returns what a borrower that keeps hold gets on top.
func (b *Bucket) extra(a LoanRequest, hold Limit) Limit {
	if a.DemandPerSecond == 0 {
		return Limit{}
	}
	lendable := LendableLimit(b.own).sub(b.shared())
	want := Limit{RatePerSecond: scale(a.DemandPerSecond, headroom, headroomWhole)}
	want.Burst = max(scale(b.own.Burst, want.RatePerSecond, b.own.RatePerSecond), 2*Token)
	extra := want.sub(hold).limited(lendable).limited(b.free).floor()
	if hold.Burst+extra.Burst < Token {
		return Limit{}
	}
	return extra
}

func (b *Bucket) lendSpot(now time.Time, want MilliTokens, g *Grant) {
	valid := OnDemandDuration
	if !b.IsHolder() {
		valid = min(valid, b.shareUntil.Sub(now)-margin(OnDemandDuration))
	}
	tokens := min(want, b.tokens) / Token * Token
	if tokens <= 0 || valid <= 0 {
		g.TimeToNextToken = b.TimeToNextToken(now)
		return
	}
	g.OnDemandTokens = tokens
	g.OnDemandValidFor = valid
	b.tokens -= tokens
	b.lent = append(b.lent, spot{tokens: tokens, until: now.Add(valid + margin(valid))})
	b.settle()
}

// lowered returns the part of hold that a borrower may go on with, when less
// is to be lent than is.
func (b *Bucket) lowered(hold Limit) Limit {
	whole := LendableLimit(b.own)
	total := b.shared()
	if total.RatePerSecond > whole.RatePerSecond {
		hold.RatePerSecond = scale(hold.RatePerSecond, whole.RatePerSecond, total.RatePerSecond)
	}
	if total.Burst > whole.Burst {
		hold.Burst = scale(hold.Burst, whole.Burst, total.Burst)
	}
	return hold
}

// renew books the share that the borrower keeps and adds to it what it lacks.
func (b *Bucket) renew(now time.Time, a LoanRequest, g *Grant) {
	l := b.loans[a.Borrower]
	if l != nil && a.Sequence <= l.sequence {
		return
	}
	hold := b.confirmed(l, a)
	booked := &loan{hold, now.Add(ShareDuration + margin(ShareDuration)), a.Sequence}
	b.loans[a.Borrower] = booked
	b.settle()
	if l != nil {
		b.tokens = max(min(b.tokens+a.ReturnedTokens, b.free.Burst), 0)
	}
	extra := b.extra(a, hold)
	tokens := min(scale(b.tokens, extra.Burst, b.free.Burst), extra.Burst)
	b.tokens -= tokens
	booked.limit = hold.add(extra)
	g.ShareRenewed = true
	g.Share = b.lowered(hold).add(extra)
	g.ShareTokens = tokens
	g.ShareValidFor = ShareDuration
	b.settle()
}

// shared returns what is lent in shares.
func (b *Bucket) shared() Limit {
	total := b.earlier
	for _, l := range b.loans {
		total = total.add(l.limit)
	}
	return total
}
