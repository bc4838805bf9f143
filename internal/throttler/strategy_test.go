package throttler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"
)

const (
	simStart   = 40 * time.Second
	simEnd     = 100 * time.Second
	simTimeout = 4 * time.Millisecond
	simNear    = 200 * time.Microsecond
	simFar     = time.Millisecond
	simGap     = 12 * time.Second
	simTick    = 100 * time.Millisecond
	simDemand  = 0.7
	simZipf    = 1.2
	// simRequests is the least number of requests behind a line; small
	// customers get it from several runs.
	simRequests = 5000
)

const (
	oneHolder   = "one holder"
	shards      = "shards"
	greedy      = "shards, greedy transfer"
	staticSplit = "equal static split"
	lentShares  = "one holder, lent shares"
)

type (
	// simCase is one line of the table.
	simCase struct {
		strategy string
		nodes    int
		limit    Limit
		skewed   bool
		lost     bool
	}

	simResult struct {
		requests, wrongful, messages int
		excess                       float64
	}

	// sim drives the policy by a virtual clock.
	sim struct {
		simCase
		now     time.Duration
		events  simQueue
		count   int
		random  *rand.Rand
		nodes   []*simNode
		domains int
		roots   []int
		zipf    *rand.Zipf
		shuffle []int
		result  simResult
		bound   float64
		filled  time.Duration
	}

	simNode struct {
		index   int
		dead    bool
		bucket  *Bucket
		lenders LenderList
		waiting []time.Duration
		asking  bool
		tried   []string
		wait    time.Duration
	}

	simEvent struct {
		at    time.Duration
		order int
		run   func()
	}

	simQueue []simEvent
)

func (q simQueue) Len() int { return len(q) }

func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *simQueue) Push(v any) { *q = append(*q, v.(simEvent)) }

func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func simTime(d time.Duration) time.Time {
	return time.Unix(0, 0).Add(d)
}

func newSim(c simCase, seed uint64) *sim {
	s := &sim{simCase: c, random: rand.New(rand.NewPCG(seed, 1)), domains: 3, bound: float64(c.limit.Burst)}
	if c.nodes > 100 {
		s.domains = 10
	}
	s.zipf = rand.NewZipf(s.random, simZipf, 1, uint64(c.nodes-1))
	s.shuffle = s.random.Perm(c.nodes)
	for i := range c.nodes {
		s.nodes = append(s.nodes, &simNode{index: i, bucket: NewBucket(simTime(0))})
	}
	s.placeRoots()
	for _, n := range s.nodes {
		n.lenders.Names = s.lenders(n.index)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, simEvent{s.now + d, s.count, run})
}

// placeRoots makes the first nodes of the failure domains holders.
func (s *sim) placeRoots() {
	number := map[string]int{oneHolder: 1, lentShares: 1, staticSplit: s.simCase.nodes}[s.strategy]
	if number == 0 {
		number = max(1, min(s.domains, int(s.limit.Burst/(2*Token))))
	}
	for i := range number {
		s.roots = append(s.roots, i)
		s.hold(i, s.limit.part(1, MilliTokens(number)), 0, 1)
	}
}

// hold makes a node the holder. Only lent shares leave anything to wait for.
func (s *sim) hold(i int, limit Limit, since time.Duration, tenure uint64) {
	b := s.nodes[i].bucket
	b.UpdateTenure(simTime(s.now), limit, simTime(since), tenure, TenureStart{FirstTenure: tenure == 1, LimitUnchanged: true})
	if s.strategy != lentShares {
		b.earlier = Limit{}
		b.settle()
	}
}

// lenders returns the nodes that a node asks for tokens, the nearest first.
func (s *sim) lenders(i int) (names []string) {
	own := i % s.domains
	switch s.strategy {
	case staticSplit:
		return nil
	case lentShares:
		deputies := s.deputies()
		for k := range deputies {
			names = append(names, fmt.Sprint(deputies[(own+k)%len(deputies)]))
		}
		return append(names, fmt.Sprint(s.roots[0]))
	}
	for k := range s.roots {
		names = append(names, fmt.Sprint(s.roots[(own+k)%len(s.roots)]))
	}
	return names
}

// deputies are a node of each failure domain, for a small burst of fewer.
func (s *sim) deputies() (list []int) {
	if s.strategy != lentShares {
		return nil
	}
	for i := range DomainLenderCount(s.limit, s.domains) {
		list = append(list, s.domains+i)
	}
	return list
}

func (s *sim) run() simResult {
	s.arrive()
	if s.strategy == lentShares {
		for _, n := range s.nodes {
			s.tick(n)
		}
	}
	if s.lost {
		s.after(simStart, s.loseHolder)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > simEnd {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *sim) arrive() {
	rate := float64(s.limit.RatePerSecond) / float64(Token) * simDemand
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrive()
		s.request(s.pick())
	})
}

func (s *sim) pick() *simNode {
	for {
		i := s.random.IntN(s.simCase.nodes)
		if s.skewed {
			i = s.shuffle[s.zipf.Uint64()]
		}
		if !s.nodes[i].dead {
			return s.nodes[i]
		}
		if s.skewed {
			return s.nodes[(i+1)%s.simCase.nodes]
		}
	}
}

func (s *sim) request(n *simNode) {
	if s.now >= simStart {
		s.result.requests++
	}
	now := simTime(s.now)
	n.bucket.RecordDemand(now, Token)
	if len(n.waiting) == 0 && n.bucket.Allow(now) {
		s.admitted()
		return
	}
	if n.lenders.PauseLeft(now) > MaxTokenWait {
		s.refuse(n, 1)
		return
	}
	n.waiting = append(n.waiting, s.now+MaxTokenWait)
	s.after(MaxTokenWait, func() { s.late(n) })
	s.ask(n)
}

// ask sends one ask for all waiting requests.
func (s *sim) ask(n *simNode) {
	if n.asking || len(n.waiting) == 0 || n.lenders.PauseLeft(simTime(s.now)) > 0 {
		return
	}
	name, found := n.lenders.Next(simTime(s.now), n.tried)
	if found && s.strategy != lentShares {
		name, found = s.nearest(n)
	}
	if found && s.strategy == greedy && len(n.tried) > 0 {
		name, found = s.fullest(n)
	}
	if found && s.strategy == shards && len(n.tried) > 0 {
		found = false
	}
	if !found {
		n.tried = nil
		n.lenders.Pause(simTime(s.now), n.wait)
		n.wait = 0
		s.pause(n)
		return
	}
	n.asking = true
	n.tried = append(n.tried, name)
	a := LoanRequest{Borrower: fmt.Sprint(n.index), OnDemandTokens: MilliTokens(len(n.waiting)) * Token}
	s.call(n, name, a, func(g Grant, ok bool) {
		n.asking = false
		if !ok {
			n.lenders.MarkUnresponsive(simTime(s.now), name)
			n.tried = n.tried[:len(n.tried)-1]
		}
		if ok {
			n.lenders.RecordTokens(name, g.LenderTokens)
			if n.wait == 0 || g.TimeToNextToken < n.wait {
				n.wait = g.TimeToNextToken
			}
		}
		if g.OnDemandTokens > 0 {
			n.tried = nil
		}
		s.serve(n)
		s.ask(n)
	})
}

// pause refuses those whose wait ends before lenders are asked again.
func (s *sim) pause(n *simNode) {
	paused := n.lenders.PauseLeft(simTime(s.now))
	count := 0
	for count < len(n.waiting) && n.waiting[count] < s.now+paused {
		count++
	}
	s.refuse(n, count)
	s.after(paused, func() { s.ask(n) })
}

// nearest returns the first lender that answers.
func (s *sim) nearest(n *simNode) (name string, found bool) {
	for _, name := range n.lenders.Names {
		if !slices.Contains(n.tried, name) && !simTime(s.now).Before(n.lenders.avoided[name]) {
			return name, true
		}
	}
	return "", false
}

// fullest returns the fullest shard that was not asked yet. It knows them
// all, which favours the strategy.
func (s *sim) fullest(n *simNode) (name string, found bool) {
	best := MilliTokens(0)
	for _, i := range s.roots {
		if s.nodes[i].dead || slices.Contains(n.tried, fmt.Sprint(i)) {
			continue
		}
		if tokens := s.nodes[i].bucket.AvailableTokens(simTime(s.now)); tokens > best {
			best, name, found = tokens, fmt.Sprint(i), true
		}
	}
	return name, found
}

func (s *sim) call(n *simNode, to string, a LoanRequest, done func(Grant, bool)) {
	var i int
	_, _ = fmt.Sscan(to, &i)
	sent, latency := s.now, simFar
	if i%s.domains == n.index%s.domains {
		latency = simNear
	}
	if s.now >= simStart {
		s.result.messages += 2
	}
	answered := false
	s.after(latency, func() {
		if s.nodes[i].dead {
			return
		}
		g := s.nodes[i].bucket.Lend(simTime(s.now), a)
		s.after(latency, func() {
			answered = true
			n.bucket.ApplyGrant(simTime(s.now), simTime(sent), a, g)
			done(g, true)
		})
	})
	s.after(simTimeout, func() {
		if !answered {
			done(Grant{}, false)
		}
	})
}

func (s *sim) serve(n *simNode) {
	for len(n.waiting) > 0 && n.bucket.Allow(simTime(s.now)) {
		n.waiting = n.waiting[1:]
		s.admitted()
	}
}

func (s *sim) late(n *simNode) {
	s.serve(n)
	count := 0
	for count < len(n.waiting) && n.waiting[count] <= s.now {
		count++
	}
	s.refuse(n, count)
}

func (s *sim) refuse(n *simNode, count int) {
	n.waiting = n.waiting[min(count, len(n.waiting)):]
	s.refill()
	if s.now >= simStart {
		s.result.wrongful += min(count, int(s.bound/float64(Token)))
	}
}

func (s *sim) admitted() {
	s.refill()
	s.bound -= float64(Token)
	s.result.excess = max(s.result.excess, -s.bound/float64(Token))
}

func (s *sim) refill() {
	s.bound = min(float64(s.limit.Burst), s.bound+float64(s.limit.RatePerSecond)*(s.now-s.filled).Seconds())
	s.filled = s.now
}

func (s *sim) tick(n *simNode) {
	s.after(simTick, func() { s.tick(n) })
	if n.dead {
		return
	}
	deputy := false
	for _, d := range s.deputies() {
		deputy = deputy || d == n.index
	}
	a, due := n.bucket.NextLoanRequest(simTime(s.now), deputy)
	if !due {
		return
	}
	a.Borrower = fmt.Sprint(n.index)
	s.call(n, fmt.Sprint(s.roots[0]), a, func(Grant, bool) {})
}

// loseHolder kills the first holder. Its successor begins once the tenure of
// the dead one has surely lapsed.
func (s *sim) loseHolder() {
	dead := s.nodes[s.roots[0]]
	dead.dead = true
	s.refuse(dead, len(dead.waiting))
	limit := dead.bucket.own
	s.after(simGap, func() {
		next := s.simCase.nodes - s.domains
		s.roots[0] = next
		s.hold(next, limit, s.now, 2)
		for _, n := range s.nodes {
			n.lenders.Names = s.lenders(n.index)
		}
	})
}

func TestSimulatedAdmissionsStayWithinLimit(t *testing.T) {
	for _, strategy := range []string{oneHolder, lentShares} {
		got := newSim(simCase{strategy, 13, NewLimit(50, 50), true, true}, 1).run().excess
		if got > 1e-6 {
			t.Errorf("%s: got excess of %.3f tokens, want 0", strategy, got)
		}
	}
}

// BenchmarkStrategies prints the table of docs/decisions/0030-rates.md.
func BenchmarkStrategies(b *testing.B) {
	var out strings.Builder
	for b.Loop() {
		out.Reset()
		printStrategies(&out)
	}
	if _, err := os.Stdout.WriteString(out.String()); err != nil {
		b.Fatal(err)
	}
}

func printStrategies(out *strings.Builder) {
	w := tabwriter.NewWriter(out, 0, 8, 1, ' ', 0)
	fmt.Fprintln(w, "| strategy\t| nodes\t| rate, burst\t| arrivals\t| wrongful, steady\t| wrongful, holder lost\t| excess\t| messages/s\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, nodes := range []int{13, 420} {
		for _, limit := range []Limit{NewLimit(5, 5), NewLimit(50, 50), NewLimit(2000, 2000)} {
			for _, skewed := range []bool{false, true} {
				for _, strategy := range []string{oneHolder, shards, greedy, staticSplit, lentShares} {
					printStrategy(w, simCase{strategy, nodes, limit, skewed, false})
				}
			}
		}
	}
	_ = w.Flush()
}

func printStrategy(w *tabwriter.Writer, c simCase) {
	steady, runs := runCase(c)
	c.lost = true
	lost, _ := runCase(c)
	arrivals := "uniform"
	if c.skewed {
		arrivals = "skewed"
	}
	percent := func(r simResult) float64 { return 100 * float64(r.wrongful) / float64(max(r.requests, 1)) }
	fmt.Fprintf(w, "| %s\t| %d\t| %d, %d\t| %s\t| %.2f%%\t| %.2f%%\t| %.3g\t| %.1f\t|\n",
		c.strategy, c.nodes, c.limit.RatePerSecond/Token, c.limit.Burst/Token, arrivals,
		percent(steady), percent(lost), max(steady.excess, lost.excess, 0),
		float64(steady.messages)/(simEnd-simStart).Seconds()/float64(runs))
}

func runCase(c simCase) (total simResult, runs int) {
	for total.requests < simRequests {
		runs++
		r := newSim(c, uint64(runs)).run()
		total.requests += r.requests
		total.wrongful += r.wrongful
		total.messages += r.messages
		total.excess = max(total.excess, r.excess)
	}
	return total, runs
}
