package flamingotack

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/throttler"
	"github.com/flamingotack/flamingotack/internal/tracker"
)

const (
	// handoverCallTimeout bounds the time that the next holder takes to accept a
	// handover message.
	handoverCallTimeout = 500 * time.Millisecond
	// limitSettleTime is how long a limit must not have changed for
	// throttler.TenureStart.LimitUnchanged.
	limitSettleTime = throttler.ShareDuration + throttler.ShareDuration/10
	// tokenExpiryTime is the time after the removal of a customer at which the
	// last of its tokens has certainly expired: a holder may not know of the
	// removal for the longest freshness bound, and its loans expire after that.
	tokenExpiryTime = limitSettleTime + 12*time.Second
)

// Inherit accepts the loans and tokens of the previous holder.
func (p *peerServer) Inherit(_ context.Context, m *messenger.InheritRequest) (*messenger.InheritResponse, error) {
	index := p.node.index.Load()
	if index == nil || index.Customer(m.GetCustomer()) == nil {
		return &messenger.InheritResponse{}, nil
	}
	content := throttler.HandoverState{
		Unused:          m.GetUntouched(),
		UnspentTokens:   throttler.MilliTokens(max(m.GetTokens(), 0)),
		LargestLimit:    decodeLimit(m.GetLimit()),
		OnDemandTokens:  throttler.MilliTokens(m.GetSpots()),
		EarlierShares:   decodeLimit(m.GetEarlier()),
		EarlierValidFor: time.Duration(m.GetEarlierMicros()) * time.Microsecond,
	}
	for _, l := range m.GetLoans() {
		content.Loans = append(content.Loans, throttler.Loan{
			Borrower: l.GetBorrower(),
			Share:    decodeLimit(l.GetShare()),
			ValidFor: time.Duration(l.GetValidMicros()) * time.Microsecond,
		})
	}
	sender := holder.Identity{Name: m.GetSender().GetName(), Incarnation: m.GetSender().GetIncarnation()}
	accepted := p.node.rateLimit.limiter(m.GetCustomer()).receiveHandover(m.GetSince(), sender, content)
	return &messenger.InheritResponse{Accepted: accepted}, nil
}

// Lease lends a share or tokens of a customer's rate.
func (p *peerServer) Lease(_ context.Context, m *messenger.LeaseRequest) (*messenger.LeaseResponse, error) {
	index := p.node.index.Load()
	if index == nil || index.Customer(m.GetCustomer()) == nil {
		return &messenger.LeaseResponse{}, nil
	}
	grant := p.node.rateLimit.limiter(m.GetCustomer()).lend(throttler.LoanRequest{
		Borrower:        m.GetSender().GetName() + "/" + m.GetSender().GetIncarnation(),
		Sequence:        m.GetSequence(),
		LenderTenure:    m.GetTenure(),
		RenewShare:      m.GetRenew(),
		KeptShare:       decodeLimit(m.GetHold()),
		DemandPerSecond: throttler.MilliTokens(m.GetDemand()),
		ReturnedTokens:  throttler.MilliTokens(m.GetReturned()),
		OnDemandTokens:  throttler.MilliTokens(m.GetSpot()),
	})
	return &messenger.LeaseResponse{
		Tenure:          grant.LenderTenure,
		Renewed:         grant.ShareRenewed,
		Share:           encodeLimit(grant.Share),
		Tokens:          int64(grant.ShareTokens),
		ValidMicros:     grant.ShareValidFor.Microseconds(),
		Spot:            int64(grant.OnDemandTokens),
		SpotValidMicros: grant.OnDemandValidFor.Microseconds(),
		Left:            int64(grant.LenderTokens),
		WaitMicros:      grant.TimeToNextToken.Microseconds(),
	}, nil
}

// domainLendersOf returns the first member of each failure domain in an order,
// without the first member of all, which is the holder. It returns at most
// limit members.
func domainLendersOf(order []folder.Member, limit int) (lenders []folder.Member) {
	seen := map[string]bool{}
	for _, m := range order[1:] {
		if len(lenders) >= limit {
			break
		}
		if !seen[m.Domain] {
			seen[m.Domain] = true
			lenders = append(lenders, m)
		}
	}
	return lenders
}

// sendLimitHandover sends the content of an ended period to the next holder.
// It returns false unless the holder has accepted it.
func (n *Node) sendLimitHandover(endedPeriod tracker.OwnershipPeriod, customer string, content throttler.HandoverState) (accepted bool) {
	request := &messenger.InheritRequest{
		Sender:        n.sender.Self,
		Customer:      customer,
		Since:         endedPeriod.EndOffset,
		Untouched:     content.Unused,
		Tokens:        int64(content.UnspentTokens),
		Limit:         encodeLimit(content.LargestLimit),
		Spots:         int64(content.OnDemandTokens),
		Earlier:       encodeLimit(content.EarlierShares),
		EarlierMicros: content.EarlierValidFor.Microseconds(),
	}
	for _, l := range content.Loans {
		request.Loans = append(request.Loans, &messenger.Loan{
			Borrower:    l.Borrower,
			Share:       encodeLimit(l.Share),
			ValidMicros: l.ValidFor.Microseconds(),
		})
	}
	response, err := connector.Call(context.Background(), n.connector, endedPeriod.NextOwner.PeerAddress, handoverCallTimeout,
		func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.InheritResponse, error) {
			return client.Inherit(ctx, request)
		})
	return err == nil && response.GetAccepted()
}

// sendLoanRequest requests a share or tokens from a member.
func (n *Node) sendLoanRequest(name, customer string, loanRequest throttler.LoanRequest, timeout time.Duration) (grant throttler.Grant, err error) {
	defer func() { err = errors.Wrapf(err, "request tokens from node %q", name) }()
	m, found := n.index.Load().State.Member(name)
	if !found {
		return throttler.Grant{}, errors.New("not a member of the current view")
	}
	request := &messenger.LeaseRequest{
		Sender:   n.sender.Self,
		Customer: customer,
		Sequence: loanRequest.Sequence,
		Tenure:   loanRequest.LenderTenure,
		Renew:    loanRequest.RenewShare,
		Hold:     encodeLimit(loanRequest.KeptShare),
		Demand:   int64(loanRequest.DemandPerSecond),
		Returned: int64(loanRequest.ReturnedTokens),
		Spot:     int64(loanRequest.OnDemandTokens),
	}
	r, err := connector.Call(context.Background(), n.connector, m.PeerAddress, timeout,
		func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.LeaseResponse, error) {
			return client.Lease(ctx, request)
		})
	if err != nil {
		return throttler.Grant{}, err
	}
	return throttler.Grant{
		LenderTenure:     r.GetTenure(),
		ShareRenewed:     r.GetRenewed(),
		Share:            decodeLimit(r.GetShare()),
		ShareTokens:      throttler.MilliTokens(r.GetTokens()),
		ShareValidFor:    time.Duration(r.GetValidMicros()) * time.Microsecond,
		OnDemandTokens:   throttler.MilliTokens(r.GetSpot()),
		OnDemandValidFor: time.Duration(r.GetSpotValidMicros()) * time.Microsecond,
		LenderTokens:     throttler.MilliTokens(r.GetLeft()),
		TimeToNextToken:  time.Duration(r.GetWaitMicros()) * time.Microsecond,
	}, nil
}

func encodeLimit(l throttler.Limit) *messenger.Share {
	return &messenger.Share{Rate: int64(l.RatePerSecond), Burst: int64(l.Burst)}
}

func decodeLimit(m *messenger.Share) throttler.Limit {
	return throttler.Limit{
		RatePerSecond: throttler.MilliTokens(max(m.GetRate(), 0)),
		Burst:         throttler.MilliTokens(max(m.GetBurst(), 0)),
	}
}
