package admitter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/rationer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// askTimeout bounds the time that a request waits for tokens of other
	// nodes.
	askTimeout = 15 * time.Millisecond
	// askedAtOnce is the number of nodes that are asked at the same time, and
	// maxRounds how often further ones are asked for one request.
	askedAtOnce = 4
	maxRounds   = 3
	// askTokens is the number of tokens that are asked for of each node.
	askTokens = 1
	// firstPause is how long no node is asked after all said that they have
	// no tokens; each further time doubles it up to lastPause.
	firstPause = 50 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// milli is the number of thousandths in a token.
	milli = 1000
)

type (
	// Lenders are the other nodes.
	Lenders interface {
		// Ask asks a node for tokens of a customer's rate, in thousandths.
		Ask(ctx context.Context, name, customer string, tokens int64) (granted int64)
		// Names returns the nodes that can be asked.
		Names() []string
		// Nodes returns the number of all nodes, this one included.
		Nodes() int
	}

	// Shares keeps this node's shares of the customers' rates and borrows from
	// other nodes what it lacks. Make it by NewShares. It is safe for
	// concurrent use.
	Shares struct {
		clock   timekeeper.Clock
		lenders Lenders
		slack   Slack

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
func NewShares(clock timekeeper.Clock, lenders Lenders, slack Slack) *Shares {
	return &Shares{clock: clock, lenders: lenders, slack: slack, pauses: map[string]pause{}, gave: map[gift]int64{}}
}

// Charge takes a token of the customer; false when it is over its rate.
func (s *Shares) Charge(ctx context.Context, c *director.Customer) (admitted bool) {
	nodes := s.lenders.Nodes()
	return s.spend(c, nodes) || s.borrow(ctx, c, nodes)
}

// Give gives tokens away to another node, in thousandths.
func (s *Shares) Give(customer string, tokens int64) (granted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.ration.Give(s.clock.Now(), customer, float64(tokens)/milli) * milli)
}

// Refund gives back the token of a request that has not run.
func (s *Shares) Refund(c *director.Customer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ration.Add(s.clock.Now(), c.Name, 1)
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
	nodes := s.lenders.Nodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ration.Set(s.clock.Now(), limits, nodes)
}

// borrow asks other nodes for tokens and reports whether there is one then. The
// nodes that gave some last time are asked first (the idea of asking the
// fullest, as idle workers do that look for work to steal).
func (s *Shares) borrow(ctx context.Context, c *director.Customer, nodes int) bool {
	if s.paused(c.Name) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	names := s.order(c.Name)
	for range maxRounds {
		count := min(askedAtOnce, len(names))
		if count == 0 || ctx.Err() != nil {
			break
		}
		s.askAll(ctx, c.Name, names[:count])
		names = names[count:]
		if s.spend(c, nodes) {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.pauses, c.Name)
			return true
		}
	}
	s.pause(c.Name)
	return false
}

// askAll asks nodes at the same time and takes what they give.
func (s *Shares) askAll(ctx context.Context, customer string, names []string) {
	var asked sync.WaitGroup
	for _, name := range names {
		asked.Go(func() {
			granted := s.lenders.Ask(ctx, name, customer, askTokens*milli)
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

// order returns the nodes to ask, those first that gave most last time. Nodes
// that were never asked count as full.
func (s *Shares) order(customer string) []string {
	names := s.lenders.Names()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
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

func (s *Shares) spend(c *director.Customer, nodes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ration.Admit(s.clock.Now(), c.Name, s.limit(c), nodes)
}
