package throttler

import (
	"testing"
	"time"
)

var (
	testLimit = NewLimit(100, 100)
	testStart = time.Unix(1000, 0)
)

func newHolderBucket(start TenureStart) *Bucket {
	b := NewBucket(testStart)
	b.UpdateTenure(testStart, testLimit, testStart, 1, start)
	return b
}

// renewBorrowerShare renews the share of a borrower with the given demand at now.
func renewBorrowerShare(lender, borrower *Bucket, now time.Time, demand MilliTokens) Grant {
	borrower.demandPerSecond = demand
	borrower.nextRequestAt = now
	request, _ := borrower.NextLoanRequest(now, true)
	request.Borrower = "n1"
	g := lender.Lend(now, request)
	borrower.ApplyGrant(now, now, request, g)
	return g
}

func TestShareRequiresCurrentTenure(t *testing.T) {
	lender, borrower := newHolderBucket(TenureStart{FirstTenure: true}), NewBucket(testStart)
	if g := renewBorrowerShare(lender, borrower, testStart, 10*Token); g.ShareRenewed {
		t.Errorf("got %+v without the tenure's ID, want no share", g)
	}
	g := renewBorrowerShare(lender, borrower, testStart, 10*Token)
	if want := NewLimit(12.5, 12.5); !g.ShareRenewed || g.Share != want {
		t.Errorf("got %+v, want a share of %+v", g, want)
	}
}

func TestStaleLoanRequestGetsNoShare(t *testing.T) {
	lender := newHolderBucket(TenureStart{FirstTenure: true})
	newer := LoanRequest{Borrower: "n1", Sequence: 2, LenderTenure: 1, RenewShare: true, DemandPerSecond: 10 * Token}
	older := LoanRequest{Borrower: "n1", Sequence: 1, LenderTenure: 1, RenewShare: true, DemandPerSecond: 40 * Token}
	lender.Lend(testStart, newer)
	if g := lender.Lend(testStart, older); g.ShareRenewed {
		t.Errorf("got %+v for a stale loan request, want no share", g)
	}
}

func TestDomainLenderKeepsLentBurst(t *testing.T) {
	lender, domainLender := newHolderBucket(TenureStart{FirstTenure: true}), NewBucket(testStart)
	renewBorrowerShare(lender, domainLender, testStart, 10*Token)
	renewBorrowerShare(lender, domainLender, testStart, 10*Token)
	lent := domainLender.Lend(testStart, LoanRequest{Borrower: "n2", OnDemandTokens: 5 * Token}).OnDemandTokens
	domainLender.demandPerSecond = 0
	domainLender.nextRequestAt = testStart
	request, due := domainLender.NextLoanRequest(testStart, true)
	if !due || lent == 0 || request.KeptShare.Burst < lent {
		t.Errorf("got kept share %+v with %d lent, want at least that burst", request.KeptShare, lent)
	}
}

func TestNewHolderReservesTokensOfEarlierHolder(t *testing.T) {
	b := newHolderBucket(TenureStart{LimitUnchanged: true})
	beforeExpiry := testStart.Add(OnDemandDuration - time.Millisecond)
	if got := b.AvailableTokens(beforeExpiry); got != 0 {
		t.Errorf("got %d tokens before tokens of earlier holders expired, want 0", got)
	}
	if got, want := b.AvailableTokens(testStart.Add(time.Hour)), testLimit.Burst; got != want {
		t.Errorf("got %d tokens after earlier loans expired, want %d", got, want)
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
		got, refilledUntil := refilledTokens(tt.rate, testStart, testStart.Add(tt.elapsed))
		if got != tt.want || refilledUntil.After(testStart.Add(tt.elapsed)) {
			t.Errorf("refilledTokens(%d) over %s: got %d up to %s, want %d", tt.rate, tt.elapsed, got, refilledUntil, tt.want)
		}
	}
}

func TestLenderAddsClockMarginToLoans(t *testing.T) {
	lender, borrower := newHolderBucket(TenureStart{FirstTenure: true}), NewBucket(testStart)
	renewBorrowerShare(lender, borrower, testStart, 10*Token)
	share := renewBorrowerShare(lender, borrower, testStart, 10*Token).Share
	withinMargin := testStart.Add(ShareDuration + ShareDuration/40)
	if got := borrower.AvailableTokens(withinMargin); got != 0 {
		t.Errorf("got %d tokens of an expired share, want 0", got)
	}
	if got, want := lender.AvailableTokens(withinMargin), testLimit.Burst-share.Burst; got != want {
		t.Errorf("got %d tokens within the clock margin, want %d", got, want)
	}
	if got, want := lender.AvailableTokens(withinMargin.Add(time.Hour)), testLimit.Burst; got != want {
		t.Errorf("got %d tokens after the clock margin, want %d", got, want)
	}
}

func BenchmarkAllow(b *testing.B) {
	now := testStart
	held := newHolderBucket(TenureStart{FirstTenure: true})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		held.RecordDemand(now, Token)
		held.Allow(now)
	}
}
