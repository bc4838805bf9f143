// Package throttler keeps a customer's rate and burst over all nodes
// together. It is policy without input, output or clock.
//
// One node, the holder, owns a customer's whole limit for as long as its
// tenure lasts. It lends parts of it: shares of the rate and the burst for
// seconds to nodes with steady demand, and single tokens for a fraction of a
// second to nodes that have a request at hand. A node with a share lends
// tokens out of it in the same way. Whatever is lent counts against the
// lender's own limit until it has surely expired, so parts are moved and
// never minted:
//
//   - unspent tokens, at all nodes together, never exceed the burst;
//   - the rates at which nodes refill never exceed the rate.
//
// Hence over any time t at most burst + rate*t requests are admitted,
// counted at the moment of their admission.
//
// What this rests on: the tenures of two holders do not overlap; the
// monotonic clocks of any two nodes differ in rate by less than 1 in 20 and
// go on while a process is paused; wall clocks do not matter. The time t is
// that of the fastest clock. After the limit was changed, the bound is that of the larger limit until Lease and its
// margin have passed at the holder.
package throttler

import "time"

const (
	// Lease is how long a share is good from when it was asked for.
	ShareDuration = 20 * time.Second
	// Renewal is how long a node keeps a share before it asks again.
	RenewalInterval = 5 * time.Second
	// MaxWait is how long a request waits for a token before it is refused.
	MaxTokenWait = 25 * time.Millisecond
	// Spot is how long a single token is good from when it was asked for.
	OnDemandDuration = 20 * time.Millisecond

	// drift is the divisor of the margin for clocks of different rates.
	drift = 20
	// minShareDemand is the demand a second from which a node asks for a
	// share of its own.
	minShareDemand = 4 * Token
	// sharedPart of sharedWhole is the most of a limit that is lent in
	// shares. A new holder may use the rest at once.
	sharedPart  = 3
	sharedWhole = 4
	// minSharedBurst is the least burst of a limit that is lent in shares: in
	// many parts a small burst serves nobody.
	minSharedBurst = 20 * Token
)

type (
	// Ask is a borrower's request to a lender.
	LoanRequest struct {
		// Borrower is unique for each incarnation of a node.
		Borrower string
		// Sequence grows with each ask for a share of a borrower.
		Sequence uint64
		// Tenure is the lender's tenure as the borrower knows it. A share is
		// renewed only in that tenure.
		LenderTenure uint64
		// Renew says that Hold, Demand and Returned count.
		RenewShare bool
		// Hold is the share that the borrower keeps, whatever the answer.
		// It has given up the rest.
		KeptShare Limit
		// Demand is what the borrower needs, in Milli a second.
		DemandPerSecond MilliTokens
		// Returned are unspent tokens that it gives back.
		ReturnedTokens MilliTokens
		// Spot are the tokens for requests at hand.
		OnDemandTokens MilliTokens
	}

	// Grant is the answer to an Ask.
	Grant struct {
		// Tenure is that of the lender; 0 when it is no holder.
		LenderTenure uint64
		// Renewed says that Share, Tokens and Valid count.
		ShareRenewed bool
		// Share replaces the borrower's share.
		Share Limit
		// Tokens come with the share, unspent.
		ShareTokens MilliTokens
		// Valid is how long the share is good from when it was asked for.
		ShareValidFor time.Duration
		// Spot are tokens for requests at hand.
		OnDemandTokens MilliTokens
		// SpotValid is how long these are good from when they were asked for.
		OnDemandValidFor time.Duration
		// Left are the lender's unspent tokens.
		LenderTokens MilliTokens
		// Wait is when the lender expects a token again; zero with Spot.
		TimeToNextToken time.Duration
	}

	// Start says what is known of a limit when a tenure begins.
	TenureStart struct {
		// First says that nobody has held the limit before.
		FirstTenure bool
		// Settled says that the limit has not changed for Lease and its
		// margin, so that earlier holders lent under the same limit.
		LimitUnchanged bool
	}

	// loan is a share that was lent.
	loan struct {
		limit    Limit
		until    time.Time
		sequence uint64
	}

	// spot are tokens with an end.
	spot struct {
		tokens MilliTokens
		until  time.Time
		// reserved says that the tokens were set aside, not lent.
		reserved bool
	}
)

// Shareable returns the most of a limit that is lent in shares.
func LendableLimit(l Limit) Limit {
	if l.Burst < minSharedBurst {
		return Limit{}
	}
	return l.part(sharedPart, sharedWhole)
}

// margin returns how much longer a lender counts what it lent for valid.
func margin(valid time.Duration) time.Duration {
	return valid / drift
}

// Deputies returns how many nodes, one in each of the failure domains at most,
// borrow shares of a limit to lend tokens to others.
func DomainLenderCount(l Limit, domains int) int {
	return min(domains, int(LendableLimit(l).Burst/(10*Token)))
}
