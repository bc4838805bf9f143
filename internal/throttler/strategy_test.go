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
	simMeasureStart    = 40 * time.Second
	simEnd             = 100 * time.Second
	simCallTimeout     = 4 * time.Millisecond
	simNearLatency     = 200 * time.Microsecond
	simFarLatency      = time.Millisecond
	simHolderGap       = 12 * time.Second
	simRenewalInterval = 100 * time.Millisecond
	simDemandFraction  = 0.7
	simZipfExponent    = 1.2
	// simMinRequests is the least number of requests per table row. Cases with
	// small limits need several runs to reach it.
	simMinRequests = 5000
)

const (
	oneHolder   = "one holder"
	shards      = "shards"
	greedy      = "shards, greedy transfer"
	staticSplit = "equal static split"
	lentShares  = "one holder, lent shares"
)

type (
	// simCase is one row of the table.
	simCase struct {
		strategy       string
		nodes          int
		limit          Limit
		skewedArrivals bool
		holderLost     bool
	}

	simResult struct {
		requests, wrongfulRefusals, messages int
		excessTokens                         float64
	}

	// sim runs the policy with a virtual clock.
	sim struct {
		simCase
		now           time.Duration
		events        simQueue
		eventCount    int
		random        *rand.Rand
		nodes         []*simNode
		domainCount   int
		holders       []int
		zipf          *rand.Zipf
		nodeByRank    []int
		result        simResult
		allowedTokens float64
		refilledAt    time.Duration
	}

	simNode struct {
		index           int
		crashed         bool
		bucket          *Bucket
		lenders         LenderList
		waitDeadlines   []time.Duration
		requestPending  bool
		triedLenders    []string
		timeToNextToken time.Duration
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
	s := &sim{simCase: c, random: rand.New(rand.NewPCG(seed, 1)), domainCount: 3, allowedTokens: float64(c.limit.Burst)}
	if c.nodes > 100 {
		s.domainCount = 10
	}
	s.zipf = rand.NewZipf(s.random, simZipfExponent, 1, uint64(c.nodes-1))
	s.nodeByRank = s.random.Perm(c.nodes)
	for i := range c.nodes {
		s.nodes = append(s.nodes, &simNode{index: i, bucket: NewBucket(simTime(0))})
	}
	s.placeHolders()
	for _, n := range s.nodes {
		n.lenders.Names = s.lendersOf(n.index)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, simEvent{s.now + d, s.eventCount, run})
}

// placeHolders makes the first nodes of the failure domains holders.
func (s *sim) placeHolders() {
	count := map[string]int{oneHolder: 1, lentShares: 1, staticSplit: s.simCase.nodes}[s.strategy]
	if count == 0 {
		count = max(1, min(s.domainCount, int(s.limit.Burst/(2*Token))))
	}
	for i := range count {
		s.holders = append(s.holders, i)
		s.beginTenure(i, s.limit.scaled(1, MilliTokens(count)), 0, 1)
	}
}

// beginTenure makes a node the holder. Only the strategy with lent shares has
// shares of earlier holders to reserve.
func (s *sim) beginTenure(i int, limit Limit, tenureStart time.Duration, tenureID uint64) {
	b := s.nodes[i].bucket
	b.UpdateTenure(simTime(s.now), limit, simTime(tenureStart), tenureID, TenureStart{FirstTenure: tenureID == 1, LimitUnchanged: true})
	if s.strategy != lentShares {
		b.earlierShares = Limit{}
		b.recompute()
	}
}

// lendersOf returns the nodes that a node requests tokens from, the nearest
// first.
func (s *sim) lendersOf(i int) (names []string) {
	ownDomain := i % s.domainCount
	switch s.strategy {
	case staticSplit:
		return nil
	case lentShares:
		domainLenders := s.domainLenders()
		for k := range domainLenders {
			names = append(names, fmt.Sprint(domainLenders[(ownDomain+k)%len(domainLenders)]))
		}
		return append(names, fmt.Sprint(s.holders[0]))
	}
	for k := range s.holders {
		names = append(names, fmt.Sprint(s.holders[(ownDomain+k)%len(s.holders)]))
	}
	return names
}

// domainLenders returns one node of each failure domain; of fewer domains when
// the burst is small.
func (s *sim) domainLenders() (list []int) {
	if s.strategy != lentShares {
		return nil
	}
	for i := range DomainLenderCount(s.limit, s.domainCount) {
		list = append(list, s.domainCount+i)
	}
	return list
}

func (s *sim) run() simResult {
	s.scheduleArrival()
	if s.strategy == lentShares {
		for _, n := range s.nodes {
			s.renewShare(n)
		}
	}
	if s.holderLost {
		s.after(simMeasureStart, s.crashHolder)
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

func (s *sim) scheduleArrival() {
	rate := float64(s.limit.RatePerSecond) / float64(Token) * simDemandFraction
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.scheduleArrival()
		s.handleRequest(s.pickNode())
	})
}

func (s *sim) pickNode() *simNode {
	for {
		i := s.random.IntN(s.simCase.nodes)
		if s.skewedArrivals {
			i = s.nodeByRank[s.zipf.Uint64()]
		}
		if !s.nodes[i].crashed {
			return s.nodes[i]
		}
		if s.skewedArrivals {
			return s.nodes[(i+1)%s.simCase.nodes]
		}
	}
}

func (s *sim) handleRequest(n *simNode) {
	if s.now >= simMeasureStart {
		s.result.requests++
	}
	now := simTime(s.now)
	n.bucket.RecordDemand(now, Token)
	if len(n.waitDeadlines) == 0 && n.bucket.Allow(now) {
		s.countAdmission()
		return
	}
	if n.lenders.PauseLeft(now) > MaxTokenWait {
		s.refuse(n, 1)
		return
	}
	n.waitDeadlines = append(n.waitDeadlines, s.now+MaxTokenWait)
	s.after(MaxTokenWait, func() { s.refuseExpired(n) })
	s.requestTokens(n)
}

// requestTokens sends one loan request for all waiting requests.
func (s *sim) requestTokens(n *simNode) {
	if n.requestPending || len(n.waitDeadlines) == 0 || n.lenders.PauseLeft(simTime(s.now)) > 0 {
		return
	}
	name, found := n.lenders.Next(simTime(s.now), n.triedLenders)
	if found && s.strategy != lentShares {
		name, found = s.nearestHolder(n)
	}
	if found && s.strategy == greedy && len(n.triedLenders) > 0 {
		name, found = s.fullestHolder(n)
	}
	if found && s.strategy == shards && len(n.triedLenders) > 0 {
		found = false
	}
	if !found {
		n.triedLenders = nil
		n.lenders.Pause(simTime(s.now), n.timeToNextToken)
		n.timeToNextToken = 0
		s.pauseLenders(n)
		return
	}
	n.requestPending = true
	n.triedLenders = append(n.triedLenders, name)
	request := LoanRequest{Borrower: fmt.Sprint(n.index), OnDemandTokens: MilliTokens(len(n.waitDeadlines)) * Token}
	s.call(n, name, request, func(g Grant, ok bool) {
		n.requestPending = false
		if !ok {
			n.lenders.MarkUnresponsive(simTime(s.now), name)
			n.triedLenders = n.triedLenders[:len(n.triedLenders)-1]
		}
		if ok {
			n.lenders.RecordTokens(name, g.LenderTokens)
			if n.timeToNextToken == 0 || g.TimeToNextToken < n.timeToNextToken {
				n.timeToNextToken = g.TimeToNextToken
			}
		}
		if g.OnDemandTokens > 0 {
			n.triedLenders = nil
		}
		s.admitWaiting(n)
		s.requestTokens(n)
	})
}

// pauseLenders refuses the requests whose wait ends before lenders are asked
// again.
func (s *sim) pauseLenders(n *simNode) {
	pauseLeft := n.lenders.PauseLeft(simTime(s.now))
	count := 0
	for count < len(n.waitDeadlines) && n.waitDeadlines[count] < s.now+pauseLeft {
		count++
	}
	s.refuse(n, count)
	s.after(pauseLeft, func() { s.requestTokens(n) })
}

// nearestHolder returns the first lender that is not unresponsive.
func (s *sim) nearestHolder(n *simNode) (name string, found bool) {
	for _, name := range n.lenders.Names {
		if !slices.Contains(n.triedLenders, name) && !simTime(s.now).Before(n.lenders.unresponsiveUntil[name]) {
			return name, true
		}
	}
	return "", false
}

// fullestHolder returns the shard with the most tokens that was not tried yet.
// It knows the tokens of all shards, which favours the strategy.
func (s *sim) fullestHolder(n *simNode) (name string, found bool) {
	best := MilliTokens(0)
	for _, i := range s.holders {
		if s.nodes[i].crashed || slices.Contains(n.triedLenders, fmt.Sprint(i)) {
			continue
		}
		if tokens := s.nodes[i].bucket.AvailableTokens(simTime(s.now)); tokens > best {
			best, name, found = tokens, fmt.Sprint(i), true
		}
	}
	return name, found
}

func (s *sim) call(n *simNode, to string, request LoanRequest, done func(Grant, bool)) {
	var i int
	_, _ = fmt.Sscan(to, &i)
	sentAt, latency := s.now, simFarLatency
	if i%s.domainCount == n.index%s.domainCount {
		latency = simNearLatency
	}
	if s.now >= simMeasureStart {
		s.result.messages += 2
	}
	answered := false
	s.after(latency, func() {
		if s.nodes[i].crashed {
			return
		}
		g := s.nodes[i].bucket.Lend(simTime(s.now), request)
		s.after(latency, func() {
			answered = true
			n.bucket.ApplyGrant(simTime(s.now), simTime(sentAt), request, g)
			done(g, true)
		})
	})
	s.after(simCallTimeout, func() {
		if !answered {
			done(Grant{}, false)
		}
	})
}

func (s *sim) admitWaiting(n *simNode) {
	for len(n.waitDeadlines) > 0 && n.bucket.Allow(simTime(s.now)) {
		n.waitDeadlines = n.waitDeadlines[1:]
		s.countAdmission()
	}
}

func (s *sim) refuseExpired(n *simNode) {
	s.admitWaiting(n)
	count := 0
	for count < len(n.waitDeadlines) && n.waitDeadlines[count] <= s.now {
		count++
	}
	s.refuse(n, count)
}

func (s *sim) refuse(n *simNode, count int) {
	n.waitDeadlines = n.waitDeadlines[min(count, len(n.waitDeadlines)):]
	s.refill()
	if s.now >= simMeasureStart {
		s.result.wrongfulRefusals += min(count, int(s.allowedTokens/float64(Token)))
	}
}

func (s *sim) countAdmission() {
	s.refill()
	s.allowedTokens -= float64(Token)
	s.result.excessTokens = max(s.result.excessTokens, -s.allowedTokens/float64(Token))
}

func (s *sim) refill() {
	s.allowedTokens = min(float64(s.limit.Burst), s.allowedTokens+float64(s.limit.RatePerSecond)*(s.now-s.refilledAt).Seconds())
	s.refilledAt = s.now
}

func (s *sim) renewShare(n *simNode) {
	s.after(simRenewalInterval, func() { s.renewShare(n) })
	if n.crashed {
		return
	}
	isDomainLender := false
	for _, d := range s.domainLenders() {
		isDomainLender = isDomainLender || d == n.index
	}
	request, due := n.bucket.NextLoanRequest(simTime(s.now), isDomainLender)
	if !due {
		return
	}
	request.Borrower = fmt.Sprint(n.index)
	s.call(n, fmt.Sprint(s.holders[0]), request, func(Grant, bool) {})
}

// crashHolder crashes the first holder. Its successor begins once the tenure of
// the old one has certainly ended.
func (s *sim) crashHolder() {
	old := s.nodes[s.holders[0]]
	old.crashed = true
	s.refuse(old, len(old.waitDeadlines))
	limit := old.bucket.ownLimit
	s.after(simHolderGap, func() {
		next := s.simCase.nodes - s.domainCount
		s.holders[0] = next
		s.beginTenure(next, limit, s.now, 2)
		for _, n := range s.nodes {
			n.lenders.Names = s.lendersOf(n.index)
		}
	})
}

func TestSimulatedAdmissionsStayWithinLimit(t *testing.T) {
	for _, strategy := range []string{oneHolder, lentShares} {
		got := newSim(simCase{strategy, 13, NewLimit(50, 50), true, true}, 1).run().excessTokens
		if got > 1e-6 {
			t.Errorf("%s: got %.3f tokens admitted above the limit, want 0", strategy, got)
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
	c.holderLost = true
	lost, _ := runCase(c)
	arrivals := "uniform"
	if c.skewedArrivals {
		arrivals = "skewed"
	}
	percent := func(r simResult) float64 { return 100 * float64(r.wrongfulRefusals) / float64(max(r.requests, 1)) }
	fmt.Fprintf(w, "| %s\t| %d\t| %d, %d\t| %s\t| %.2f%%\t| %.2f%%\t| %.3g\t| %.1f\t|\n",
		c.strategy, c.nodes, c.limit.RatePerSecond/Token, c.limit.Burst/Token, arrivals,
		percent(steady), percent(lost), max(steady.excessTokens, lost.excessTokens, 0),
		float64(steady.messages)/(simEnd-simMeasureStart).Seconds()/float64(runs))
}

func runCase(c simCase) (total simResult, runs int) {
	for total.requests < simMinRequests {
		runs++
		r := newSim(c, uint64(runs)).run()
		total.requests += r.requests
		total.wrongfulRefusals += r.wrongfulRefusals
		total.messages += r.messages
		total.excessTokens = max(total.excessTokens, r.excessTokens)
	}
	return total, runs
}
