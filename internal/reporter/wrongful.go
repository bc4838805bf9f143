package reporter

import (
	"math"
	"slices"

	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// Wrongful returns how many of the refusals for the rate one token bucket for
// all nodes together would have let through, beside all that the nodes did let
// through. The arrivals of all nodes are laid side by side, second by second.
// What a second does not tell counts against the result: it is a lower bound
// as long as the nodes' clocks differ by less than a second.
func WrongfulRefusals(p parser.Customer, nodes []meter.Arrivals) (wrongful uint64) {
	came, refused := align(nodes)
	admitted := make([]uint64, len(came))
	for i := range came {
		admitted[i] = came[i] - min(refused[i], came[i])
		wrong := min(refused[i], leastTokens(p, admitted[:i+1]))
		admitted[i] += wrong
		wrongful += wrong
	}
	return wrongful
}

// leastTokens returns how many tokens the bucket held at least all through the
// last second. A token bucket holds the least, over all earlier times, of the
// burst and the refill since then less what was admitted since. Before the
// first second it may have been empty.
func leastTokens(p parser.Customer, admitted []uint64) uint64 {
	least := math.Inf(1)
	taken := 0.0
	for u := len(admitted) - 1; u >= 0; u-- {
		taken += float64(admitted[u])
		wholeSeconds := max(0, len(admitted)-2-u)
		least = min(least, p.Burst+p.Rate*float64(wholeSeconds)-taken)
	}
	sinceStart := p.Rate*float64(len(admitted)-1) - taken
	return uint64(max(0, min(least, sinceStart)))
}

// align adds up the arrivals of the seconds that all nodes tell of.
func align(nodes []meter.Arrivals) (came, refused []uint64) {
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
	came = make([]uint64, end-first)
	refused = slices.Clone(came)
	for _, n := range nodes {
		for i := range came {
			place := first - n.FirstUnixSecond + int64(i)
			came[i] += uint64(n.Requests[place])
			refused[i] += uint64(n.Refused[place])
		}
	}
	return came, refused
}
