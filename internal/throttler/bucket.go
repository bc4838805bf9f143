package throttler

import "time"

const (
	// demandWindow is the time over which demand is summed.
	demandWindow = 500 * time.Millisecond
	// demandWindowCount is the number of windows over which the demand is
	// averaged.
	demandWindowCount = 4
	// headroomNumerator / headroomDenominator is the factor by which a borrower
	// requests more than its demand.
	headroomNumerator   = 5
	headroomDenominator = 4
)

// Bucket is one node's part of one customer's limit. It is not safe for
// concurrent use.
type Bucket struct {
	// ownLimit is the whole limit while the node is the holder, else zero.
	ownLimit Limit
	// tenureStart and tenureID identify the node's own tenure; tenureID is 0
	// without one.
	tenureStart time.Time
	tenureID    uint64
	// handoverApplied reports whether the tenure has received the state of the
	// previous one.
	handoverApplied bool
	// largestLimit is the largest limit of the tenure.
	largestLimit Limit
	// earlierShares bounds the shares lent by earlier holders.
	earlierShares   Limit
	earlierExpireAt time.Time
	// loans are the shares lent in this tenure, by borrower.
	loans map[string]*loan
	// lentOnDemand are the lent on-demand tokens.
	lentOnDemand []expiringTokens

	// share is the borrowed share.
	share          Limit
	shareExpiresAt time.Time
	// lastSequence, lastSentAt and lenderTenure belong to the last share
	// request.
	lastSequence  uint64
	lastSentAt    time.Time
	lenderTenure  uint64
	nextRequestAt time.Time
	// borrowedOnDemand are the borrowed on-demand tokens.
	borrowedOnDemand []expiringTokens

	// tokens are unspent; never more than unlentLimit.Burst.
	tokens MilliTokens
	// minSpareBurst is the minimum over the tenure of the burst minus the
	// tokens that were unspent or lent on demand.
	minSpareBurst MilliTokens
	// refilledUntil is the time up to which whole MilliTokens were refilled,
	// and lastUsedAt is the time of the latest use.
	refilledUntil time.Time
	lastUsedAt    time.Time
	// unlentLimit is the part of the limit that is not lent. Fields are
	// temporarily negative after the limit was lowered.
	unlentLimit Limit
	// nextExpiry is when the next share or token expires; zero when none does.
	nextExpiry time.Time

	// demandPerSecond is the average demand.
	demandPerSecond MilliTokens
	// windowDemand is the demand since windowStart.
	windowDemand MilliTokens
	windowStart  time.Time
}

// NewBucket returns a Bucket without a limit.
func NewBucket(now time.Time) *Bucket {
	return &Bucket{loans: map[string]*loan{}, refilledUntil: now, windowStart: now}
}

// Allow spends one token and reports whether one was available.
func (b *Bucket) Allow(now time.Time) bool {
	b.advance(now)
	b.borrowedOnDemand = unexpired(b.borrowedOnDemand, now)
	for i := range b.borrowedOnDemand {
		if b.borrowedOnDemand[i].tokens >= Token {
			b.borrowedOnDemand[i].tokens -= Token
			return true
		}
	}
	if b.tokens < Token {
		return false
	}
	b.tokens -= Token
	return true
}

// UpdateTenure makes the node the holder of limit, in a tenure that began at
// tenureStart. No two tenures have the same tenureID. It must be called before
// every other use while the tenure lasts; start is used only when a tenure
// begins.
func (b *Bucket) UpdateTenure(now time.Time, limit Limit, tenureStart time.Time, tenureID uint64, start TenureStart) {
	if b.ownLimit == limit && b.tenureID == tenureID {
		return
	}
	b.advance(now)
	if b.tenureID != tenureID {
		b.beginTenure(now, limit, tenureStart, tenureID, start)
	}
	b.reserveForRaisedLimit(now, limit)
	b.ownLimit = limit
	b.recompute()
	b.updateSpareBurst()
	b.advance(now)
}

// IsHolder reports whether the node is the holder.
func (b *Bucket) IsHolder() bool {
	return b.tenureID != 0
}

// AvailableTokens returns the unspent tokens.
func (b *Bucket) AvailableTokens(now time.Time) (tokens MilliTokens) {
	b.advance(now)
	tokens = b.tokens
	b.borrowedOnDemand = unexpired(b.borrowedOnDemand, now)
	for _, s := range b.borrowedOnDemand {
		tokens += s.tokens
	}
	return tokens
}

// TimeToNextToken returns the time until the bucket refills to one token or,
// when too much of the burst is lent to leave room for one, until the next loan
// expires; zero when neither is expected.
func (b *Bucket) TimeToNextToken(now time.Time) time.Duration {
	b.advance(now)
	if b.unlentLimit.Burst < Token && !b.nextExpiry.IsZero() {
		return b.nextExpiry.Sub(now)
	}
	if b.unlentLimit.RatePerSecond <= 0 || b.unlentLimit.Burst < Token {
		return 0
	}
	missing := max(Token-b.tokens, 0)
	return time.Duration(scale(missing, MilliTokens(time.Second), b.unlentLimit.RatePerSecond))
}

// RecordDemand counts requested tokens, whether or not they are available.
func (b *Bucket) RecordDemand(now time.Time, tokens MilliTokens) {
	b.advance(now)
	b.windowDemand += tokens
}

// EndTenure ends the node's tenure.
func (b *Bucket) EndTenure(now time.Time) {
	if !b.IsHolder() {
		return
	}
	b.advance(now)
	b.ownLimit = Limit{}
	b.tenureID = 0
	b.earlierShares = Limit{}
	clear(b.loans)
	b.recompute()
	b.advance(now)
}

// advance refills up to now and drops expired shares and tokens in order of
// time. The burst that an expired loan frees starts without tokens.
func (b *Bucket) advance(now time.Time) {
	for !b.nextExpiry.IsZero() && !now.Before(b.nextExpiry) {
		at := b.nextExpiry
		b.refill(at)
		b.dropExpired(at)
		b.recompute()
	}
	b.refill(now)
	if now.Sub(b.windowStart) >= demandWindow {
		b.updateDemand(now)
	}
}

// beginTenure starts a tenure, without tokens unless it is the first.
func (b *Bucket) beginTenure(now time.Time, limit Limit, tenureStart time.Time, tenureID uint64, start TenureStart) {
	b.tenureStart = tenureStart
	b.tenureID = tenureID
	b.largestLimit = limit
	b.minSpareBurst = limit.Burst
	b.handoverApplied = false
	b.earlierShares = Limit{}
	b.earlierExpireAt = tenureStart.Add(ShareDuration + clockMargin(ShareDuration))
	clear(b.loans)
	b.tokens = 0
	b.refilledUntil = now
	b.unlentLimit = Limit{}
	if start.FirstTenure {
		b.tokens = limit.Burst
		b.unlentLimit = limit
		return
	}
	if now.Before(b.earlierExpireAt) {
		b.earlierShares = limit.scaled(lendableNumerator, lendableDenominator)
		if start.LimitUnchanged {
			b.earlierShares = LendableLimit(limit)
		}
	}
	b.reserveOnDemand(now, limit.Burst)
}

func (b *Bucket) updateDemand(now time.Time) {
	elapsed := now.Sub(b.windowStart)
	current := scale(b.windowDemand, MilliTokens(time.Second), MilliTokens(elapsed))
	weight := MilliTokens(min(elapsed/demandWindow, demandWindowCount))
	b.demandPerSecond += (current - b.demandPerSecond) * weight / demandWindowCount
	b.windowDemand = 0
	b.windowStart = now
}

// dropExpired drops the shares and tokens that have expired at now.
func (b *Bucket) dropExpired(now time.Time) {
	if !now.Before(b.shareExpiresAt) {
		b.share = Limit{}
	}
	if !now.Before(b.earlierExpireAt) {
		b.earlierShares = Limit{}
	}
	for borrower, l := range b.loans {
		if !now.Before(l.expiresAt) {
			delete(b.loans, borrower)
		}
	}
	b.lentOnDemand = unexpired(b.lentOnDemand, now)
}

// reserveForRaisedLimit reserves what earlier holders may have lent of a limit
// that is larger than the previous limits of the tenure.
func (b *Bucket) reserveForRaisedLimit(now time.Time, limit Limit) {
	increase := limit.sub(b.largestLimit).nonNegative()
	if increase == (Limit{}) {
		return
	}
	b.largestLimit = b.largestLimit.add(increase)
	if now.Before(b.earlierExpireAt) {
		b.earlierShares = b.earlierShares.add(increase.scaled(lendableNumerator, lendableDenominator))
	}
	b.reserveOnDemand(now, increase.Burst)
}

// reserveOnDemand reserves the tokens that an earlier holder may have lent on
// demand.
func (b *Bucket) reserveOnDemand(now time.Time, tokens MilliTokens) {
	expiresAt := b.tenureStart.Add(OnDemandDuration + clockMargin(OnDemandDuration))
	if now.Before(expiresAt) {
		b.lentOnDemand = append(b.lentOnDemand, expiringTokens{tokens: tokens, expiresAt: expiresAt, reserved: true})
	}
}

func (b *Bucket) refill(now time.Time) {
	tokens, refilledUntil := refilledTokens(b.unlentLimit.RatePerSecond, b.refilledUntil, now)
	b.refilledUntil = refilledUntil
	if now.After(b.lastUsedAt) {
		b.lastUsedAt = now
	}
	b.tokens = max(min(b.tokens+tokens, b.unlentLimit.Burst), 0)
	b.updateSpareBurst()
}

func (b *Bucket) updateSpareBurst() {
	spareBurst := b.ownLimit.Burst - b.tokens
	for _, s := range b.lentOnDemand {
		if !s.reserved {
			spareBurst -= s.tokens
		}
	}
	b.minSpareBurst = min(b.minSpareBurst, spareBurst)
}

// recompute updates unlentLimit and nextExpiry after a share, a loan or tokens
// were added, changed or dropped.
func (b *Bucket) recompute() {
	rate := b.unlentLimit.RatePerSecond
	b.unlentLimit = b.ownLimit.add(b.share).sub(b.earlierShares)
	b.nextExpiry = time.Time{}
	if b.share != (Limit{}) {
		b.noteExpiry(b.shareExpiresAt)
	}
	if b.earlierShares != (Limit{}) {
		b.noteExpiry(b.earlierExpireAt)
	}
	for _, l := range b.loans {
		b.unlentLimit = b.unlentLimit.sub(l.share)
		b.noteExpiry(l.expiresAt)
	}
	for _, s := range b.lentOnDemand {
		b.unlentLimit.Burst -= s.tokens
		b.noteExpiry(s.expiresAt)
	}
	b.tokens = max(min(b.tokens, b.unlentLimit.Burst), 0)
	if b.unlentLimit.RatePerSecond > rate {
		b.refilledUntil = b.lastUsedAt // a higher rate must not apply to earlier time
	}
}

func (b *Bucket) noteExpiry(at time.Time) {
	if b.nextExpiry.IsZero() || at.Before(b.nextExpiry) {
		b.nextExpiry = at
	}
}

// unexpired returns the tokens that have not expired.
func unexpired(tokens []expiringTokens, now time.Time) []expiringTokens {
	live := tokens[:0]
	for _, s := range tokens {
		if now.Before(s.expiresAt) {
			live = append(live, s)
		}
	}
	return live
}
