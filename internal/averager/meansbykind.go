package averager

import "time"

// maxKinds bounds the kinds with a mean of their own.
const maxKinds = 1024

// ByKind keeps the mean of all times and that of each kind. The zero ByKind has
// taken no time.
type MeansByKind struct {
	all   RunningMean
	kinds map[string]*RunningMean
}

// Add takes a time of a kind.
func (b *MeansByKind) Add(now time.Time, kind string, value time.Duration) {
	b.all.Add(now, value)
	known := b.kinds[kind]
	if known == nil {
		if len(b.kinds) >= maxKinds {
			return
		}
		if b.kinds == nil {
			b.kinds = map[string]*RunningMean{}
		}
		known = &RunningMean{}
		b.kinds[kind] = known
	}
	known.Add(now, value)
}

// All returns the mean of all times; 0 before the first one.
func (b *MeansByKind) OverallMean() time.Duration {
	return b.all.Value()
}

// Of returns the mean of a kind; 0 while none is known.
func (b *MeansByKind) Mean(kind string) time.Duration {
	if known := b.kinds[kind]; known != nil {
		return known.Value()
	}
	return 0
}
