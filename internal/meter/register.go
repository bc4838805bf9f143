package meter

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
)

// RegisterCounter registers a counter whose value another component keeps. The
// value must not decrease.
func (m *Meter) RegisterCounter(name, description string, value func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name,
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
	return errors.Wrapf(err, "register metric %s", name)
}

// RegisterGauge registers a gauge whose value another component keeps.
func (m *Meter) RegisterGauge(name, description string, value func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name,
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
	return errors.Wrapf(err, "register metric %s", name)
}

// RegisterSecondsGauge registers a gauge of a duration in seconds that another
// component keeps.
func (m *Meter) RegisterSecondsGauge(name, description string, value func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name,
		metric.WithUnit("s"),
		metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(value())
			return nil
		}))
	return errors.Wrapf(err, "register metric %s", name)
}
