package selector

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// targetDelegates is the approximate number of delegates in a deployment. It does
	// not grow with the number of nodes. minDelegatesPerDomain is the minimum number in
	// each failure domain that has as many nodes.
	targetDelegates       = 16
	minDelegatesPerDomain = 2
)

// Delegates holds the names of the nodes that act for all nodes: they hold the shares of
// common quantities, such as customers' rates, and watch the directory.
type Delegates struct {
	// NamesByDomain holds the names of the delegates by failure domain.
	NamesByDomain map[string][]string
	// Count is the number of delegates in all failure domains.
	Count int
}

// Delegates returns the delegates: the first nodes of each failure domain on the ring, so
// that all nodes with the same members choose the same ones.
func (r Ring) Delegates() Delegates {
	d := Delegates{NamesByDomain: map[string][]string{}}
	domains := map[string]struct{}{}
	for _, n := range r {
		domains[n.Domain] = struct{}{}
	}
	perDomain := max(minDelegatesPerDomain, (targetDelegates+len(domains)-1)/len(domains))
	for _, n := range r {
		if len(d.NamesByDomain[n.Domain]) < perDomain {
			d.NamesByDomain[n.Domain] = append(d.NamesByDomain[n.Domain], n.Name)
			d.Count++
		}
	}
	return d
}

// Contains reports whether a node of a failure domain is a delegate.
func (d Delegates) Contains(name, domain string) bool {
	return slices.Contains(d.NamesByDomain[domain], name)
}

// Ranked returns the names of all delegates in the order of their rendezvous hashes with a key.
func (d Delegates) Ranked(key string) (names []string) {
	for _, domain := range d.NamesByDomain {
		names = append(names, domain...)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(key+" "+a), xxh3.HashString(key+" "+b)), cmp.Compare(a, b))
	})
	return names
}

// ForKey returns the names, by failure domain, of the delegates that act for a key such as
// the name of a customer: at most perDomain in each failure domain, chosen by rendezvous
// hashing (Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit Rates", 1998).
func (d Delegates) ForKey(key string, perDomain int) (chosen map[string][]string) {
	chosen = make(map[string][]string, len(d.NamesByDomain))
	for domain, names := range d.NamesByDomain {
		ranked := slices.Clone(names)
		slices.SortFunc(ranked, func(a, b string) int {
			return cmp.Compare(xxh3.HashString(key+" "+a), xxh3.HashString(key+" "+b))
		})
		chosen[domain] = ranked[:min(perDomain, len(ranked))]
	}
	return chosen
}
