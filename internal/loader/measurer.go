package loader

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	binDuration       = 250 * time.Millisecond
	binsPerWindow     = 4
	highPercentile    = 99
	maxLatency        = 10 * time.Minute
	recoveredFraction = 0.9
	// returnTransition is the time after the end of an outage of a failure
	// domain, or of the withdrawal of a key, that counts as part of it.
	returnTransition  = 3 * time.Second
	significantDigits = 3
)

type (
	// bin counts the requests that started within one binDuration.
	bin struct {
		offered, served int
		// capacityRequests is the number of requests that the servers could
		// serve.
		capacityRequests float64
		// eventActive reports whether an event was active.
		eventActive bool
	}

	// measurer calculates a Result from the requests and the history of a run.
	measurer struct {
		scenario     *Scenario
		measureStart time.Time
		requests     []request
		history      recorder.History
		bins         []bin
	}
)

func (m *measurer) result() (r Result) {
	r.Scenario = m.scenario.Name
	m.requests = slices.DeleteFunc(slices.Clone(m.requests), func(q request) bool {
		return q.startedAt.Before(m.measureStart) || m.isKeyWithdrawn(q)
	})
	r.Requests = len(m.requests)
	m.fillBins()
	r.Goodput = m.goodput()
	r.RecoverySeconds, r.Recovered = m.recovery()
	r.WorstServed = m.worstServed()
	r.RefusedInsideRate = m.refusedInsideRate()
	r.DomainOutageFraction = m.domainOutageFraction()
	r.Priorities = m.priorities()
	r.Latency = m.latency()
	r.AttemptsPerRequest = m.attemptsPerRequest()
	r.WastedFraction = m.wastedFraction()
	r.RefusalsByReason = m.refusalsByReason()
	return r
}

// offeredByFlow returns the mean number of requests per second within the
// customers' rates, by flow, while the given events are active.
func (m *measurer) offeredByFlow(active []Event) (byFlow []float64) {
	total := 0.0
	for _, c := range m.scenario.Customers {
		total += min(c.RatePerSecond, c.OfferedPerSecond*c.surgeFactor(active))
	}
	weights := 0.0
	for _, f := range m.scenario.Flows {
		weights += f.Weight
	}
	for _, f := range m.scenario.Flows {
		byFlow = append(byFlow, total*f.Weight/weights)
	}
	return byFlow
}

func (c Customer) surgeFactor(active []Event) float64 {
	factor := 1.0
	for _, e := range active {
		if e.Kind == EventSurge && (e.Customer == "" || e.Customer == c.Name) {
			factor *= e.Factor
		}
	}
	return factor
}

func (m *measurer) fillBins() {
	m.bins = make([]bin, int(m.scenario.Duration.Std()/binDuration))
	for i := range m.bins {
		active := m.activeEvents(time.Duration(i) * binDuration)
		m.bins[i].eventActive = len(active) > 0
		perSecond := capacityModel{m.scenario, active}.throughput(m.offeredByFlow(active))
		m.bins[i].capacityRequests = perSecond * binDuration.Seconds()
	}
	for _, r := range m.requests {
		i := int(r.startedAt.Sub(m.measureStart) / binDuration)
		if r.startedAt.Before(m.measureStart) || i >= len(m.bins) {
			continue
		}
		m.bins[i].offered++
		if r.served {
			m.bins[i].served++
		}
	}
}

// activeEvents returns the events that are active at an offset from the start
// of the measurement.
func (m *measurer) activeEvents(at time.Duration) (active []Event) {
	for _, e := range m.scenario.Events {
		if at >= e.StartOffset.Std() && at < (e.StartOffset+e.Duration).Std() {
			active = append(active, e)
		}
	}
	return active
}

// isEventActive reports whether an event was active when the request started.
func (m *measurer) isEventActive(started time.Time) bool {
	i := int(started.Sub(m.measureStart) / binDuration)
	return !started.Before(m.measureStart) && i < len(m.bins) && m.bins[i].eventActive
}

// isKeyWithdrawn reports whether the customer's key was withdrawn, or had been
// restored for less than returnTransition, when the request started.
func (m *measurer) isKeyWithdrawn(r request) bool {
	at := r.startedAt.Sub(m.measureStart)
	return slices.ContainsFunc(m.scenario.Events, func(e Event) bool {
		hit := e.Customer == "" || e.Customer == m.scenario.Customers[r.customerIndex].Name
		return e.Kind == EventWithdrawKey && hit && at >= e.StartOffset.Std() && at < (e.StartOffset+e.Duration).Std()+returnTransition
	})
}

// goodput compares the goodput while events are active with the capacity of
// the servers. Without events it covers the whole duration.
func (m *measurer) goodput() (g Goodput) {
	var served, offered, capacity float64
	bins := 0
	noEvents := !slices.ContainsFunc(m.bins, func(b bin) bool { return b.eventActive })
	for _, b := range m.bins {
		if !b.eventActive && !noEvents {
			continue
		}
		bins++
		served += float64(b.served)
		offered += float64(b.offered)
		capacity += b.capacityRequests
	}
	if before := m.binsBeforeEvents(); before > 0 {
		for _, b := range m.bins[:before] {
			g.BeforePerSecond += float64(b.served) / (float64(before) * binDuration.Seconds())
		}
	}
	if bins > 0 {
		seconds := float64(bins) * binDuration.Seconds()
		g.DuringPerSecond = served / seconds
		g.CapacityPerSecond = min(capacity, offered) / seconds
		g.CapacityFraction = 1
		if g.CapacityPerSecond > 0 {
			g.CapacityFraction = g.DuringPerSecond / g.CapacityPerSecond
		}
	}
	return g
}

// binsBeforeEvents returns the number of bins before the first event.
func (m *measurer) binsBeforeEvents() int {
	first := m.scenario.Duration.Std()
	for _, e := range m.scenario.Events {
		first = min(first, e.StartOffset.Std())
	}
	return int(first / binDuration)
}

// recovery returns the longest time from the end of an event until the served
// fraction of the requests is at least recoveredFraction of its value before
// the first event for one second. recovered is false if that did not happen
// after some event.
func (m *measurer) recovery() (seconds float64, recovered bool) {
	usual := servedFraction(m.bins[:m.binsBeforeEvents()])
	if m.binsBeforeEvents() == 0 {
		usual = 1
	}
	recovered = true
	for _, e := range m.scenario.Events {
		end := int((e.StartOffset + e.Duration).Std() / binDuration)
		late := end+binsPerWindow > len(m.bins)
		if late || e.Kind == EventPoisonRequest || e.Kind == EventWithdrawKey || m.isOverlapped(e) {
			continue
		}
		bins, found := m.recoveredAfter(end, recoveredFraction*usual)
		recovered = recovered && found
		seconds = max(seconds, float64(bins)*binDuration.Seconds())
	}
	return seconds, recovered
}

// isOverlapped reports whether another event is still active when e ends.
func (m *measurer) isOverlapped(e Event) bool {
	end := e.StartOffset + e.Duration
	return slices.ContainsFunc(m.scenario.Events, func(other Event) bool {
		return other.StartOffset <= end && other.StartOffset+other.Duration > end
	})
}

func (m *measurer) recoveredAfter(end int, fraction float64) (bins int, found bool) {
	for i := end; i+binsPerWindow <= len(m.bins); i++ {
		if servedFraction(m.bins[i:i+binsPerWindow]) >= fraction {
			return i - end, true
		}
	}
	return len(m.bins) - end, false
}

// worstServed returns the customer that got the smallest fraction of its fair
// share of the requests that were served while events were active.
func (m *measurer) worstServed() (w CustomerShare) {
	served := make([]float64, len(m.scenario.Customers))
	offered := make([]float64, len(m.scenario.Customers))
	total := 0.0
	for _, r := range m.requests {
		if !m.isEventActive(r.startedAt) {
			continue
		}
		offered[r.customerIndex]++
		if r.served {
			served[r.customerIndex]++
			total++
		}
	}
	seconds := 0.0
	for _, b := range m.bins {
		if b.eventActive {
			seconds += binDuration.Seconds()
		}
	}
	for i, c := range m.scenario.Customers {
		offered[i] = min(offered[i], c.RatePerSecond*seconds+c.BurstRequests)
	}
	w.FairShareFraction = 1
	for i, fair := range fairShares(total, offered) {
		if fraction := ratio(served[i], fair); fair > 0 && fraction < w.FairShareFraction {
			w = CustomerShare{Customer: m.scenario.Customers[i].Name, FairShareFraction: fraction}
		}
	}
	return w
}

// domainOutageFraction returns the served fraction of the servers' capacity,
// from the start of a failure domain outage until returnTransition after its
// end.
func (m *measurer) domainOutageFraction() float64 {
	var served, capacity float64
	for i, b := range m.bins {
		at := time.Duration(i) * binDuration
		outage := slices.ContainsFunc(m.scenario.Events, func(e Event) bool {
			return e.Kind == EventDomainOutage && at >= e.StartOffset.Std() && at < (e.StartOffset+e.Duration).Std()+returnTransition
		})
		if outage {
			served += float64(b.served)
			capacity += min(b.capacityRequests, float64(b.offered))
		}
	}
	return ratio(served, capacity)
}

func (m *measurer) priorities() (shares []PriorityResult) {
	var sent, served [exchanger.PriorityCount]int
	for _, r := range m.requests {
		if !m.isEventActive(r.startedAt) {
			continue
		}
		p := *m.scenario.Flows[r.flowIndex].Priority
		sent[p]++
		if r.served {
			served[p]++
		}
	}
	for p, n := range sent {
		if n > 0 {
			shares = append(shares, PriorityResult{exchanger.Priority(p), n, ratio(float64(served[p]), float64(n))})
		}
	}
	return shares
}

func (m *measurer) latency() Latency {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	for _, r := range m.requests {
		if r.served {
			_ = h.RecordValue(r.finishedAt.Sub(r.startedAt).Microseconds())
		}
	}
	toMillis := float64(time.Millisecond / time.Microsecond)
	return Latency{
		MedianMillis: float64(h.ValueAtQuantile(50)) / toMillis,
		P99Millis:    float64(h.ValueAtQuantile(highPercentile)) / toMillis,
	}
}

func (m *measurer) attemptsPerRequest() float64 {
	n := 0
	for _, r := range m.requests {
		n += r.attempts
	}
	return ratio(float64(n), float64(len(m.requests)))
}

// wastedFraction returns the fraction of the servers' work that was spent on
// attempts whose callers got no whole answer within the deadline.
func (m *measurer) wastedFraction() float64 {
	good := map[string]bool{}
	for _, c := range m.history.Calls {
		if recorder.IsRoot(c.ChainPath) && c.Outcome == recorder.CallAnswered && c.Status < http.StatusBadRequest &&
			!c.Finish.After(c.Deadline) {
			good[c.AttemptID] = true
		}
	}
	var all, lost time.Duration
	for _, e := range m.history.Executions {
		if e.Start.Before(m.measureStart) {
			continue
		}
		all += e.SlotTime
		if !good[recorder.RootAttemptID(e.ChainPath)] {
			lost += e.SlotTime
		}
	}
	return ratio(lost.Seconds(), all.Seconds())
}

func (m *measurer) refusalsByReason() (counts []ReasonCount) {
	byReason := map[string]int{}
	for _, c := range m.history.Calls {
		switch {
		case !recorder.IsRoot(c.ChainPath) || c.Start.Before(m.measureStart):
		case c.Outcome == recorder.CallRefused:
			byReason[string(c.Reason)+" (ran: "+string(c.Ran)+")"]++
		case c.Outcome != recorder.CallAnswered:
			byReason[string(c.Outcome)]++
		case c.Status >= http.StatusBadRequest:
			byReason[http.StatusText(c.Status)]++
		}
	}
	for reason, n := range byReason {
		counts = append(counts, ReasonCount{reason, n})
	}
	slices.SortFunc(counts, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return counts
}

func servedFraction(bins []bin) float64 {
	served, offered := 0, 0
	for _, b := range bins {
		served += b.served
		offered += b.offered
	}
	if offered == 0 {
		return 1
	}
	return float64(served) / float64(offered)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
