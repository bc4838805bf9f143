package throttler

import "time"

const (
	// demandWindow is the time over which demand is counted.
	demandWindow = 500 * time.Millisecond
	// demandWindows is the number of windows that the demand is averaged
	// over.
	demandWindows = 4
	// headroom of headroomWhole is how much of its demand a borrower wants.
	headroom      = 5
	headroomWhole = 4
)

// Bucket is what one node has of one customer's limit. It is not safe for
// concurrent use.
type Bucket struct {
	// own is the whole limit while the node is the holder, else zero.
	own Limit
	// since and tenure name the holder's tenure.
	since  time.Time
	tenure uint64
	// opened says that the tenure has got the books of the one before.
	opened bool
	// top is the largest limit of the tenure.
	top Limit
	// earlier bounds the shares that earlier holders lent.
	earlier      Limit
	earlierUntil time.Time
	// loans are the shares lent in this tenure, by borrower.
	loans map[string]*loan
	// lent are the tokens lent for requests at hand.
	lent []spot

	// share is what the node borrowed.
	share      Limit
	shareUntil time.Time
	// sequence, sent and lender are those of the last ask for a share.
	sequence uint64
	sent     time.Time
	lender   uint64
	renewAt  time.Time
	// spots are borrowed tokens for requests at hand.
	spots []spot

	// tokens are unspent; never more than free.Burst.
	tokens MilliTokens
	// slack is the least that the burst was, in the tenure, above the tokens
	// that were unspent or lent for requests at hand.
	slack MilliTokens
	// last is the time up to which whole Milli were refilled, and seen that
	// of the latest use.
	last time.Time
	seen time.Time
	// free is what of the limit is not lent. Fields are negative for a while
	// after the limit was lowered.
	free Limit
	// next is when a part expires next; zero when none does.
	next time.Time

	// demand is the average of what was wanted, in Milli a second.
	demand      MilliTokens
	wanted      MilliTokens
	windowStart time.Time
}

// NewBucket returns a Bucket without any limit.
func NewBucket(now time.Time) *Bucket {
	return &Bucket{loans: map[string]*loan{}, last: now, windowStart: now}
}

// Admit spends one token and reports whether there was one.
func (b *Bucket) Allow(now time.Time) bool {
	b.advance(now)
	b.spots = live(b.spots, now)
	for i := range b.spots {
		if b.spots[i].tokens >= Token {
			b.spots[i].tokens -= Token
			return true
		}
	}
	if b.tokens < Token {
		return false
	}
	b.tokens -= Token
	return true
}

// Hold makes the node the holder of limit, in a tenure that began at since.
// No two tenures have the same number. It is called before every other use
// while the tenure lasts; start counts when a tenure begins.
func (b *Bucket) UpdateTenure(now time.Time, limit Limit, since time.Time, tenure uint64, start TenureStart) {
	if b.own == limit && b.tenure == tenure {
		return
	}
	b.advance(now)
	if b.tenure != tenure {
		b.begin(now, limit, since, tenure, start)
	}
	b.raise(now, limit)
	b.own = limit
	b.settle()
	b.noteSlack()
	b.advance(now)
}

// Holds reports whether the node is the holder.
func (b *Bucket) IsHolder() bool {
	return b.tenure != 0
}

// Tokens returns the unspent tokens.
func (b *Bucket) AvailableTokens(now time.Time) (tokens MilliTokens) {
	b.advance(now)
	tokens = b.tokens
	b.spots = live(b.spots, now)
	for _, s := range b.spots {
		tokens += s.tokens
	}
	return tokens
}

// Wait returns how long it takes until the bucket refills to one token, or
// until lent burst comes back that leaves no room for one; zero when neither
// is to be expected.
func (b *Bucket) TimeToNextToken(now time.Time) time.Duration {
	b.advance(now)
	if b.free.Burst < Token && !b.next.IsZero() {
		return b.next.Sub(now)
	}
	if b.free.RatePerSecond <= 0 || b.free.Burst < Token {
		return 0
	}
	missing := max(Token-b.tokens, 0)
	return time.Duration(scale(missing, MilliTokens(time.Second), b.free.RatePerSecond))
}

// Want counts tokens that are wanted, whether there are any or not.
func (b *Bucket) RecordDemand(now time.Time, tokens MilliTokens) {
	b.advance(now)
	b.wanted += tokens
}

// Yield ends the node's tenure.
func (b *Bucket) EndTenure(now time.Time) {
	if !b.IsHolder() {
		return
	}
	b.advance(now)
	b.own = Limit{}
	b.tenure = 0
	b.earlier = Limit{}
	clear(b.loans)
	b.settle()
	b.advance(now)
}

// advance refills up to now and drops on the way, in order of time, what has
// expired: room that a loan's end makes is empty at first.
func (b *Bucket) advance(now time.Time) {
	for !b.next.IsZero() && !now.Before(b.next) {
		at := b.next
		b.refill(at)
		b.expire(at)
		b.settle()
	}
	b.refill(now)
	if now.Sub(b.windowStart) >= demandWindow {
		b.countDemand(now)
	}
}

// begin starts a tenure, without tokens unless it is the first.
func (b *Bucket) begin(now time.Time, limit Limit, since time.Time, tenure uint64, start TenureStart) {
	b.since = since
	b.tenure = tenure
	b.top = limit
	b.slack = limit.Burst
	b.opened = false
	b.earlier = Limit{}
	b.earlierUntil = since.Add(ShareDuration + margin(ShareDuration))
	clear(b.loans)
	b.tokens = 0
	b.last = now
	b.free = Limit{}
	if start.FirstTenure {
		b.tokens = limit.Burst
		b.free = limit
		return
	}
	if now.Before(b.earlierUntil) {
		b.earlier = limit.part(sharedPart, sharedWhole)
		if start.LimitUnchanged {
			b.earlier = LendableLimit(limit)
		}
	}
	b.reserveSpots(now, limit.Burst)
}

func (b *Bucket) countDemand(now time.Time) {
	elapsed := now.Sub(b.windowStart)
	current := scale(b.wanted, MilliTokens(time.Second), MilliTokens(elapsed))
	weight := MilliTokens(min(elapsed/demandWindow, demandWindows))
	b.demand += (current - b.demand) * weight / demandWindows
	b.wanted = 0
	b.windowStart = now
}

// expire drops what is no longer good at now.
func (b *Bucket) expire(now time.Time) {
	if !now.Before(b.shareUntil) {
		b.share = Limit{}
	}
	if !now.Before(b.earlierUntil) {
		b.earlier = Limit{}
	}
	for borrower, l := range b.loans {
		if !now.Before(l.until) {
			delete(b.loans, borrower)
		}
	}
	b.lent = live(b.lent, now)
}

// raise sets aside what earlier holders may have lent of a limit that is
// larger than those of the tenure so far.
func (b *Bucket) raise(now time.Time, limit Limit) {
	more := limit.sub(b.top).floor()
	if more == (Limit{}) {
		return
	}
	b.top = b.top.add(more)
	if now.Before(b.earlierUntil) {
		b.earlier = b.earlier.add(more.part(sharedPart, sharedWhole))
	}
	b.reserveSpots(now, more.Burst)
}

// reserveSpots sets aside the tokens that an earlier holder may have lent for
// requests at hand.
func (b *Bucket) reserveSpots(now time.Time, tokens MilliTokens) {
	until := b.since.Add(OnDemandDuration + margin(OnDemandDuration))
	if now.Before(until) {
		b.lent = append(b.lent, spot{tokens: tokens, until: until, reserved: true})
	}
}

func (b *Bucket) refill(now time.Time) {
	tokens, paid := refill(b.free.RatePerSecond, b.last, now)
	b.last = paid
	if now.After(b.seen) {
		b.seen = now
	}
	b.tokens = max(min(b.tokens+tokens, b.free.Burst), 0)
	b.noteSlack()
}

func (b *Bucket) noteSlack() {
	slack := b.own.Burst - b.tokens
	for _, s := range b.lent {
		if !s.reserved {
			slack -= s.tokens
		}
	}
	b.slack = min(b.slack, slack)
}

// settle works out free and next after a part was added, changed or dropped.
func (b *Bucket) settle() {
	rate := b.free.RatePerSecond
	b.free = b.own.add(b.share).sub(b.earlier)
	b.next = time.Time{}
	if b.share != (Limit{}) {
		b.expires(b.shareUntil)
	}
	if b.earlier != (Limit{}) {
		b.expires(b.earlierUntil)
	}
	for _, l := range b.loans {
		b.free = b.free.sub(l.limit)
		b.expires(l.until)
	}
	for _, s := range b.lent {
		b.free.Burst -= s.tokens
		b.expires(s.until)
	}
	b.tokens = max(min(b.tokens, b.free.Burst), 0)
	if b.free.RatePerSecond > rate {
		b.last = b.seen // a higher rate must not refill the time before it
	}
}

func (b *Bucket) expires(at time.Time) {
	if b.next.IsZero() || at.Before(b.next) {
		b.next = at
	}
}

// live returns the spots that have not expired.
func live(spots []spot, now time.Time) []spot {
	kept := spots[:0]
	for _, s := range spots {
		if now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	return kept
}
