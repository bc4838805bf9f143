package meter

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
)

// Watch shows a count that another part keeps. It never falls.
func (m *Meter) RegisterCounter(name, description string, value func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name,
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
	return errors.Wrapf(err, "watch %s", name)
}

// WatchLevel shows a number that another part keeps and that rises and falls.
func (m *Meter) RegisterGauge(name, description string, value func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name,
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
	return errors.Wrapf(err, "watch %s", name)
}

// WatchSeconds shows a duration in seconds that another part keeps.
func (m *Meter) RegisterSecondsGauge(name, description string, value func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name,
		metric.WithUnit("s"),
		metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(value())
			return nil
		}))
	return errors.Wrapf(err, "watch %s", name)
}
