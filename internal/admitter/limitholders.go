package admitter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/rationer"
)

const (
	// minHolderBurst is the least burst, in requests, that each holder should have.
	// Fractions of a request are of little use.
	minHolderBurst = 4
	// minWholeTokenBurst is the least burst per holder, in requests, with which
	// holders grant whole tokens.
	minWholeTokenBurst = 2
)

// limitHolders are the delegates that hold equal shares of one limit.
type limitHolders struct {
	limit            rationer.Limit
	delegatesVersion uint64
	// shareCount is the number of holders; 0 if this node is not one of them, or does not
	// know whether there are others.
	shareCount int
	// wholeTokens says that the holders grant whole tokens only.
	wholeTokens bool
	// sameDomain and otherDomains are the reachable other holders, in this node's
	// failure domain and in the other ones. If none is reachable, sameDomain holds the
	// reachable delegates in this node's failure domain, which borrow from the holders
	// in the other ones.
	sameDomain, otherDomains []string
}

// newLimitHolders chooses as many holders as leave each a burst of minHolderBurst, and
// at least one in each failure domain.
func newLimitHolders(key string, limit rationer.Limit, d *linker.DelegateView) *limitHolders {
	h := &limitHolders{limit: limit, delegatesVersion: d.Version}
	perDomain := max(1, int(math.Round(limit.BurstRequests/minHolderBurst/float64(max(1, len(d.NamesByDomain))))))
	included, count := false, 0
	for domain, names := range d.ForKey(key, perDomain) {
		count += len(names)
		for _, n := range names {
			switch {
			case n == d.LocalNode.Name:
				included = true
			case !d.Connected[n]:
			case domain == d.LocalNode.Domain:
				h.sameDomain = append(h.sameDomain, n)
			default:
				h.otherDomains = append(h.otherDomains, n)
			}
		}
	}
	if included && !d.Incomplete {
		h.shareCount = count
	} else if len(h.sameDomain)+len(h.otherDomains) == 0 {
		h.sameDomain = connectedInDomain(d)
	}
	h.wholeTokens = limit.BurstRequests >= minWholeTokenBurst*float64(count)
	return h
}

// connectedInDomain returns the reachable delegates in the local node's failure domain.
func connectedInDomain(d *linker.DelegateView) (names []string) {
	for _, n := range d.NamesByDomain[d.LocalNode.Domain] {
		if d.Connected[n] {
			names = append(names, n)
		}
	}
	return names
}

// holdersOf returns the holders of a limit and recomputes them if the limit or the
// delegates changed. The caller holds the lock.
func (l *DistributedRateLimiter) holdersOf(key string, limit rationer.Limit, d *linker.DelegateView) *limitHolders {
	h := l.holders[key]
	if h == nil || h.delegatesVersion != d.Version || h.limit != limit {
		h = newLimitHolders(key, limit, d)
		l.holders[key] = h
	}
	return h
}

// rankHolders returns the reachable holders by their last grant, the largest first.
// Holders in this node's failure domain go first among equals, and the order is
// otherwise random. A holder that was never asked counts as one that granted a whole
// token. The caller holds the lock.
func (l *DistributedRateLimiter) rankHolders(key string, h *limitHolders) []string {
	names := slices.Concat(h.sameDomain, h.otherDomains)
	shuffle(names[:len(h.sameDomain)])
	shuffle(names[len(h.sameDomain):])
	lastGrant := func(node string) int64 {
		if milliTokens, asked := l.lastGrantMilliTokens[grantKey{key, node}]; asked {
			return milliTokens
		}
		return milliPerToken
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(lastGrant(b), lastGrant(a)) })
	return names
}

func shuffle(names []string) {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
