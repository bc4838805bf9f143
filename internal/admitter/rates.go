package admitter

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/rationer"
	"github.com/flamingotack/flamingotack/internal/retrier"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// askTimeout bounds the time that a request waits for tokens of other
	// nodes.
	askTimeout = 15 * time.Millisecond
	// maxAsked is the number of nodes that are asked for one request, and
	// partsAtOnce how many at the same time where they give parts of a request.
	maxAsked    = 12
	partsAtOnce = 4
	// firstPause is how long no node is asked after all said that they have
	// no tokens; each further time doubles it up to lastPause.
	firstPause = 20 * time.Millisecond
	lastPause  = 160 * time.Millisecond
	// milli is the number of thousandths in a token.
	milli = 1000
)

type (
	// Peers are the other nodes.
	Peers interface {
		// Ask asks a node for tokens of a customer's rate, in thousandths. held
		// says that it shall not borrow from others.
		Ask(ctx context.Context, name, customer string, tokens int64, held bool) (granted int64)
		// Delegates returns the nodes that hold the rates.
		Delegates() *linker.Delegates
	}

	// Shares keeps this node's shares of the customers' rates, where it holds any,
	// and borrows from their other holders what it lacks. Make it by NewShares. It
	// is safe for concurrent use.
	DistributedRateLimiter struct {
		clock timekeeper.Clock
		peers Peers
		slack RateTolerance

		mu     sync.Mutex
		ration rationer.Rationer
		pauses map[string]pause
		gave   map[gift]int64
		held   map[string]*holders
	}

	// Slack is how far above their limits the operators let customers go, as
	// counting over many nodes is not exact.
	RateTolerance struct {
		// Window is the time over which requests are counted.
		Window time.Duration
		// Part is a part of the requests that the limit allows in a window.
		Fraction float64
		// Requests is a number of requests in a window.
		ExtraRequests float64
		// Repeats is the number of repeats at each service that all nodes may make
		// in a retrier.Window besides those that requests earn.
		ExtraRetries float64
	}

	// use is tokens that are to be taken.
	use struct {
		// name is what they are of: a customer, or the repeats at a service.
		name   string
		limit  rationer.Limit
		tokens float64
	}

	// gift names what a node gave last of a customer's rate, in thousandths.
	gift struct {
		customer, node string
	}

	// pause is for how long no other node is asked.
	pause struct {
		length time.Duration
		until  time.Time
	}
)

// slackPart is the part of the slack that is used.
const slackPart = 0.7

// NewShares returns Shares of rates that are not known yet.
func NewDistributedRateLimiter(clock timekeeper.Clock, p Peers, slack RateTolerance) *DistributedRateLimiter {
	return &DistributedRateLimiter{clock: clock, peers: p, slack: slack, pauses: map[string]pause{}, gave: map[gift]int64{}, held: map[string]*holders{}}
}

// Charge takes a token of the customer; false when it is over its rate.
func (s *DistributedRateLimiter) Charge(ctx context.Context, c *director.Customer) (admitted bool) {
	return s.take(ctx, use{name: c.Name, limit: s.limit(c), tokens: 1})
}

// Repeat takes the cost of a repeat, in requests by service, from what all nodes may
// repeat besides what requests earn. It reports whether there was enough everywhere;
// else it takes nothing.
func (s *DistributedRateLimiter) ChargeRetry(ctx context.Context, cost map[string]float64) (allowed bool) {
	taken := map[string]float64{}
	for service, tokens := range cost {
		name := repeatsAt(service)
		if !s.take(ctx, use{name: name, limit: s.repeats(), tokens: tokens}) {
			s.giveBack(taken)
			return false
		}
		taken[name] = tokens
	}
	return true
}

// Give gives tokens away to another node, in thousandths. Unless held is set, other
// holders are asked for what is missing.
func (s *DistributedRateLimiter) GrantTokens(ctx context.Context, name string, tokens int64, held bool) (granted int64) {
	granted = s.give(name, tokens)
	if held || granted >= tokens {
		return granted
	}
	s.mu.Lock()
	h := s.held[name]
	s.mu.Unlock()
	if h == nil {
		return granted
	}
	s.borrow(ctx, use{name: name, limit: h.limit, tokens: float64(tokens-granted) / milli}, h, func() bool {
		granted += s.give(name, tokens-granted)
		return granted >= tokens
	})
	return granted
}

// Refund gives back the token of a request that has not run.
func (s *DistributedRateLimiter) Refund(c *director.Customer) {
	s.giveBack(map[string]float64{c.Name: 1})
}

// Set takes the rates in force.
func (s *DistributedRateLimiter) SetLimits(t *director.Table) {
	if !t.Ready() {
		return
	}
	limits := map[string]rationer.Limit{}
	for i := range t.State.Config.Customers {
		if c := &t.State.Config.Customers[i]; c.Rate > 0 {
			limits[c.Name] = s.limit(c)
		}
	}
	for i := range t.State.Config.Services {
		limits[repeatsAt(t.State.Config.Services[i].Name)] = s.repeats()
	}
	d := s.peers.Delegates()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ration.Set(s.clock.Now(), limits, func(name string) int { return s.holders(name, limits[name], d).parts })
	maps.DeleteFunc(s.held, func(name string, _ *holders) bool { _, found := limits[name]; return !found })
}

// borrow asks holders for tokens until enough says that there are enough, and reports
// that. Those that gave some last time are asked first (the idea of asking the fullest,
// as idle workers do that look for work to steal).
func (s *DistributedRateLimiter) borrow(ctx context.Context, u use, h *holders, enough func() bool) bool {
	names, paused := s.toAsk(u.name, h)
	if paused {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	atOnce := 1
	if !h.whole {
		atOnce = partsAtOnce
	}
	for len(names) > 0 && ctx.Err() == nil {
		count := min(atOnce, len(names))
		s.askAll(ctx, u.name, int64(u.tokens*milli), names[:count], h.parts > 0)
		names = names[count:]
		if enough() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.pauses, u.name)
			return true
		}
	}
	s.pause(u.name)
	return false
}

// toAsk returns the holders to ask now, or that nobody is asked during a pause.
func (s *DistributedRateLimiter) toAsk(name string, h *holders) (names []string, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Now().Before(s.pauses[name].until) {
		return nil, true
	}
	names = s.order(name, h)
	return names[:min(maxAsked, len(names))], false
}

// askAll asks nodes at the same time for tokens, in thousandths, and takes what they
// give.
func (s *DistributedRateLimiter) askAll(ctx context.Context, customer string, tokens int64, names []string, held bool) {
	var asked sync.WaitGroup
	for _, name := range names {
		asked.Go(func() {
			granted := s.peers.Ask(ctx, name, customer, tokens, held)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.gave[gift{customer, name}] = granted
			if granted > 0 {
				s.ration.Add(s.clock.Now(), customer, float64(granted)/milli)
			}
		})
	}
	asked.Wait()
}

func (s *DistributedRateLimiter) give(customer string, tokens int64) (granted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.ration.Give(s.clock.Now(), customer, float64(tokens)/milli) * milli)
}

// limit returns what the customer may use over all nodes.
func (s *DistributedRateLimiter) limit(c *director.Customer) rationer.Limit {
	allowed := c.Rate*s.slack.Window.Seconds() + c.Burst
	return rationer.Limit{Rate: c.Rate, Burst: c.Burst + slackPart*(allowed*s.slack.Fraction+s.slack.ExtraRequests)}
}

func (s *DistributedRateLimiter) pause(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pauses[customer]
	p.length = min(lastPause, max(firstPause, 2*p.length))
	p.until = s.clock.Now().Add(p.length)
	s.pauses[customer] = p
}

func (s *DistributedRateLimiter) giveBack(taken map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, tokens := range taken {
		s.ration.Add(s.clock.Now(), name, tokens)
	}
}

// repeats returns what all nodes may repeat at a service besides what requests earn.
func (s *DistributedRateLimiter) repeats() rationer.Limit {
	most, perSecond := retrier.Slack(s.slack.ExtraRetries)
	return rationer.Limit{Rate: perSecond, Burst: most, StartsFull: true}
}

// take takes tokens and reports whether there were enough.
func (s *DistributedRateLimiter) take(ctx context.Context, u use) bool {
	d := s.peers.Delegates()
	s.mu.Lock()
	h := s.holders(u.name, u.limit, d)
	taken := s.spend(u, h)
	s.mu.Unlock()
	if taken {
		return true
	}
	return s.borrow(ctx, u, h, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.spend(u, h)
	})
}

// spend takes what is here. The caller holds the lock.
func (s *DistributedRateLimiter) spend(u use, h *holders) bool {
	return s.ration.Admit(s.clock.Now(), u.name, u.limit, h.parts, u.tokens)
}

// repeatsAt returns the name under which the repeats at a service are shared. It is
// none of a customer.
func repeatsAt(service string) string {
	return "\x00repeats " + service
}
