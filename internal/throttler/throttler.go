// Package throttler implements a distributed token bucket: it enforces a
// customer's rate and burst across all nodes. It performs no I/O and reads no
// clock.
//
// One node, the holder, owns a customer's whole limit for the duration of its
// tenure. It lends parts of the limit: shares of the rate and the burst, for
// seconds, to nodes with steady demand, and on-demand tokens, for a fraction of
// a second, to nodes with waiting requests. A node with a share lends tokens
// from it in the same way. Everything lent counts against the lender's own
// limit until it has certainly expired, so tokens are moved and never created:
//
//   - the unspent tokens of all nodes together never exceed the burst;
//   - the refill rates of all nodes together never exceed the rate.
//
// Hence at most burst + rate*t requests are admitted over any time t, counted
// at the moment of their admission.
//
// Assumptions: the tenures of two holders do not overlap; the monotonic clocks
// of any two nodes differ in rate by less than 1 in 20 and continue while a
// process is paused. Wall clocks do not matter. The time t is that of the
// fastest clock. After a change of the limit, the bound is that of the larger
// limit until ShareDuration and its clock margin have passed at the holder.
package throttler

import "time"

const (
	// ShareDuration is how long a share is valid after it was requested.
	ShareDuration = 20 * time.Second
	// RenewalInterval is how long a node uses a share before it renews it.
	RenewalInterval = 5 * time.Second
	// MaxTokenWait is how long a request waits for a token before it is
	// refused.
	MaxTokenWait = 25 * time.Millisecond
	// OnDemandDuration is how long an on-demand token is valid after it was
	// requested.
	OnDemandDuration = 20 * time.Millisecond

	// clockDriftDivisor divides a duration into its margin for clocks that run
	// at different rates.
	clockDriftDivisor = 20
	// minShareDemand is the demand per second from which a node requests a
	// share.
	minShareDemand = 4 * Token
	// lendableNumerator / lendableDenominator is the largest fraction of a
	// limit that is lent in shares. A new holder may use the rest at once.
	lendableNumerator   = 3
	lendableDenominator = 4
	// minLendableBurst is the smallest burst of a limit that is lent in
	// shares. Parts of a smaller burst are too small to be of use to any node.
	minLendableBurst = 20 * Token
)

type (
	// LoanRequest is a borrower's request to a lender.
	LoanRequest struct {
		// Borrower is unique for each incarnation of a node.
		Borrower string
		// Sequence increases with each share request of a borrower.
		Sequence uint64
		// LenderTenure is the lender's tenure as known to the borrower. A share
		// is renewed only in that tenure.
		LenderTenure uint64
		// RenewShare reports whether KeptShare, DemandPerSecond and
		// ReturnedTokens are set.
		RenewShare bool
		// KeptShare is the part of its share that the borrower keeps,
		// regardless of the answer. It has given up the rest.
		KeptShare Limit
		// DemandPerSecond is the borrower's demand per second.
		DemandPerSecond MilliTokens
		// ReturnedTokens are unspent tokens that the borrower gives back.
		ReturnedTokens MilliTokens
		// OnDemandTokens are the tokens requested for waiting requests.
		OnDemandTokens MilliTokens
	}

	// Grant is the answer to a LoanRequest.
	Grant struct {
		// LenderTenure is the lender's tenure; 0 when the lender is not the
		// holder.
		LenderTenure uint64
		// ShareRenewed reports whether Share, ShareTokens and ShareValidFor are
		// set.
		ShareRenewed bool
		// Share replaces the borrower's share.
		Share Limit
		// ShareTokens are the unspent tokens that come with the share.
		ShareTokens MilliTokens
		// ShareValidFor is how long the share is valid after it was requested.
		ShareValidFor time.Duration
		// OnDemandTokens are tokens for waiting requests.
		OnDemandTokens MilliTokens
		// OnDemandValidFor is how long OnDemandTokens are valid after they were
		// requested.
		OnDemandValidFor time.Duration
		// LenderTokens are the lender's unspent tokens.
		LenderTokens MilliTokens
		// TimeToNextToken is how long it takes until the lender expects another
		// token; zero with OnDemandTokens.
		TimeToNextToken time.Duration
	}

	// TenureStart describes the limit at the start of a tenure.
	TenureStart struct {
		// FirstTenure reports whether no node has held the limit before.
		FirstTenure bool
		// LimitUnchanged reports whether the limit has not changed for
		// ShareDuration and its clock margin, so that earlier holders lent
		// under the same limit.
		LimitUnchanged bool
	}

	// loan is a lent share.
	loan struct {
		share     Limit
		expiresAt time.Time
		sequence  uint64
	}

	// expiringTokens are tokens that expire at a given time.
	expiringTokens struct {
		tokens    MilliTokens
		expiresAt time.Time
		// reserved reports whether the tokens were reserved instead of lent.
		reserved bool
	}
)

// LendableLimit returns the largest part of a limit that is lent in shares.
func LendableLimit(l Limit) Limit {
	if l.Burst < minLendableBurst {
		return Limit{}
	}
	return l.scaled(lendableNumerator, lendableDenominator)
}

// clockMargin returns how much longer a lender counts a loan as valid than its
// borrower does.
func clockMargin(validFor time.Duration) time.Duration {
	return validFor / clockDriftDivisor
}

// DomainLenderCount returns how many nodes, at most one per failure domain,
// borrow shares of a limit in order to lend tokens to other nodes.
func DomainLenderCount(l Limit, domains int) int {
	return min(domains, int(LendableLimit(l).Burst/(10*Token)))
}
