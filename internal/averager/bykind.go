package averager

import "time"

// maxKinds bounds the kinds with a mean of their own.
const maxKinds = 1024

// ByKind keeps the mean of all times and that of each kind. The zero ByKind has
// taken no time.
type ByKind struct {
	all   Mean
	kinds map[string]*Mean
}

// Add takes a time of a kind.
func (b *ByKind) Add(now time.Time, kind string, value time.Duration) {
	b.all.Add(now, value)
	known := b.kinds[kind]
	if known == nil {
		if len(b.kinds) >= maxKinds {
			return
		}
		if b.kinds == nil {
			b.kinds = map[string]*Mean{}
		}
		known = &Mean{}
		b.kinds[kind] = known
	}
	known.Add(now, value)
}

// All returns the mean of all times; 0 before the first one.
func (b *ByKind) All() time.Duration {
	return b.all.Value()
}

// Of returns the mean of a kind; 0 while none is known.
func (b *ByKind) Of(kind string) time.Duration {
	if known := b.kinds[kind]; known != nil {
		return known.Value()
	}
	return 0
}
