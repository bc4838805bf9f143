package throttler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

// maxClockRateError bounds how far a node's clock differs in rate from true time; two
// nodes differ by less than 1 in 20.
const maxClockRateError = 1.0 / 42

type (
	// deployment models nodes with separate clocks, and a network that loses,
	// delays and reorders messages.
	deployment struct {
		now            time.Duration
		nodes          []*testNode
		limit          Limit
		pastLimits     []pastLimit
		holder         int
		tenureStart    time.Duration
		tenureID       uint64
		inFlight       []message
		limitChangedAt time.Duration
		allowedTokens  float64
	}

	pastLimit struct {
		limit        Limit
		appliesUntil time.Duration
	}

	testNode struct {
		bucket         *Bucket
		clockRateError float64
		clockOffset    time.Duration
		name           string
	}

	// message is a loan request, its answer or a handover in transit.
	message struct {
		request  LoanRequest
		from     int
		to       int
		sentAt   time.Time
		grant    *Grant
		handover *HandoverState
		tenureID uint64
	}
)

func TestMain(m *testing.M) {
	seeder.Run(m, seeder.FlagDefault{Name: "rapid.checks", Value: "400"}, seeder.FlagDefault{Name: "rapid.steps", Value: "200"})
}

func (d *deployment) clock(i int, at time.Duration) time.Time {
	n := d.nodes[i]
	return time.Unix(0, 0).Add(n.clockOffset + time.Duration(float64(at)*(1+n.clockRateError)))
}

// largestLimit returns the largest limit that still applies.
func (d *deployment) largestLimit() Limit {
	largest := d.limit
	for _, l := range d.pastLimits {
		if l.appliesUntil > d.now {
			largest.RatePerSecond = max(largest.RatePerSecond, l.limit.RatePerSecond)
			largest.Burst = max(largest.Burst, l.limit.Burst)
		}
	}
	return largest
}

// advance refills the reference bucket, whose clock is the fastest allowed.
func (d *deployment) advance(duration time.Duration) {
	const step = 50 * time.Millisecond
	for duration > 0 {
		largest := d.largestLimit()
		elapsed := min(duration, step)
		d.now += elapsed
		d.allowedTokens += float64(largest.RatePerSecond) * elapsed.Seconds() * (1 + maxClockRateError)
		d.allowedTokens = min(d.allowedTokens, float64(d.largestLimit().Burst))
		duration -= elapsed
	}
}

func (d *deployment) updateTenure(i int) {
	b, now := d.nodes[i].bucket, d.clock(i, d.now)
	if d.holder == i {
		start := TenureStart{FirstTenure: d.tenureID == 1, LimitUnchanged: d.now > d.limitChangedAt+ShareDuration+3*clockMargin(ShareDuration)}
		b.UpdateTenure(now, d.limit, d.clock(i, d.tenureStart), d.tenureID, start)
		return
	}
	b.EndTenure(now)
}

func (d *deployment) admit(i int, times int) error {
	d.updateTenure(i)
	b, now := d.nodes[i].bucket, d.clock(i, d.now)
	for range times {
		b.RecordDemand(now, Token)
		if !b.Allow(now) {
			return nil
		}
		d.allowedTokens -= float64(Token)
		if d.allowedTokens < -1e-3 {
			return fmt.Errorf("at %v node %d admitted %.3f tokens more than burst and rate allow", d.now, i, -d.allowedTokens/float64(Token))
		}
	}
	return nil
}

func (d *deployment) send(from, to int, onDemandTokens MilliTokens) {
	d.updateTenure(from)
	now := d.clock(from, d.now)
	request := LoanRequest{OnDemandTokens: onDemandTokens}
	if onDemandTokens == 0 {
		var due bool
		if request, due = d.nodes[from].bucket.NextLoanRequest(now, true); !due {
			return
		}
	}
	request.Borrower = d.nodes[from].name
	d.inFlight = append(d.inFlight, message{request: request, from: from, to: to, sentAt: now})
}

// deliver delivers a message. A loan request or a handover may arrive twice; an
// answer ends its call.
func (d *deployment) deliver(i int, duplicate bool) {
	m := d.inFlight[i]
	if !duplicate || m.grant != nil {
		d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
	}
	if m.handover != nil {
		d.updateTenure(m.to)
		if m.to == d.holder && m.tenureID == d.tenureID {
			d.nodes[m.to].bucket.ApplyHandover(d.clock(m.to, d.now), *m.handover)
		}
		return
	}
	if m.grant != nil {
		d.updateTenure(m.from)
		d.nodes[m.from].bucket.ApplyGrant(d.clock(m.from, d.now), m.sentAt, m.request, *m.grant)
		return
	}
	d.updateTenure(m.to)
	g := d.nodes[m.to].bucket.Lend(d.clock(m.to, d.now), m.request)
	m.grant = &g
	d.inFlight = append(d.inFlight, m)
}

func newDeployment(t *rapid.T) *deployment {
	limit := rapid.SampledFrom([]Limit{NewLimit(5, 5), NewLimit(50, 10), NewLimit(200, 400)}).Draw(t, "limit")
	d := &deployment{limit: limit, holder: 0, tenureID: 1, allowedTokens: float64(limit.Burst)}
	for i := range rapid.IntRange(2, 5).Draw(t, "nodes") {
		n := &testNode{
			clockRateError: rapid.Float64Range(-maxClockRateError, maxClockRateError).Draw(t, "skew"),
			clockOffset:    time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "offset")),
			name:           fmt.Sprintf("n%d", i),
		}
		d.nodes = append(d.nodes, n)
		n.bucket = NewBucket(d.clock(i, 0))
	}
	d.updateTenure(0)
	return d
}

// TestAdmissionsStayWithinLimit checks that all nodes together admit at most
// burst + rate*t over any interval.
func TestAdmissionsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDeployment(t)
		node := rapid.IntRange(0, len(d.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				times := rapid.SampledFrom([]int{1, 3, 20, 1000}).Draw(t, "times")
				if err := d.admit(node.Draw(t, "node"), times); err != nil {
					t.Fatal(err)
				}
			},
			"admit everywhere": func(t *rapid.T) {
				for i := range d.nodes {
					if err := d.admit(i, math.MaxInt32); err != nil {
						t.Fatal(err)
					}
				}
			},
			"advance": func(t *rapid.T) {
				d.advance(rapid.SampledFrom([]time.Duration{
					time.Millisecond, 20 * time.Millisecond, 110 * time.Millisecond, time.Second, 5 * time.Second, 19 * time.Second,
				}).Draw(t, "time"))
			},
			"want": func(t *rapid.T) {
				i := node.Draw(t, "node")
				d.nodes[i].bucket.RecordDemand(d.clock(i, d.now), Token*MilliTokens(rapid.IntRange(1, 300).Draw(t, "tokens")))
			},
			"renew": func(t *rapid.T) { d.send(node.Draw(t, "from"), d.holder, 0) },
			"request tokens": func(t *rapid.T) {
				d.send(node.Draw(t, "from"), node.Draw(t, "to"), Token*MilliTokens(rapid.IntRange(1, 8).Draw(t, "tokens")))
			},
			"exchange": func(t *rapid.T) {
				from := node.Draw(t, "from")
				d.send(from, d.holder, 0)
				for range 2 {
					if len(d.inFlight) > 0 {
						d.deliver(len(d.inFlight)-1, false)
					}
				}
			},
			"deliver": func(t *rapid.T) {
				if len(d.inFlight) > 0 {
					d.deliver(rapid.IntRange(0, len(d.inFlight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "duplicate"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(d.inFlight) > 0 {
					i := rapid.IntRange(0, len(d.inFlight)-1).Draw(t, "message")
					d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
				}
			},
			"tenure": func(t *rapid.T) {
				oldHolder := d.holder
				d.holder = node.Draw(t, "holder")
				d.advance(rapid.SampledFrom([]time.Duration{0, time.Second, 12 * time.Second}).Draw(t, "gap"))
				d.tenureStart = d.now
				d.tenureID++
				handover, held := d.nodes[oldHolder].bucket.HandOver(d.clock(oldHolder, d.now))
				if held && oldHolder != d.holder {
					d.inFlight = append(d.inFlight, message{to: d.holder, handover: &handover, tenureID: d.tenureID})
				}
			},
			"manifest": func(t *rapid.T) {
				until := d.now + ShareDuration + 3*clockMargin(ShareDuration)
				d.pastLimits = append(d.pastLimits, pastLimit{d.limit, until})
				d.limitChangedAt = d.now
				d.limit = NewLimit(
					float64(rapid.IntRange(1, 300).Draw(t, "rate")), float64(rapid.IntRange(1, 300).Draw(t, "burst")))
				d.updateTenure(d.holder)
			},
		})
	})
}
