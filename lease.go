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
	// limitSettleTime is how long a limit must not have changed to count as
	// settled.
	limitSettleTime = throttler.Lease + throttler.Lease/10
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
	content := throttler.Books{
		Untouched:  m.GetUntouched(),
		Tokens:     throttler.Milli(max(m.GetTokens(), 0)),
		Limit:      decodeLimit(m.GetLimit()),
		Spots:      throttler.Milli(m.GetSpots()),
		Earlier:    decodeLimit(m.GetEarlier()),
		EarlierFor: time.Duration(m.GetEarlierMicros()) * time.Microsecond,
	}
	for _, l := range m.GetLoans() {
		content.Loans = append(content.Loans, throttler.Loan{
			Borrower: l.GetBorrower(),
			Share:    decodeLimit(l.GetShare()),
			For:      time.Duration(l.GetValidMicros()) * time.Microsecond,
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
	grant := p.node.rateLimit.limiter(m.GetCustomer()).lend(throttler.Ask{
		Borrower: m.GetSender().GetName() + "/" + m.GetSender().GetIncarnation(),
		Sequence: m.GetSequence(),
		Tenure:   m.GetTenure(),
		Renew:    m.GetRenew(),
		Hold:     decodeLimit(m.GetHold()),
		Demand:   throttler.Milli(m.GetDemand()),
		Returned: throttler.Milli(m.GetReturned()),
		Spot:     throttler.Milli(m.GetSpot()),
	})
	return &messenger.LeaseResponse{
		Tenure:          grant.Tenure,
		Renewed:         grant.Renewed,
		Share:           encodeLimit(grant.Share),
		Tokens:          int64(grant.Tokens),
		ValidMicros:     grant.Valid.Microseconds(),
		Spot:            int64(grant.Spot),
		SpotValidMicros: grant.SpotValid.Microseconds(),
		Left:            int64(grant.Left),
		WaitMicros:      grant.Wait.Microseconds(),
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
func (n *Node) sendLimitHandover(endedPeriod tracker.Tenure, customer string, content throttler.Books) (accepted bool) {
	request := &messenger.InheritRequest{
		Sender:        n.sender.Self,
		Customer:      customer,
		Since:         endedPeriod.Until,
		Untouched:     content.Untouched,
		Tokens:        int64(content.Tokens),
		Limit:         encodeLimit(content.Limit),
		Spots:         int64(content.Spots),
		Earlier:       encodeLimit(content.Earlier),
		EarlierMicros: content.EarlierFor.Microseconds(),
	}
	for _, l := range content.Loans {
		request.Loans = append(request.Loans, &messenger.Loan{
			Borrower:    l.Borrower,
			Share:       encodeLimit(l.Share),
			ValidMicros: l.For.Microseconds(),
		})
	}
	response, err := connector.Call(context.Background(), n.connector, endedPeriod.Next.Peer, handoverCallTimeout,
		func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.InheritResponse, error) {
			return client.Inherit(ctx, request)
		})
	return err == nil && response.GetAccepted()
}

// sendLoanRequest requests a share or tokens from a member.
func (n *Node) sendLoanRequest(name, customer string, loanRequest throttler.Ask, timeout time.Duration) (grant throttler.Grant, err error) {
	defer func() { err = errors.Wrapf(err, "lease from %q", name) }()
	m, found := n.index.Load().State.Member(name)
	if !found {
		return throttler.Grant{}, errors.New("not a member of the current view")
	}
	request := &messenger.LeaseRequest{
		Sender:   n.sender.Self,
		Customer: customer,
		Sequence: loanRequest.Sequence,
		Tenure:   loanRequest.Tenure,
		Renew:    loanRequest.Renew,
		Hold:     encodeLimit(loanRequest.Hold),
		Demand:   int64(loanRequest.Demand),
		Returned: int64(loanRequest.Returned),
		Spot:     int64(loanRequest.Spot),
	}
	r, err := connector.Call(context.Background(), n.connector, m.Peer, timeout,
		func(ctx context.Context, client messenger.DRPCNodeClient) (*messenger.LeaseResponse, error) {
			return client.Lease(ctx, request)
		})
	if err != nil {
		return throttler.Grant{}, err
	}
	return throttler.Grant{
		Tenure:    r.GetTenure(),
		Renewed:   r.GetRenewed(),
		Share:     decodeLimit(r.GetShare()),
		Tokens:    throttler.Milli(r.GetTokens()),
		Valid:     time.Duration(r.GetValidMicros()) * time.Microsecond,
		Spot:      throttler.Milli(r.GetSpot()),
		SpotValid: time.Duration(r.GetSpotValidMicros()) * time.Microsecond,
		Left:      throttler.Milli(r.GetLeft()),
		Wait:      time.Duration(r.GetWaitMicros()) * time.Microsecond,
	}, nil
}

func encodeLimit(l throttler.Limit) *messenger.Share {
	return &messenger.Share{Rate: int64(l.Rate), Burst: int64(l.Burst)}
}

func decodeLimit(m *messenger.Share) throttler.Limit {
	return throttler.Limit{
		Rate:  throttler.Milli(max(m.GetRate(), 0)),
		Burst: throttler.Milli(max(m.GetBurst(), 0)),
	}
}
