// Package meter counts the requests that end on a node. It exports them as
// OpenTelemetry metrics for a collector and as counts over time windows for the
// burn rate report.
package meter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const instrumentationScope = "github.com/flamingotack/flamingotack"

type (
	// Meter counts requests. It is safe for concurrent use.
	Meter struct {
		clock     timekeeper.Clock
		startedAt time.Time
		elapsed   metric.Float64Histogram
		meter     metric.Meter
		registry  *prometheus.Registry
		requests  metric.Int64Counter

		mu       sync.Mutex
		arrivals map[string]*arrivalRing
		counter  *windowCounter
	}

	// Sample is a request that has ended.
	Sample struct {
		// Service is the requested service, or empty if it is unknown.
		Service string
		// Customer is empty on a route that needs no key.
		Customer string
		// Priority is the priority of the request.
		Priority exchanger.Priority
		// Root is set if the request came from outside, not from another backend
		// server. Only such requests count in windows.
		Root bool
		// Refusal is nil if the request got a complete response.
		Refusal *exchanger.Refusal
		// Status is the HTTP status of the response.
		Status int
		// Elapsed is the time from the request's arrival to its end.
		Elapsed time.Duration
		// LatencyObjective is the elapsed time up to which a request is good; 0
		// means no limit.
		LatencyObjective time.Duration
	}
)

// New returns a Meter that starts to count now.
func New(clock timekeeper.Clock) (m *Meter, err error) {
	defer func() { err = errors.Wrap(err, "create metrics") }()
	m = &Meter{
		clock:     clock,
		startedAt: clock.Now(),
		registry:  prometheus.NewRegistry(),
		arrivals:  map[string]*arrivalRing{},
		counter:   newWindowCounter(),
	}
	exporter, err := otelprom.New(otelprom.WithRegisterer(m.registry))
	if err != nil {
		return nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m.meter = provider.Meter(instrumentationScope)
	m.requests, err = m.meter.Int64Counter("flamingotack.requests",
		metric.WithDescription("Requests that ended on this node, by how they ended."))
	if err != nil {
		return nil, err
	}
	m.elapsed, err = m.meter.Float64Histogram("flamingotack.elapsed", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its end."))
	return m, err
}

// Arrivals returns the arrivals of a customer in the last arrivalSeconds seconds.
func (m *Meter) Arrivals(customer string) Arrivals {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.arrivals[customer]
	if r == nil {
		r = &arrivalRing{}
	}
	return r.arrivals(m.clock.Now(), customer)
}

// Counts returns the counts of all windows. It leaves Node and Incarnation empty.
func (m *Meter) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	sinceStart := m.clock.Now().Sub(m.startedAt)
	c := Counts{CountingDuration: parser.Duration(sinceStart), Series: m.counter.allSeries(sinceStart)}
	for _, w := range Windows {
		c.Windows = append(c.Windows, parser.Duration(w))
	}
	return c
}

// Handler returns an HTTP handler that serves the metrics in Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Observe counts a request that has ended.
func (m *Meter) Observe(s Sample) {
	key := SeriesKey{Service: s.Service, Customer: s.Customer, Priority: s.Priority, Outcome: s.outcome()}
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", key.Service),
		attribute.String("customer", key.Customer),
		attribute.String("priority", key.Priority.String()),
		attribute.String("outcome", string(key.Outcome)),
		attribute.Bool("root", s.Root),
	))
	m.elapsed.Record(context.Background(), s.Elapsed.Seconds(), metric.WithAttributes(
		attribute.String("service", key.Service),
		attribute.Bool("root", s.Root),
	))
	if s.Root {
		m.count(key)
	}
}

func (m *Meter) count(k SeriesKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.counter.add(now.Sub(m.startedAt), k)
	if k.Customer == "" {
		return
	}
	r := m.arrivals[k.Customer]
	if r == nil {
		r = &arrivalRing{}
		m.arrivals[k.Customer] = r
	}
	r.add(now, k.Outcome == Outcome(exchanger.ReasonRate))
}

func (s Sample) outcome() Outcome {
	switch {
	case s.Refusal != nil:
		return Outcome(s.Refusal.Reason)
	case s.Status >= http.StatusInternalServerError:
		return OutcomeError
	case s.LatencyObjective > 0 && s.Elapsed > s.LatencyObjective:
		return OutcomeSlow
	default:
		return OutcomeGood
	}
}
