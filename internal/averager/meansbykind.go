package averager

import "time"

// maxKinds bounds the number of kinds with their own mean.
const maxKinds = 1024

// MeansByKind keeps the running mean of all durations and one of each kind. The zero
// MeansByKind has no values.
type MeansByKind struct {
	overall RunningMean
	means   map[string]*RunningMean
}

// Add adds a duration of a kind, observed at now. Beyond maxKinds it counts only in the
// overall mean.
func (m *MeansByKind) Add(now time.Time, kind string, value time.Duration) {
	m.overall.Add(now, value)
	mean := m.means[kind]
	if mean == nil {
		if len(m.means) >= maxKinds {
			return
		}
		if m.means == nil {
			m.means = map[string]*RunningMean{}
		}
		mean = &RunningMean{}
		m.means[kind] = mean
	}
	mean.Add(now, value)
}

// OverallMean returns the mean of all durations; 0 before the first one.
func (m *MeansByKind) OverallMean() time.Duration {
	return m.overall.Value()
}

// Mean returns the mean of a kind; 0 if it has none.
func (m *MeansByKind) Mean(kind string) time.Duration {
	if mean := m.means[kind]; mean != nil {
		return mean.Value()
	}
	return 0
}
