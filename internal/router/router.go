// Package router picks the node that runs a request, from load reports of the nodes
// and from the outcomes of earlier requests. It reads no clock and does no input or
// output: times and randomness are arguments. A Router is not safe for concurrent use.
package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// Outcomes of a request, as far as they concern the node that ran it.
const (
	// OutcomeAnswered says that the node answered or refused.
	OutcomeAnswered Outcome = iota
	// OutcomeBroken says that the backend server failed or its answer broke off.
	OutcomeBroken
	// OutcomeUnresponsive says that the node could not be reached or stopped
	// responding.
	OutcomeUnresponsive
	// OutcomeInconclusive says nothing about the node, such as when the caller
	// went away.
	OutcomeInconclusive
)

// Verdicts on a request.
const (
	// VerdictPicked says that a node was picked.
	VerdictPicked Verdict = iota
	// VerdictNoNode says that no node may get new requests.
	VerdictNoNode
	// VerdictShed says that every usable node sheds requests of this priority.
	VerdictShed
)

const (
	// minRetryAfter is the least time after which a refused caller should retry.
	minRetryAfter = time.Second
	// shedTTL is how long the shedding that a node reports is valid.
	shedTTL = 300 * time.Millisecond
	// loadTTL is how long the load that a node reports is valid.
	loadTTL = 5 * time.Second
	// defaultSpilloverUtilization applies when SpilloverUtilization is 0.
	defaultSpilloverUtilization = 0.8
	// failingProbeFraction is the fraction of requests that failing nodes get in
	// any case, so that their recovery is noticed.
	failingProbeFraction = 0.02
	// overflowUtilization is the utilization, including queues, from which healthy
	// nodes are full, so that failing nodes get requests as well.
	overflowUtilization = 1.2
	// unknownLimit is the assumed concurrency limit of a node without a current
	// report.
	unknownLimit = 1
)

type (
	// Candidate is a node in service that offers the requested service.
	Candidate struct {
		// Name and Incarnation identify the node.
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

	// Report is the load that a node reports for its backend server.
	Report struct {
		// Incarnation is the node's incarnation.
		Incarnation string
		// Sequence grows with each report of an incarnation.
		Sequence uint64
		// Limit is the number of requests that may run concurrently; 0 while the
		// server is paused.
		Limit int
		// Running and Queued are the numbers of requests at the node.
		Running, Queued int
		// LowestAdmittedPriority is the least important priority that is not shed.
		LowestAdmittedPriority exchanger.Priority
		// Draining reports whether the node takes no new requests.
		Draining bool
		// Failing reports whether many requests fail on its server. Other nodes are
		// preferred as long as they have room.
		Failing bool
		// WorkPercent is the time that work takes on the server's instance, in percent of
		// the usual time; 0 if the server does not report it. WorkAge is the age of that
		// figure.
		WorkPercent int
		WorkAge     time.Duration
		// OwnTime is the mean time of a run without its calls at the usual speed of the
		// instance, and RunTime that of a whole run; 0 if they are not known.
		OwnTime, RunTime time.Duration
		// ServerWaiting is the number of requests that wait at the server itself.
		ServerWaiting int
	}

	// Request is what a choice depends on, besides the nodes. All but Priority is used only
	// for services whose servers report WorkPercent.
	Request struct {
		// Priority decides whether the request is shed.
		Priority exchanger.Priority
		// RunTime is the mean time of a run of the request's route, with its calls; 0 if it
		// is not known.
		RunTime time.Duration
		// ObjectiveIn is the time after which the answer is late; 0 or less if it is not
		// known or has passed.
		ObjectiveIn time.Duration
		// Unrepeatable reports whether the request can't be retried once it has been sent
		// to a server.
		Unrepeatable bool
	}

	// Router keeps the state of the nodes that requests may be sent to. The zero
	// value is ready to use.
	Router struct {
		// Domain is the local failure domain and Region its region.
		Domain, Region string
		// SpilloverUtilization is the utilization from which requests also go to
		// the next wider locality; 0 stands for 0.8.
		SpilloverUtilization float64

		nodes map[string]*node
		// usable holds the nodes that the current Pick may choose from. Each Pick
		// reuses its memory.
		usable []choice
		// workReported reports whether any of them reports its work figure.
		workReported bool
	}

	// Verdict is the result of picking a node for a request.
	Verdict int

	choice struct {
		candidate Candidate
		node      *node
		locality  int
		limit     float64
		load      float64
	}
)

// Localities of nodes, from the nearest: the local failure domain, other failure domains
// of its region, and all others.
const (
	localityDomain = iota
	localityRegion
	localityAny
)

// RetryAfter returns how long a caller should wait after every node refused it. jitter is
// a random number from 0 to below 1 that spreads the retries of callers.
func RetryAfter(jitter float64) time.Duration {
	return time.Duration(float64(minRetryAfter) * (1 + jitter))
}

// RecordOutcome records how a request to the node ended. jitter is a random number from 0
// to below 1 that spreads the ends of ejections.
func (r *Router) RecordOutcome(now time.Time, name string, o Outcome, jitter float64) {
	n, found := r.nodes[name]
	if found {
		n.recordOutcome(now, o, jitter)
	}
}

// Pick returns the node to run a request, excluding the nodes in tried. It counts the request
// as in flight until RecordOutcome.
func (r *Router) Pick(now time.Time, random Random, candidates []Candidate, request Request, tried []string) (c Candidate, v Verdict) {
	r.collectUsable(now, candidates, tried)
	if len(r.usable) == 0 {
		return Candidate{}, VerdictNoNode
	}
	if r.sheds(now, request.Priority) {
		return Candidate{}, VerdictShed
	}
	healthy := r.partitionHealthy()
	choices := r.nearestWithRoom(now, request.Priority, healthy)
	if failing := r.usable[len(healthy):]; len(failing) > 0 && random.Float64() < failingProbeFraction {
		choices, healthy = failing, nil
	}
	var picked *choice
	if r.workReported {
		picked = r.chooseByCompletion(now, random, choices, healthy, &request)
	} else {
		picked = r.chooseOfTwo(random, choices)
	}
	picked.node.countRequest()
	return picked.candidate, VerdictPicked
}

// Prune drops the state of nodes that are no members and have no requests in flight.
func (r *Router) Prune(member func(name string) bool) {
	for name, n := range r.nodes {
		if !member(name) && n.inFlight == 0 {
			delete(r.nodes, name)
		}
	}
}

// Report records a node's report. A report that is not newer than the last one is dropped.
func (r *Router) Report(now time.Time, name string, report Report) {
	r.node(name).update(now, report)
}

// chooseOfTwo draws two nodes at random, weighted by free capacity, and returns the less
// utilized one (Mitzenmacher: "The Power of Two Choices in Randomized Load Balancing",
// 2001).
func (r *Router) chooseOfTwo(random Random, choices []choice) *choice {
	total := 0.0
	for i := range choices {
		total += choices[i].weight()
	}
	first := weightedChoice(choices, random.Float64()*total)
	second := weightedChoice(choices, random.Float64()*total)
	if second.utilization() < first.utilization() {
		return second
	}
	return first
}

// nearestWithRoom returns the healthy nodes up to the nearest locality that has room. It
// returns all healthy nodes while they are below overflowUtilization, and all usable nodes
// otherwise.
func (r *Router) nearestWithRoom(now time.Time, p exchanger.Priority, healthy []choice) []choice {
	limit, load := 0.0, 0.0
	spillover := cmp.Or(r.SpilloverUtilization, defaultSpilloverUtilization)
	end := 0
	for locality := localityDomain; locality <= localityAny; locality++ {
		for end < len(healthy) && healthy[end].locality == locality {
			nearest := &healthy[end]
			if !nearest.node.sheds(now, p) {
				limit += nearest.limit
				load += nearest.load
			}
			end++
		}
		if limit >= 1 && load < spillover*limit {
			return healthy[:end]
		}
	}
	if limit >= 1 && load < overflowUtilization*limit {
		return healthy
	}
	return r.usable
}

// partitionHealthy moves the failing nodes to the end of r.usable, keeping the order
// otherwise, and returns the healthy ones.
func (r *Router) partitionHealthy() []choice {
	if !slices.ContainsFunc(r.usable, isFailing) {
		return r.usable
	}
	slices.SortStableFunc(r.usable, func(a, b choice) int {
		return cmp.Compare(failingOrder(a), failingOrder(b))
	})
	return r.usable[:slices.IndexFunc(r.usable, isFailing)]
}

func isFailing(c choice) bool {
	return c.node.report.Failing
}

func failingOrder(c choice) int {
	if c.node.report.Failing {
		return 1
	}
	return 0
}

func (r *Router) localityOf(c Candidate) int {
	switch {
	case c.Domain == r.Domain:
		return localityDomain
	case c.Region == r.Region:
		return localityRegion
	default:
		return localityAny
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

// sheds reports whether every usable node sheds requests of priority p.
func (r *Router) sheds(now time.Time, p exchanger.Priority) bool {
	for i := range r.usable {
		if !r.usable[i].node.sheds(now, p) {
			return false
		}
	}
	return true
}

// collectUsable sets r.usable to the candidates that may get new requests, the nearest
// first.
func (r *Router) collectUsable(now time.Time, candidates []Candidate, tried []string) {
	r.usable, r.workReported = r.usable[:0], false
	for locality := localityDomain; locality <= localityAny; locality++ {
		for _, c := range candidates {
			if r.localityOf(c) != locality || contains(tried, c.Name) {
				continue
			}
			n := r.node(c.Name)
			n.resetIfReplaced(c.Incarnation)
			if !n.usable(now) {
				continue
			}
			r.workReported = r.workReported || n.report.WorkPercent > 0
			limit, load := n.limitAndLoad(now)
			r.usable = append(r.usable, choice{c, n, locality, limit, load})
		}
	}
}

func (c *choice) utilization() float64 {
	return c.load / c.limit
}

// weight returns the free capacity plus a hundredth of the limit, so that a full node can
// still be chosen.
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

func weightedChoice(choices []choice, at float64) *choice {
	for i := range choices {
		at -= choices[i].weight()
		if at < 0 {
			return &choices[i]
		}
	}
	return &choices[len(choices)-1]
}
