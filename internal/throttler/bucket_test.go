package throttler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

// maxSkew bounds how far a node's clock differs in rate from true time; two
// nodes differ by less than 1 in 20.
const maxSkew = 1.0 / 42

type (
	// fleet models nodes with clocks of their own, and a network that loses,
	// delays and reorders.
	fleet struct {
		now     time.Duration
		nodes   []*fleetNode
		limit   Limit
		limits  []fleetLimit
		holder  int
		since   time.Duration
		tenure  uint64
		flight  []message
		changed time.Duration
		bound   float64
	}

	fleetLimit struct {
		limit Limit
		until time.Duration
	}

	fleetNode struct {
		bucket *Bucket
		skew   float64
		offset time.Duration
		name   string
	}

	// message is an ask on its way to a node, or its answer on the way back.
	message struct {
		ask    LoanRequest
		from   int
		to     int
		sent   time.Time
		grant  *Grant
		books  *HandoverState
		tenure uint64
	}
)

func TestMain(m *testing.M) {
	seeder.Run(m, seeder.Setting{Flag: "rapid.checks", Value: "400"}, seeder.Setting{Flag: "rapid.steps", Value: "200"})
}

func (f *fleet) clock(i int, at time.Duration) time.Time {
	n := f.nodes[i]
	return time.Unix(0, 0).Add(n.offset + time.Duration(float64(at)*(1+n.skew)))
}

// most returns the largest limit that still counts.
func (f *fleet) most() Limit {
	most := f.limit
	for _, l := range f.limits {
		if l.until > f.now {
			most.RatePerSecond = max(most.RatePerSecond, l.limit.RatePerSecond)
			most.Burst = max(most.Burst, l.limit.Burst)
		}
	}
	return most
}

// advance refills the reference, whose clock is the fastest allowed one.
func (f *fleet) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for d > 0 {
		most := f.most()
		part := min(d, step)
		f.now += part
		f.bound += float64(most.RatePerSecond) * part.Seconds() * (1 + maxSkew)
		f.bound = min(f.bound, float64(f.most().Burst))
		d -= part
	}
}

func (f *fleet) hold(i int) {
	b, now := f.nodes[i].bucket, f.clock(i, f.now)
	if f.holder == i {
		start := TenureStart{FirstTenure: f.tenure == 1, LimitUnchanged: f.now > f.changed+ShareDuration+3*margin(ShareDuration)}
		b.UpdateTenure(now, f.limit, f.clock(i, f.since), f.tenure, start)
		return
	}
	b.EndTenure(now)
}

func (f *fleet) admit(i int, times int) error {
	f.hold(i)
	b, now := f.nodes[i].bucket, f.clock(i, f.now)
	for range times {
		b.RecordDemand(now, Token)
		if !b.Allow(now) {
			return nil
		}
		f.bound -= float64(Token)
		if f.bound < -1e-3 {
			return fmt.Errorf("at %v node %d admitted %.3f tokens more than burst and rate allow", f.now, i, -f.bound/float64(Token))
		}
	}
	return nil
}

func (f *fleet) send(from, to int, spot MilliTokens) {
	f.hold(from)
	now := f.clock(from, f.now)
	a := LoanRequest{OnDemandTokens: spot}
	if spot == 0 {
		var due bool
		if a, due = f.nodes[from].bucket.NextLoanRequest(now, true); !due {
			return
		}
	}
	a.Borrower = f.nodes[from].name
	f.flight = append(f.flight, message{ask: a, from: from, to: to, sent: now})
}

// deliver passes on a message. An ask or books may come again; an answer ends
// its call.
func (f *fleet) deliver(i int, again bool) {
	m := f.flight[i]
	if !again || m.grant != nil {
		f.flight = append(f.flight[:i], f.flight[i+1:]...)
	}
	if m.books != nil {
		f.hold(m.to)
		if m.to == f.holder && m.tenure == f.tenure {
			f.nodes[m.to].bucket.ApplyHandover(f.clock(m.to, f.now), *m.books)
		}
		return
	}
	if m.grant != nil {
		f.hold(m.from)
		f.nodes[m.from].bucket.ApplyGrant(f.clock(m.from, f.now), m.sent, m.ask, *m.grant)
		return
	}
	f.hold(m.to)
	g := f.nodes[m.to].bucket.Lend(f.clock(m.to, f.now), m.ask)
	m.grant = &g
	f.flight = append(f.flight, m)
}

func newFleet(t *rapid.T) *fleet {
	limit := rapid.SampledFrom([]Limit{NewLimit(5, 5), NewLimit(50, 10), NewLimit(200, 400)}).Draw(t, "limit")
	f := &fleet{limit: limit, holder: 0, tenure: 1, bound: float64(limit.Burst)}
	for i := range rapid.IntRange(2, 5).Draw(t, "nodes") {
		n := &fleetNode{
			skew:   rapid.Float64Range(-maxSkew, maxSkew).Draw(t, "skew"),
			offset: time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "offset")),
			name:   fmt.Sprintf("n%d", i),
		}
		f.nodes = append(f.nodes, n)
		n.bucket = NewBucket(f.clock(i, 0))
	}
	f.hold(0)
	return f
}

// TestBucketBound checks that all nodes together admit at most
// burst + rate*t over any interval.
func TestAdmissionsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		node := rapid.IntRange(0, len(f.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				times := rapid.SampledFrom([]int{1, 3, 20, 1000}).Draw(t, "times")
				if err := f.admit(node.Draw(t, "node"), times); err != nil {
					t.Fatal(err)
				}
			},
			"admit everywhere": func(t *rapid.T) {
				for i := range f.nodes {
					if err := f.admit(i, math.MaxInt32); err != nil {
						t.Fatal(err)
					}
				}
			},
			"advance": func(t *rapid.T) {
				f.advance(rapid.SampledFrom([]time.Duration{
					time.Millisecond, 20 * time.Millisecond, 110 * time.Millisecond, time.Second, 5 * time.Second, 19 * time.Second,
				}).Draw(t, "time"))
			},
			"want": func(t *rapid.T) {
				i := node.Draw(t, "node")
				f.nodes[i].bucket.RecordDemand(f.clock(i, f.now), Token*MilliTokens(rapid.IntRange(1, 300).Draw(t, "tokens")))
			},
			"renew": func(t *rapid.T) { f.send(node.Draw(t, "from"), f.holder, 0) },
			"spot": func(t *rapid.T) {
				f.send(node.Draw(t, "from"), node.Draw(t, "to"), Token*MilliTokens(rapid.IntRange(1, 8).Draw(t, "tokens")))
			},
			"exchange": func(t *rapid.T) {
				from := node.Draw(t, "from")
				f.send(from, f.holder, 0)
				for range 2 {
					if len(f.flight) > 0 {
						f.deliver(len(f.flight)-1, false)
					}
				}
			},
			"deliver": func(t *rapid.T) {
				if len(f.flight) > 0 {
					f.deliver(rapid.IntRange(0, len(f.flight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "again"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(f.flight) > 0 {
					i := rapid.IntRange(0, len(f.flight)-1).Draw(t, "message")
					f.flight = append(f.flight[:i], f.flight[i+1:]...)
				}
			},
			"tenure": func(t *rapid.T) {
				before := f.holder
				f.holder = node.Draw(t, "holder")
				f.advance(rapid.SampledFrom([]time.Duration{0, time.Second, 12 * time.Second}).Draw(t, "gap"))
				f.since = f.now
				f.tenure++
				books, held := f.nodes[before].bucket.HandOver(f.clock(before, f.now))
				if held && before != f.holder {
					f.flight = append(f.flight, message{to: f.holder, books: &books, tenure: f.tenure})
				}
			},
			"manifest": func(t *rapid.T) {
				until := f.now + ShareDuration + 3*margin(ShareDuration)
				f.limits = append(f.limits, fleetLimit{f.limit, until})
				f.changed = f.now
				f.limit = NewLimit(
					float64(rapid.IntRange(1, 300).Draw(t, "rate")), float64(rapid.IntRange(1, 300).Draw(t, "burst")))
				f.hold(f.holder)
			},
		})
	})
}
