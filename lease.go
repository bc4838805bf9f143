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
	// passTimeout is how long a next holder may take to accept what it is
	// handed.
	passTimeout = 500 * time.Millisecond
	// settleTime is how long a limit must not have changed to be settled.
	settleTime = throttler.ShareDuration + throttler.ShareDuration/10
	// expiryTime is how long after a customer was removed the last of its
	// tokens has surely expired: a holder may not know of the removal for the
	// longest freshness, and then its loans run out.
	expiryTime = settleTime + 12*time.Second
)

// Inherit takes what the holder before this one has lent.
func (p *peerServer) Inherit(_ context.Context, m *messenger.InheritRequest) (*messenger.InheritResponse, error) {
	x := p.node.index.Load()
	if x == nil || x.Customer(m.GetCustomer()) == nil {
		return &messenger.InheritResponse{}, nil
	}
	books := throttler.HandoverState{
		Unused:          m.GetUntouched(),
		UnspentTokens:   throttler.MilliTokens(max(m.GetTokens(), 0)),
		LargestLimit:    toLimit(m.GetLimit()),
		OnDemandTokens:  throttler.MilliTokens(m.GetSpots()),
		EarlierShares:   toLimit(m.GetEarlier()),
		EarlierValidFor: time.Duration(m.GetEarlierMicros()) * time.Microsecond,
	}
	for _, l := range m.GetLoans() {
		books.Loans = append(books.Loans, throttler.Loan{
			Borrower: l.GetBorrower(),
			Share:    toLimit(l.GetShare()),
			ValidFor: time.Duration(l.GetValidMicros()) * time.Microsecond,
		})
	}
	sender := holder.Identity{Name: m.GetSender().GetName(), Incarnation: m.GetSender().GetIncarnation()}
	taken := p.node.throttle.account(m.GetCustomer()).inherit(m.GetSince(), sender, books)
	return &messenger.InheritResponse{Accepted: taken}, nil
}

// Lease lends a share or tokens of a customer's rate.
func (p *peerServer) Lease(_ context.Context, m *messenger.LeaseRequest) (*messenger.LeaseResponse, error) {
	x := p.node.index.Load()
	if x == nil || x.Customer(m.GetCustomer()) == nil {
		return &messenger.LeaseResponse{}, nil
	}
	g := p.node.throttle.account(m.GetCustomer()).lend(throttler.LoanRequest{
		Borrower:        m.GetSender().GetName() + "/" + m.GetSender().GetIncarnation(),
		Sequence:        m.GetSequence(),
		LenderTenure:    m.GetTenure(),
		RenewShare:      m.GetRenew(),
		KeptShare:       toLimit(m.GetHold()),
		DemandPerSecond: throttler.MilliTokens(m.GetDemand()),
		ReturnedTokens:  throttler.MilliTokens(m.GetReturned()),
		OnDemandTokens:  throttler.MilliTokens(m.GetSpot()),
	})
	return &messenger.LeaseResponse{
		Tenure:          g.LenderTenure,
		Renewed:         g.ShareRenewed,
		Share:           fromLimit(g.Share),
		Tokens:          int64(g.ShareTokens),
		ValidMicros:     g.ShareValidFor.Microseconds(),
		Spot:            int64(g.OnDemandTokens),
		SpotValidMicros: g.OnDemandValidFor.Microseconds(),
		Left:            int64(g.LenderTokens),
		WaitMicros:      g.TimeToNextToken.Microseconds(),
	}, nil
}

// deputiesOf returns the first member of each failure domain in an order, but
// for the first member of all, which is the holder; at most limit.
func deputiesOf(order []folder.Member, limit int) (deputies []folder.Member) {
	seen := map[string]bool{}
	for _, m := range order[1:] {
		if len(deputies) >= limit {
			break
		}
		if !seen[m.Domain] {
			seen[m.Domain] = true
			deputies = append(deputies, m)
		}
	}
	return deputies
}

// inherit passes the books of an ended tenure to the next holder; false when
// it has not taken them.
func (n *Node) inherit(t tracker.Tenure, customer string, books throttler.HandoverState) (taken bool) {
	request := &messenger.InheritRequest{
		Sender:        n.sender.Self,
		Customer:      customer,
		Since:         t.Until,
		Untouched:     books.Unused,
		Tokens:        int64(books.UnspentTokens),
		Limit:         fromLimit(books.LargestLimit),
		Spots:         int64(books.OnDemandTokens),
		Earlier:       fromLimit(books.EarlierShares),
		EarlierMicros: books.EarlierValidFor.Microseconds(),
	}
	for _, l := range books.Loans {
		request.Loans = append(request.Loans, &messenger.Loan{
			Borrower:    l.Borrower,
			Share:       fromLimit(l.Share),
			ValidMicros: l.ValidFor.Microseconds(),
		})
	}
	response, err := connector.Call(context.Background(), n.connector, t.Next.Peer, passTimeout,
		func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.InheritResponse, error) {
			return c.Inherit(ctx, request)
		})
	return err == nil && response.GetAccepted()
}

// lease asks a member for a share or tokens.
func (n *Node) lease(name, customer string, a throttler.LoanRequest, timeout time.Duration) (g throttler.Grant, err error) {
	defer func() { err = errors.Wrapf(err, "lease from %q", name) }()
	m, found := n.index.Load().State.Member(name)
	if !found {
		return throttler.Grant{}, errors.New("no such member")
	}
	request := &messenger.LeaseRequest{
		Sender:   n.sender.Self,
		Customer: customer,
		Sequence: a.Sequence,
		Tenure:   a.LenderTenure,
		Renew:    a.RenewShare,
		Hold:     fromLimit(a.KeptShare),
		Demand:   int64(a.DemandPerSecond),
		Returned: int64(a.ReturnedTokens),
		Spot:     int64(a.OnDemandTokens),
	}
	r, err := connector.Call(context.Background(), n.connector, m.Peer, timeout,
		func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.LeaseResponse, error) {
			return c.Lease(ctx, request)
		})
	if err != nil {
		return throttler.Grant{}, err
	}
	return throttler.Grant{
		LenderTenure:     r.GetTenure(),
		ShareRenewed:     r.GetRenewed(),
		Share:            toLimit(r.GetShare()),
		ShareTokens:      throttler.MilliTokens(r.GetTokens()),
		ShareValidFor:    time.Duration(r.GetValidMicros()) * time.Microsecond,
		OnDemandTokens:   throttler.MilliTokens(r.GetSpot()),
		OnDemandValidFor: time.Duration(r.GetSpotValidMicros()) * time.Microsecond,
		LenderTokens:     throttler.MilliTokens(r.GetLeft()),
		TimeToNextToken:  time.Duration(r.GetWaitMicros()) * time.Microsecond,
	}, nil
}

func fromLimit(l throttler.Limit) *messenger.Share {
	return &messenger.Share{Rate: int64(l.RatePerSecond), Burst: int64(l.Burst)}
}

func toLimit(m *messenger.Share) throttler.Limit {
	return throttler.Limit{
		RatePerSecond: throttler.MilliTokens(max(m.GetRate(), 0)),
		Burst:         throttler.MilliTokens(max(m.GetBurst(), 0)),
	}
}
