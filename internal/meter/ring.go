package meter

import "time"

type (
	// bin holds the counts of one time interval, by series.
	bin struct {
		// index is the number of the interval since the start. A bin whose index
		// is outside the requested window is stale.
		index  int64
		counts []uint64
	}

	// ring is a ring buffer that counts events in bins of equal width. It has no
	// clock: callers pass the time since the start.
	ring struct {
		binWidth time.Duration
		bins     []bin
	}
)

func newRing(binWidth, window time.Duration) *ring {
	return &ring{binWidth: binWidth, bins: make([]bin, window/binWidth)}
}

func (r *ring) add(sinceStart time.Duration, seriesIndex int) {
	index := int64(sinceStart / r.binWidth)
	b := &r.bins[index%int64(len(r.bins))]
	if b.index != index {
		b.index = index
		clear(b.counts)
	}
	if seriesIndex >= len(b.counts) {
		b.counts = append(b.counts, make([]uint64, seriesIndex+1-len(b.counts))...)
	}
	b.counts[seriesIndex]++
}

// sum returns the counts of the first seriesCount series over the bins of
// window, including the current incomplete bin.
func (r *ring) sum(sinceStart, window time.Duration, seriesCount int) []uint64 {
	totals := make([]uint64, seriesCount)
	newest := int64(sinceStart / r.binWidth)
	oldest := newest - int64(window/r.binWidth) + 1
	for _, b := range r.bins {
		if b.index < oldest || b.index > newest {
			continue
		}
		for i, n := range b.counts {
			totals[i] += n
		}
	}
	return totals
}
