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
	binTime         = 250 * time.Millisecond
	binsOfWindow    = 4
	highPercentile  = 99
	maxLatency      = 10 * time.Minute
	recoveredPart   = 0.9
	returnTime      = 3 * time.Second
	significantDigs = 3
)

type (
	// bin counts the requests that began in a short time.
	bin struct {
		offered, served int
		// bears is the number of requests that the servers bore.
		bears float64
		// active tells that an event lasted.
		active bool
	}

	// measurer works a Result out.
	measurer struct {
		scenario *Scenario
		begin    time.Time
		requests []request
		history  recorder.History
		bins     []bin
	}
)

func (m *measurer) result() (r Result) {
	r.Scenario = m.scenario.Name
	m.requests = slices.DeleteFunc(slices.Clone(m.requests), func(q request) bool {
		return q.started.Before(m.begin) || m.isWithdrawn(q)
	})
	r.Requests = len(m.requests)
	m.fillBins()
	r.Goodput = m.goodput()
	r.Recovery, r.Recovered = m.recovery()
	r.Worst = m.worst()
	r.Refused = m.refused()
	r.Domain = m.domain()
	r.Priorities = m.priorities()
	r.Latency = m.latency()
	r.Sends = m.sends()
	r.Wasted = m.wasted()
	r.Refusals = m.refusals()
	return r
}

// offered returns the mean number of requests a second inside the customers'
// rates, by flow, while some events last.
func (m *measurer) offered(active []Event) (byFlow []float64) {
	total := 0.0
	for _, c := range m.scenario.Customers {
		total += min(c.Rate, c.Offered*c.factor(active))
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

func (c Customer) factor(active []Event) float64 {
	factor := 1.0
	for _, e := range active {
		if e.Kind == EventSurge && (e.Customer == "" || e.Customer == c.Name) {
			factor *= e.Factor
		}
	}
	return factor
}

func (m *measurer) fillBins() {
	m.bins = make([]bin, int(m.scenario.Duration.Std()/binTime))
	for i := range m.bins {
		active := m.active(time.Duration(i) * binTime)
		m.bins[i].active = len(active) > 0
		perSecond := capacity{m.scenario, active}.bears(m.offered(active))
		m.bins[i].bears = perSecond * binTime.Seconds()
	}
	for _, r := range m.requests {
		i := int(r.started.Sub(m.begin) / binTime)
		if r.started.Before(m.begin) || i >= len(m.bins) {
			continue
		}
		m.bins[i].offered++
		if r.served {
			m.bins[i].served++
		}
	}
}

// active returns the events that last at a time.
func (m *measurer) active(at time.Duration) (active []Event) {
	for _, e := range m.scenario.Events {
		if at >= e.At.Std() && at < (e.At+e.For).Std() {
			active = append(active, e)
		}
	}
	return active
}

// isActive tells whether an event lasted when the request began.
func (m *measurer) isActive(started time.Time) bool {
	i := int(started.Sub(m.begin) / binTime)
	return !started.Before(m.begin) && i < len(m.bins) && m.bins[i].active
}

// isWithdrawn tells whether the customer's key was withdrawn when the request
// began, or had just come back.
func (m *measurer) isWithdrawn(r request) bool {
	at := r.started.Sub(m.begin)
	return slices.ContainsFunc(m.scenario.Events, func(e Event) bool {
		hit := e.Customer == "" || e.Customer == m.scenario.Customers[r.customer].Name
		return e.Kind == EventWithdraw && hit && at >= e.At.Std() && at < (e.At+e.For).Std()+returnTime
	})
}

// goodput compares the time of the events with what the servers bear. Without
// events all of the time counts.
func (m *measurer) goodput() (g Goodput) {
	var served, offered, bears float64
	bins := 0
	quiet := !slices.ContainsFunc(m.bins, func(b bin) bool { return b.active })
	for _, b := range m.bins {
		if !b.active && !quiet {
			continue
		}
		bins++
		served += float64(b.served)
		offered += float64(b.offered)
		bears += b.bears
	}
	if before := m.before(); before > 0 {
		for _, b := range m.bins[:before] {
			g.Before += float64(b.served) / (float64(before) * binTime.Seconds())
		}
	}
	if bins > 0 {
		seconds := float64(bins) * binTime.Seconds()
		g.During = served / seconds
		g.Bears = min(bears, offered) / seconds
		g.Share = 1
		if g.Bears > 0 {
			g.Share = g.During / g.Bears
		}
	}
	return g
}

// before returns the number of bins before the first event.
func (m *measurer) before() int {
	first := m.scenario.Duration.Std()
	for _, e := range m.scenario.Events {
		first = min(first, e.At.Std())
	}
	return int(first / binTime)
}

// recovery returns the longest time from an event's end until the part of the
// requests that is served is near the usual one for a second.
func (m *measurer) recovery() (seconds float64, recovered bool) {
	usual := servedPart(m.bins[:m.before()])
	if m.before() == 0 {
		usual = 1
	}
	recovered = true
	for _, e := range m.scenario.Events {
		end := int((e.At + e.For).Std() / binTime)
		late := end+binsOfWindow > len(m.bins)
		if late || e.Kind == EventPoison || e.Kind == EventWithdraw || m.overlapped(e) {
			continue
		}
		bins, found := m.recoveredAfter(end, recoveredPart*usual)
		recovered = recovered && found
		seconds = max(seconds, float64(bins)*binTime.Seconds())
	}
	return seconds, recovered
}

// overlapped tells whether another event lasts on after e's end.
func (m *measurer) overlapped(e Event) bool {
	end := e.At + e.For
	return slices.ContainsFunc(m.scenario.Events, func(o Event) bool {
		return o.At <= end && o.At+o.For > end
	})
}

func (m *measurer) recoveredAfter(end int, part float64) (bins int, found bool) {
	for i := end; i+binsOfWindow <= len(m.bins); i++ {
		if servedPart(m.bins[i:i+binsOfWindow]) >= part {
			return i - end, true
		}
	}
	return len(m.bins) - end, false
}

// worst returns the customer that got least of its fair share of what was
// served while events lasted.
func (m *measurer) worst() (w Share) {
	served := make([]float64, len(m.scenario.Customers))
	offered := make([]float64, len(m.scenario.Customers))
	total := 0.0
	for _, r := range m.requests {
		if !m.isActive(r.started) {
			continue
		}
		offered[r.customer]++
		if r.served {
			served[r.customer]++
			total++
		}
	}
	seconds := 0.0
	for _, b := range m.bins {
		if b.active {
			seconds += binTime.Seconds()
		}
	}
	for i, c := range m.scenario.Customers {
		offered[i] = min(offered[i], c.Rate*seconds+c.Burst)
	}
	w.Share = 1
	for i, fair := range fairShares(total, offered) {
		if part := ratio(served[i], fair); fair > 0 && part < w.Share {
			w = Share{Customer: m.scenario.Customers[i].Name, Share: part}
		}
	}
	return w
}

// domain returns the part of what the servers bear that was served from when
// a failure domain left until shortly after its return.
func (m *measurer) domain() float64 {
	var served, bears float64
	for i, b := range m.bins {
		at := time.Duration(i) * binTime
		out := slices.ContainsFunc(m.scenario.Events, func(e Event) bool {
			return e.Kind == EventDomain && at >= e.At.Std() && at < (e.At+e.For).Std()+returnTime
		})
		if out {
			served += float64(b.served)
			bears += min(b.bears, float64(b.offered))
		}
	}
	return ratio(served, bears)
}

func (m *measurer) priorities() (shares []PriorityShare) {
	var sent, served [exchanger.PriorityCount]int
	for _, r := range m.requests {
		if !m.isActive(r.started) {
			continue
		}
		p := *m.scenario.Flows[r.flow].Priority
		sent[p]++
		if r.served {
			served[p]++
		}
	}
	for p, n := range sent {
		if n > 0 {
			shares = append(shares, PriorityShare{exchanger.Priority(p), n, ratio(float64(served[p]), float64(n))})
		}
	}
	return shares
}

func (m *measurer) latency() Latency {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigs)
	for _, r := range m.requests {
		if r.served {
			_ = h.RecordValue(r.finished.Sub(r.started).Microseconds())
		}
	}
	toMillis := float64(time.Millisecond / time.Microsecond)
	return Latency{
		Median: float64(h.ValueAtQuantile(50)) / toMillis,
		High:   float64(h.ValueAtQuantile(highPercentile)) / toMillis,
	}
}

func (m *measurer) sends() float64 {
	n := 0
	for _, r := range m.requests {
		n += r.sends
	}
	return ratio(float64(n), float64(len(m.requests)))
}

// wasted returns the part of the servers' work for sends that their callers
// got no whole answer to.
func (m *measurer) wasted() float64 {
	good := map[string]bool{}
	for _, c := range m.history.Calls {
		if recorder.IsRoot(c.ChainPath) && c.Outcome == recorder.CallAnswered && c.Status < http.StatusBadRequest &&
			!c.Finish.After(c.Deadline) {
			good[c.AttemptID] = true
		}
	}
	var all, lost time.Duration
	for _, e := range m.history.Executions {
		if e.Start.Before(m.begin) {
			continue
		}
		all += e.SlotTime
		if !good[recorder.RootAttemptID(e.ChainPath)] {
			lost += e.SlotTime
		}
	}
	return ratio(lost.Seconds(), all.Seconds())
}

func (m *measurer) refusals() (counts []ReasonCount) {
	byReason := map[string]int{}
	for _, c := range m.history.Calls {
		switch {
		case !recorder.IsRoot(c.ChainPath) || c.Start.Before(m.begin):
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

func servedPart(bins []bin) float64 {
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
