package throttler

import "time"

type (
	// HandoverState is what a holder has lent and what it has left. A successor
	// that receives it need not reserve all that may be lent, nor start without
	// tokens.
	HandoverState struct {
		// Unused reports whether no node has used the limit yet. The other
		// fields are then ignored.
		Unused bool
		// LargestLimit is the largest limit of the tenure.
		LargestLimit Limit
		// UnspentTokens are the holder's unspent tokens.
		UnspentTokens MilliTokens
		// OnDemandTokens are the on-demand tokens lent in the tenure.
		OnDemandTokens MilliTokens
		// EarlierShares bounds the shares lent by earlier holders.
		EarlierShares Limit
		// EarlierValidFor is how long EarlierShares may still be in use.
		EarlierValidFor time.Duration
		// Loans are the shares lent in this tenure.
		Loans []Loan
	}

	// Loan is a lent share.
	Loan struct {
		// Borrower is unique for each incarnation of a node.
		Borrower string
		// Share is the lent part of the limit.
		Share Limit
		// ValidFor is how long Share may still be in use.
		ValidFor time.Duration
	}
)

// HandOver ends the node's tenure and returns its state for the successor;
// false when the node is not the holder.
func (b *Bucket) HandOver(now time.Time) (state HandoverState, held bool) {
	if !b.IsHolder() {
		return HandoverState{}, false
	}
	b.advance(now)
	state = HandoverState{LargestLimit: b.largestLimit, UnspentTokens: max(min(b.tokens, b.unlentLimit.sub(b.share).Burst), 0), EarlierShares: b.earlierShares}
	if b.earlierShares != (Limit{}) {
		state.EarlierValidFor = b.earlierExpireAt.Sub(now)
	}
	for borrower, l := range b.loans {
		state.Loans = append(state.Loans, Loan{borrower, l.share, l.expiresAt.Sub(now)})
	}
	for _, s := range b.lentOnDemand {
		state.OnDemandTokens += s.tokens
	}
	b.tokens -= state.UnspentTokens
	b.EndTenure(now)
	return state, true
}

// ApplyHandover takes over the state of the previous holder, whose tenure ended
// when this one began. Only the first state in a tenure is used, and only within
// ShareDuration of the start of the tenure.
func (b *Bucket) ApplyHandover(now time.Time, state HandoverState) {
	if !b.IsHolder() || b.handoverApplied || !now.Before(b.tenureStart.Add(ShareDuration)) || len(b.loans) > 0 {
		return
	}
	b.handoverApplied = true
	if state.Unused {
		state = HandoverState{LargestLimit: b.ownLimit, UnspentTokens: b.ownLimit.Burst}
	}
	b.advance(now)
	b.largestLimit = Limit{RatePerSecond: max(b.largestLimit.RatePerSecond, state.LargestLimit.RatePerSecond), Burst: max(b.largestLimit.Burst, state.LargestLimit.Burst)}
	lent := state.EarlierShares.Burst + state.OnDemandTokens
	b.earlierShares = state.EarlierShares
	b.earlierExpireAt = now.Add(state.EarlierValidFor + clockMargin(state.EarlierValidFor))
	for _, l := range state.Loans {
		lent += l.Share.Burst
		b.loans[l.Borrower] = &loan{share: l.Share, expiresAt: now.Add(l.ValidFor + clockMargin(l.ValidFor))}
	}
	b.lentOnDemand = append(b.lentOnDemand, expiringTokens{tokens: state.OnDemandTokens, expiresAt: now.Add(OnDemandDuration + clockMargin(OnDemandDuration))})
	b.recompute()
	// The tokens were unspent while the state was in transit, in addition to
	// those that this holder had in the meantime.
	tokens := max(min(state.UnspentTokens, b.minSpareBurst-lent), 0)
	b.tokens = max(min(b.tokens+tokens, b.unlentLimit.Burst), 0)
	b.updateSpareBurst()
}
