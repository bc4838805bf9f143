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
	// holderBurst is the burst that each holder should have at least, in requests, as
	// parts of a request are of little use.
	holderBurst = 4
	// wholeBurst is the burst of a holder from which on it gives whole requests.
	wholeBurst = 2
)

// holders are the delegates that hold one limit in equal parts.
type holders struct {
	limit   rationer.Limit
	version uint64
	// parts is their number; 0 when this node is none of them.
	parts int
	// whole says that they give whole requests.
	whole bool
	// near and far are the others that can be asked now, in the own failure domain
	// and in other ones.
	near, far []string
}

// newHolders chooses as many holders as leave each a burst of holderBurst, and one in
// each failure domain at least.
func newHolders(name string, limit rationer.Limit, d *linker.Delegates) *holders {
	h := &holders{limit: limit, version: d.Version}
	each := max(1, int(math.Round(limit.Burst/holderBurst/float64(max(1, len(d.Names))))))
	self, count := false, 0
	for domain, names := range d.For(name, each) {
		count += len(names)
		for _, n := range names {
			switch {
			case n == d.Node.Name:
				self = true
			case !d.Up[n]:
			case domain == d.Node.Domain:
				h.near = append(h.near, n)
			default:
				h.far = append(h.far, n)
			}
		}
	}
	if self {
		h.parts = count
	}
	h.whole = limit.Burst >= wholeBurst*float64(count)
	return h
}

// holders returns who holds a limit. The caller holds the lock.
func (s *DistributedRateLimiter) holders(name string, limit rationer.Limit, d *linker.Delegates) *holders {
	h := s.held[name]
	if h == nil || h.version != d.Version || h.limit != limit {
		h = newHolders(name, limit, d)
		s.held[name] = h
	}
	return h
}

// order returns the holders to ask, those first that gave most last time, then the
// nearer ones. Nodes that were never asked count as full. The caller holds the lock.
func (s *DistributedRateLimiter) order(name string, h *holders) []string {
	names := slices.Concat(h.near, h.far)
	shuffle(names[:len(h.near)])
	shuffle(names[len(h.near):])
	value := func(node string) int64 {
		if given, asked := s.gave[gift{name, node}]; asked {
			return given
		}
		return milli
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(value(b), value(a)) })
	return names
}

func shuffle(names []string) {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
