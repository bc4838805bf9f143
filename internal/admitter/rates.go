package admitter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
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
	// askedFirst is the number of nodes that are asked at the same time at first,
	// askedAtOnce that of those that are asked in each later round, and maxRounds
	// how often nodes are asked for one request.
	askedFirst  = 1
	askedAtOnce = 4
	maxRounds   = 4
	// delegateRounds is how often a delegate asks others on behalf of another node.
	delegateRounds = 2
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
		Delegates() linker.Delegates
	}

	// Shares keeps this node's shares of the customers' rates, if it is a delegate,
	// and borrows from other delegates what it lacks. Make it by NewShares. It is
	// safe for concurrent use.
	Shares struct {
		clock timekeeper.Clock
		peers Peers
		slack Slack

		mu     sync.Mutex
		ration rationer.Rationer
		pauses map[string]pause
		gave   map[gift]int64
	}

	// Slack is how far above their limits the operators let customers go, as
	// counting over many nodes is not exact.
	Slack struct {
		// Window is the time over which requests are counted.
		Window time.Duration
		// Part is a part of the requests that the limit allows in a window.
		Part float64
		// Requests is a number of requests in a window.
		Requests float64
		// Repeats is the number of repeats at each service that all nodes may make
		// in a retrier.Window besides those that requests earn.
		Repeats float64
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
func NewShares(clock timekeeper.Clock, p Peers, slack Slack) *Shares {
	return &Shares{clock: clock, peers: p, slack: slack, pauses: map[string]pause{}, gave: map[gift]int64{}}
}

// Charge takes a token of the customer; false when it is over its rate.
func (s *Shares) Charge(ctx context.Context, c *director.Customer) (admitted bool) {
	return s.take(ctx, use{name: c.Name, limit: s.limit(c), tokens: 1})
}

// Repeat takes the cost of a repeat, in requests by service, from what all nodes may
// repeat besides what requests earn. It reports whether there was enough everywhere;
// else it takes nothing.
func (s *Shares) Repeat(ctx context.Context, cost map[string]float64) (allowed bool) {
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
// delegates are asked for what is missing.
func (s *Shares) Give(ctx context.Context, customer string, tokens int64, held bool) (granted int64) {
	granted = s.give(customer, tokens)
	if held || granted >= tokens || s.paused(customer) {
		return granted
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	names := s.order(customer, s.peers.Delegates())
	for range delegateRounds {
		count := min(askedAtOnce, len(names))
		s.askAll(ctx, customer, tokens-granted, names[:count], true)
		names = names[count:]
		granted += s.give(customer, tokens-granted)
		if granted >= tokens {
			return granted
		}
	}
	s.pause(customer)
	return granted
}

// Refund gives back the token of a request that has not run.
func (s *Shares) Refund(c *director.Customer) {
	s.giveBack(map[string]float64{c.Name: 1})
}

// Set takes the rates in force.
func (s *Shares) Set(t *director.Table) {
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
	l := s.peers.Delegates()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ration.Set(s.clock.Now(), limits, parts(l))
}

// borrow asks delegates for tokens and reports whether there are enough then. Those
// that gave some last time are asked first (the idea of asking the fullest, as idle
// workers do that look for work to steal).
func (s *Shares) borrow(ctx context.Context, u use, l linker.Delegates) bool {
	if s.paused(u.name) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	names := s.order(u.name, l)
	count := askedFirst
	for range maxRounds {
		count = min(count, len(names))
		if count == 0 || ctx.Err() != nil {
			break
		}
		s.askAll(ctx, u.name, int64(u.tokens*milli), names[:count], l.Self)
		names = names[count:]
		count = askedAtOnce
		if s.spend(u, l) {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.pauses, u.name)
			return true
		}
	}
	s.pause(u.name)
	return false
}

// askAll asks nodes at the same time for tokens, in thousandths, and takes what they
// give.
func (s *Shares) askAll(ctx context.Context, customer string, tokens int64, names []string, held bool) {
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

func (s *Shares) give(customer string, tokens int64) (granted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.ration.Give(s.clock.Now(), customer, float64(tokens)/milli) * milli)
}

// order returns the delegates to ask, those first that gave most last time, then the
// nearer ones. Nodes that were never asked count as full.
func (s *Shares) order(customer string, l linker.Delegates) []string {
	names := slices.Concat(l.Near, l.Far)
	shuffle(names[:len(l.Near)])
	shuffle(names[len(l.Near):])
	s.mu.Lock()
	defer s.mu.Unlock()
	value := func(name string) int64 {
		if given, asked := s.gave[gift{customer, name}]; asked {
			return given
		}
		return milli
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(value(b), value(a)) })
	return names
}

// limit returns what the customer may use over all nodes.
func (s *Shares) limit(c *director.Customer) rationer.Limit {
	allowed := c.Rate*s.slack.Window.Seconds() + c.Burst
	return rationer.Limit{Rate: c.Rate, Burst: c.Burst + slackPart*(allowed*s.slack.Part+s.slack.Requests)}
}

func (s *Shares) pause(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pauses[customer]
	p.length = min(lastPause, max(firstPause, 2*p.length))
	p.until = s.clock.Now().Add(p.length)
	s.pauses[customer] = p
}

func (s *Shares) paused(customer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Before(s.pauses[customer].until)
}

func (s *Shares) giveBack(taken map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, tokens := range taken {
		s.ration.Add(s.clock.Now(), name, tokens)
	}
}

// repeats returns what all nodes may repeat at a service besides what requests earn.
func (s *Shares) repeats() rationer.Limit {
	most, perSecond := retrier.Slack(s.slack.Repeats)
	return rationer.Limit{Rate: perSecond, Burst: most, StartsFull: true}
}

func (s *Shares) spend(u use, l linker.Delegates) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ration.Admit(s.clock.Now(), u.name, u.limit, parts(l), u.tokens)
}

func (s *Shares) take(ctx context.Context, u use) bool {
	l := s.peers.Delegates()
	return s.spend(u, l) || s.borrow(ctx, u, l)
}

// parts returns the number of nodes that share the rates; 0 when this one has no part.
func parts(l linker.Delegates) int {
	if !l.Self {
		return 0
	}
	return l.Count
}

// repeatsAt returns the name under which the repeats at a service are shared. It is
// none of a customer.
func repeatsAt(service string) string {
	return "\x00repeats " + service
}

func shuffle(names []string) {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
