package throttler

import (
	"testing"
	"time"
)

var (
	testLimit = NewLimit(100, 100)
	testStart = time.Unix(1000, 0)
)

func heldBucket(start TenureStart) *Bucket {
	b := NewBucket(testStart)
	b.UpdateTenure(testStart, testLimit, testStart, 1, start)
	return b
}

// borrow renews the share of a borrower that needs demand, sent at now.
func borrow(lender, borrower *Bucket, now time.Time, demand MilliTokens) Grant {
	borrower.demand = demand
	borrower.renewAt = now
	a, _ := borrower.NextLoanRequest(now, true)
	a.Borrower = "n1"
	g := lender.Lend(now, a)
	borrower.ApplyGrant(now, now, a, g)
	return g
}

func TestShareRequiresCurrentTenure(t *testing.T) {
	lender, borrower := heldBucket(TenureStart{FirstTenure: true}), NewBucket(testStart)
	if g := borrow(lender, borrower, testStart, 10*Token); g.ShareRenewed {
		t.Errorf("got %+v without the tenure's number, want no share", g)
	}
	g := borrow(lender, borrower, testStart, 10*Token)
	if want := NewLimit(12.5, 12.5); !g.ShareRenewed || g.Share != want {
		t.Errorf("got %+v, want a share of %+v", g, want)
	}
}

func TestStaleLoanRequestGetsNoShare(t *testing.T) {
	lender := heldBucket(TenureStart{FirstTenure: true})
	newer := LoanRequest{Borrower: "n1", Sequence: 2, LenderTenure: 1, RenewShare: true, DemandPerSecond: 10 * Token}
	older := LoanRequest{Borrower: "n1", Sequence: 1, LenderTenure: 1, RenewShare: true, DemandPerSecond: 40 * Token}
	lender.Lend(testStart, newer)
	if g := lender.Lend(testStart, older); g.ShareRenewed {
		t.Errorf("got %+v for an ask that came late, want no share", g)
	}
}

func TestDomainLenderKeepsLentBurst(t *testing.T) {
	lender, deputy := heldBucket(TenureStart{FirstTenure: true}), NewBucket(testStart)
	borrow(lender, deputy, testStart, 10*Token)
	borrow(lender, deputy, testStart, 10*Token)
	lent := deputy.Lend(testStart, LoanRequest{Borrower: "n2", OnDemandTokens: 5 * Token}).OnDemandTokens
	deputy.demand = 0
	deputy.renewAt = testStart
	a, due := deputy.NextLoanRequest(testStart, true)
	if !due || lent == 0 || a.KeptShare.Burst < lent {
		t.Errorf("got hold %+v with %d lent, want at least that burst", a.KeptShare, lent)
	}
}

func TestNewHolderReservesTokensOfEarlierHolder(t *testing.T) {
	b := heldBucket(TenureStart{LimitUnchanged: true})
	soon := testStart.Add(OnDemandDuration - time.Millisecond)
	if got := b.AvailableTokens(soon); got != 0 {
		t.Errorf("got %d tokens before earlier ones have expired, want 0", got)
	}
	if got, want := b.AvailableTokens(testStart.Add(time.Hour)), testLimit.Burst; got != want {
		t.Errorf("got %d tokens after all, want %d", got, want)
	}
}

func TestRefillNeverExceedsRate(t *testing.T) {
	tests := []struct {
		rate    MilliTokens
		elapsed time.Duration
		want    MilliTokens
	}{
		{1, time.Millisecond, 0},
		{1, time.Second, 1},
		{1500, time.Second, 1500},
		{10_000_000 * Token, time.Microsecond, 10_000},
		{10_000_000 * Token, 1000 * time.Hour, 10_000_000 * Token * 600},
	}
	for _, tt := range tests {
		got, paid := refill(tt.rate, testStart, testStart.Add(tt.elapsed))
		if got != tt.want || paid.After(testStart.Add(tt.elapsed)) {
			t.Errorf("refill(%d) over %s: got %d paid at %s, want %d", tt.rate, tt.elapsed, got, paid, tt.want)
		}
	}
}

func TestLenderAddsClockMarginToLoans(t *testing.T) {
	lender, borrower := heldBucket(TenureStart{FirstTenure: true}), NewBucket(testStart)
	borrow(lender, borrower, testStart, 10*Token)
	share := borrow(lender, borrower, testStart, 10*Token).Share
	end := testStart.Add(ShareDuration + ShareDuration/40)
	if got := borrower.AvailableTokens(end); got != 0 {
		t.Errorf("got %d tokens of a share that has ended, want 0", got)
	}
	if got, want := lender.AvailableTokens(end), testLimit.Burst-share.Burst; got != want {
		t.Errorf("got %d tokens while the borrower's clock may be slow, want %d", got, want)
	}
	if got, want := lender.AvailableTokens(end.Add(time.Hour)), testLimit.Burst; got != want {
		t.Errorf("got %d tokens after the margin, want %d", got, want)
	}
}

func BenchmarkAllow(b *testing.B) {
	now := testStart
	held := heldBucket(TenureStart{FirstTenure: true})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		held.RecordDemand(now, Token)
		held.Allow(now)
	}
}
