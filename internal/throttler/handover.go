package throttler

import "time"

type (
	// Books is what a holder knows to be lent, and what it has left. A
	// successor that gets them need not keep back all that may be lent, nor
	// start without tokens.
	HandoverState struct {
		// Untouched says that nobody has used the limit yet. The other fields
		// do not count.
		Unused bool
		// Limit is the largest limit of the tenure.
		LargestLimit Limit
		// Tokens are unspent.
		UnspentTokens MilliTokens
		// Spots are tokens lent for requests at hand.
		OnDemandTokens MilliTokens
		// Earlier bounds the shares that still earlier holders lent.
		EarlierShares Limit
		// EarlierFor is how long these may still be in use.
		EarlierValidFor time.Duration
		// Loans are the shares lent in this tenure.
		Loans []Loan
	}

	// Loan is a share that was lent.
	Loan struct {
		// Borrower is unique for each incarnation of a node.
		Borrower string
		// Share is what was lent.
		Share Limit
		// For is how long it may still be in use.
		ValidFor time.Duration
	}
)

// Close ends the node's tenure and returns its books; false without a tenure.
func (b *Bucket) HandOver(now time.Time) (books HandoverState, held bool) {
	if !b.IsHolder() {
		return HandoverState{}, false
	}
	b.advance(now)
	books = HandoverState{LargestLimit: b.top, UnspentTokens: max(min(b.tokens, b.free.sub(b.share).Burst), 0), EarlierShares: b.earlier}
	if b.earlier != (Limit{}) {
		books.EarlierValidFor = b.earlierUntil.Sub(now)
	}
	for borrower, l := range b.loans {
		books.Loans = append(books.Loans, Loan{borrower, l.limit, l.until.Sub(now)})
	}
	for _, s := range b.lent {
		books.OnDemandTokens += s.tokens
	}
	b.tokens -= books.UnspentTokens
	b.EndTenure(now)
	return books, true
}

// Open takes the books of the holder before this one, which ended its tenure
// when this one's began. Only the first books of a tenure count, and only
// before Lease has passed since its begin.
func (b *Bucket) ApplyHandover(now time.Time, books HandoverState) {
	if !b.IsHolder() || b.opened || !now.Before(b.since.Add(ShareDuration)) || len(b.loans) > 0 {
		return
	}
	b.opened = true
	if books.Unused {
		books = HandoverState{LargestLimit: b.own, UnspentTokens: b.own.Burst}
	}
	b.advance(now)
	b.top = Limit{RatePerSecond: max(b.top.RatePerSecond, books.LargestLimit.RatePerSecond), Burst: max(b.top.Burst, books.LargestLimit.Burst)}
	lent := books.EarlierShares.Burst + books.OnDemandTokens
	b.earlier = books.EarlierShares
	b.earlierUntil = now.Add(books.EarlierValidFor + margin(books.EarlierValidFor))
	for _, l := range books.Loans {
		lent += l.Share.Burst
		b.loans[l.Borrower] = &loan{limit: l.Share, until: now.Add(l.ValidFor + margin(l.ValidFor))}
	}
	b.lent = append(b.lent, spot{tokens: books.OnDemandTokens, until: now.Add(OnDemandDuration + margin(OnDemandDuration))})
	b.settle()
	// The tokens were unspent all the time that the books were on their way,
	// beside those that this holder had meanwhile.
	tokens := max(min(books.UnspentTokens, b.slack-lent), 0)
	b.tokens = max(min(b.tokens+tokens, b.free.Burst), 0)
	b.noteSlack()
}
