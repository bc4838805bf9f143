package reporter

import (
	"math"
	"slices"

	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// WrongfulRefusals returns how many of the refusals for the rate one token bucket
// shared by all nodes would have admitted, in addition to everything that the
// nodes admitted. It sums the arrivals of all nodes by the second. What is unknown
// within a second lowers the result, so it is a lower bound as long as the nodes'
// clocks differ by less than a second.
func WrongfulRefusals(c parser.Customer, nodes []meter.Arrivals) (wrongful uint64) {
	requests, refused := sumCommonSeconds(nodes)
	admitted := make([]uint64, len(requests))
	for i := range requests {
		admitted[i] = requests[i] - min(refused[i], requests[i])
		n := min(refused[i], minTokens(c, admitted[:i+1]))
		admitted[i] += n
		wrongful += n
	}
	return wrongful
}

// minTokens returns a lower bound on the tokens that the bucket held throughout
// the last second. A token bucket holds the minimum, over all earlier times, of
// the burst plus the refill since then minus what was admitted since then. It may
// have been empty before the first second.
func minTokens(c parser.Customer, admitted []uint64) uint64 {
	least := math.Inf(1)
	taken := 0.0
	for i := len(admitted) - 1; i >= 0; i-- {
		taken += float64(admitted[i])
		wholeSeconds := max(0, len(admitted)-2-i)
		least = min(least, c.BurstRequests+c.RatePerSecond*float64(wholeSeconds)-taken)
	}
	sinceStart := c.RatePerSecond*float64(len(admitted)-1) - taken
	return uint64(max(0, min(least, sinceStart)))
}

// sumCommonSeconds sums the arrivals on all nodes by the second, for the seconds
// that all nodes have counted.
func sumCommonSeconds(nodes []meter.Arrivals) (requests, refused []uint64) {
	if len(nodes) == 0 {
		return nil, nil
	}
	first, end := int64(math.MinInt64), int64(math.MaxInt64)
	for _, n := range nodes {
		first = max(first, n.FirstUnixSecond)
		end = min(end, n.FirstUnixSecond+int64(len(n.Requests)))
	}
	if end <= first {
		return nil, nil
	}
	requests = make([]uint64, end-first)
	refused = slices.Clone(requests)
	for _, n := range nodes {
		for i := range requests {
			j := first - n.FirstUnixSecond + int64(i)
			requests[i] += uint64(n.Requests[j])
			refused[i] += uint64(n.Refused[j])
		}
	}
	return requests, refused
}
