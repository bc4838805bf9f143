// Package router picks the node that runs a request, by what the guards report
// and by own observation. It knows no clock and does no input or output: times
// and randomness are arguments. A Router is not safe for concurrent use.
package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// How a request ended, as far as it tells about the node that ran it.
const (
	// OutcomeAnswered says that the node answered or refused.
	OutcomeAnswered Outcome = iota
	// OutcomeBroken says that the backend server or its answer broke off.
	OutcomeBroken
	// OutcomeSilent says that the node could not be reached or went silent.
	OutcomeUnresponsive
	// OutcomeUnclear says nothing about the node, such as a caller that went
	// away.
	OutcomeInconclusive
)

// What becomes of a request.
const (
	// VerdictPicked says that a node was picked.
	VerdictPicked Verdict = iota
	// VerdictNone says that no node may get new work.
	VerdictNoNode
	// VerdictShed says that every guard sheds requests of this priority.
	VerdictShed
)

const (
	// advice is the least time after which a refused caller should return.
	advice = time.Second
	// reportLife is how long a guard's word on shedding holds.
	reportLife = 300 * time.Millisecond
	// loadLife is how long its word on its load holds.
	loadLife = 5 * time.Second
	// defaultSpill stands for a Spill that is not set.
	defaultSpill = 0.8
	// trickle is the part of the calls that failing nodes get in any case, so that
	// it is seen when they are not any more.
	trickle = 0.02
	// overfull is the part of their capacity in use from which on nodes that are not
	// failing are full, queues included, so that failing ones get work as well.
	overfull = 1.2
	// unknownLimit is what a node gets of which nothing is known yet.
	unknownLimit = 1
)

type (
	// Candidate is a member that offers the wanted service and is in service.
	Candidate struct {
		// Name and Incarnation name the node.
		Name, Incarnation string
		// Domain is its failure domain and Region that domain's region.
		Domain, Region string
	}

	// Outcome is how a request ended.
	Outcome int

	// Random is the source of random choices, such as a *rand.Rand.
	Random interface {
		Float64() float64
	}

	// Report is what a guard tells about its backend server.
	Report struct {
		// Incarnation is that of the node.
		Incarnation string
		// Sequence grows with each report of an incarnation.
		Sequence uint64
		// Limit is the number of requests that may run at once; 0 while the
		// server gets none.
		Limit int
		// Running and Queued are requests at the guard.
		Running, Queued int
		// Shed is the least important priority that still gets through.
		LowestAdmittedPriority exchanger.Priority
		// Draining says that the node wants no new work.
		Draining bool
		// Failing says that many calls end badly on its server. Others go first
		// as long as they have room.
		Failing bool
	}

	// Router keeps what it knows of the other nodes.
	Router struct {
		// Domain is the own failure domain and Region its region.
		Domain, Region string
		// Spill is the part of the capacity in use from which work goes to the
		// next wider circle of failure domains; 0 stands for 0.8.
		SpilloverUtilization float64

		nodes  map[string]*node
		usable []choice
	}

	// Verdict is what becomes of a request.
	Verdict int

	choice struct {
		candidate Candidate
		node      *node
		circle    int
		limit     float64
		load      float64
	}
)

// The circles of failure domains, from the nearest.
const (
	circleDomain = iota
	circleRegion
	circleAll
)

// Advice returns how long a caller should wait whom no guard takes. spread is
// random and spreads the callers' return, 0 to below 1.
func RetryAfter(spread float64) time.Duration {
	return time.Duration(float64(advice) * (1 + spread))
}

// End says how a request to the node ended. spread is random, 0 to below 1.
func (r *Router) RecordOutcome(now time.Time, name string, o Outcome, spread float64) {
	n, found := r.nodes[name]
	if found {
		n.end(now, o, spread)
	}
}

// Pick returns the node that shall run a request of priority p, none of those
// in tried. It counts the request until End.
func (r *Router) Pick(now time.Time, random Random, candidates []Candidate, p exchanger.Priority, tried []string) (c Candidate, v Verdict) {
	r.survey(now, candidates, tried)
	if len(r.usable) == 0 {
		return Candidate{}, VerdictNoNode
	}
	if r.sheds(now, p) {
		return Candidate{}, VerdictShed
	}
	sound := r.sound()
	choices := r.circle(now, p, sound)
	if failing := r.usable[len(sound):]; len(failing) > 0 && random.Float64() < trickle {
		choices = failing
	}
	picked := r.choose(random, choices)
	picked.node.start()
	return picked.candidate, VerdictPicked
}

// Prune forgets the nodes that are not among the members.
func (r *Router) Prune(member func(name string) bool) {
	for name, n := range r.nodes {
		if !member(name) && n.own == 0 {
			delete(r.nodes, name)
		}
	}
}

// Report takes a guard's report. Reports that come late are dropped.
func (r *Router) Report(now time.Time, name string, report Report) {
	r.node(name).take(now, report)
}

// choose picks two at random by free capacity and returns the one that is
// less loaded (Mitzenmacher: "The Power of Two Choices in Randomized Load
// Balancing", 2001).
func (r *Router) choose(random Random, choices []choice) *choice {
	total := 0.0
	for i := range choices {
		total += choices[i].weight()
	}
	first := sample(choices, random.Float64()*total)
	second := sample(choices, random.Float64()*total)
	if second.use() < first.use() {
		return second
	}
	return first
}

// circle returns the sound nodes of the narrowest circle that has room, or all usable
// ones.
func (r *Router) circle(now time.Time, p exchanger.Priority, sound []choice) []choice {
	limit, load := 0.0, 0.0
	spill := cmp.Or(r.SpilloverUtilization, defaultSpill)
	end := 0
	for c := circleDomain; c <= circleAll; c++ {
		for end < len(sound) && sound[end].circle == c {
			one := &sound[end]
			if !one.node.sheds(now, p) {
				limit += one.limit
				load += one.load
			}
			end++
		}
		if limit >= 1 && load < spill*limit {
			return sound[:end]
		}
	}
	if limit >= 1 && load < overfull*limit {
		return sound
	}
	return r.usable
}

// sound returns the usable nodes that are not failing, in their order; it moves the
// others to the end.
func (r *Router) sound() []choice {
	slices.SortStableFunc(r.usable, func(a, b choice) int {
		return cmp.Compare(failing(a), failing(b))
	})
	count := len(r.usable)
	for count > 0 && r.usable[count-1].node.report.Failing {
		count--
	}
	return r.usable[:count]
}

func failing(c choice) int {
	if c.node.report.Failing {
		return 1
	}
	return 0
}

func (r *Router) circleOf(c Candidate) int {
	switch {
	case c.Domain == r.Domain:
		return circleDomain
	case c.Region == r.Region:
		return circleRegion
	default:
		return circleAll
	}
}

func (r *Router) node(name string) *node {
	if r.nodes == nil {
		r.nodes = map[string]*node{}
	}
	n, found := r.nodes[name]
	if !found {
		n = &node{}
		r.nodes[name] = n
	}
	return n
}

// sheds reports whether every usable node sheds requests of that priority.
func (r *Router) sheds(now time.Time, p exchanger.Priority) bool {
	for i := range r.usable {
		if !r.usable[i].node.sheds(now, p) {
			return false
		}
	}
	return true
}

// survey lists the candidates that may get new work, the nearest first.
func (r *Router) survey(now time.Time, candidates []Candidate, tried []string) {
	r.usable = r.usable[:0]
	for circle := circleDomain; circle <= circleAll; circle++ {
		for _, c := range candidates {
			if r.circleOf(c) != circle || contains(tried, c.Name) {
				continue
			}
			n := r.node(c.Name)
			n.meet(c.Incarnation)
			if !n.usable(now) {
				continue
			}
			limit, load := n.capacity(now)
			r.usable = append(r.usable, choice{c, n, circle, limit, load})
		}
	}
}

func (c *choice) use() float64 {
	return c.load / c.limit
}

// weight is the free capacity, and a little of the whole so that a full node
// still counts.
func (c *choice) weight() float64 {
	return max(c.limit-c.load, 0) + 0.01*c.limit
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func sample(choices []choice, at float64) *choice {
	for i := range choices {
		at -= choices[i].weight()
		if at < 0 {
			return &choices[i]
		}
	}
	return &choices[len(choices)-1]
}
