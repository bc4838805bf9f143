package selector

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// delegates is about the number of nodes that act for all, so that it does not
	// grow with the number of nodes, and leastDelegates how many there are in each
	// failure domain, at least.
	delegates      = 16
	leastDelegates = 2
)

// Delegates are the nodes that act for all: they hold the parts of what all nodes
// share, such as customers' rates, and follow the directory.
type Delegates struct {
	// Names are their names, by failure domain.
	NamesByDomain map[string][]string
	// Count is the number of all of them.
	Count int
}

// Delegates chooses the delegates: the first nodes of each failure domain on the ring,
// so that all nodes with the same members choose the same.
func (r Ring) Delegates() Delegates {
	d := Delegates{NamesByDomain: map[string][]string{}}
	domains := map[string]struct{}{}
	for _, p := range r {
		domains[p.Domain] = struct{}{}
	}
	each := max(leastDelegates, (delegates+len(domains)-1)/len(domains))
	for _, p := range r {
		if len(d.NamesByDomain[p.Domain]) < each {
			d.NamesByDomain[p.Domain] = append(d.NamesByDomain[p.Domain], p.Name)
			d.Count++
		}
	}
	return d
}

// Has reports whether a node of a failure domain is one.
func (d Delegates) Contains(name, domain string) bool {
	return slices.Contains(d.NamesByDomain[domain], name)
}

// For returns the delegates that act for one thing, such as a customer: each of every
// failure domain, by rendezvous hashing (Thaler, Ravishankar: "Using Name-Based
// Mappings to Increase Hit Rates", 1998).
func (d Delegates) ForKey(thing string, each int) (chosen map[string][]string) {
	chosen = make(map[string][]string, len(d.NamesByDomain))
	for domain, names := range d.NamesByDomain {
		ranked := slices.Clone(names)
		slices.SortFunc(ranked, func(a, b string) int {
			return cmp.Compare(xxh3.HashString(thing+" "+a), xxh3.HashString(thing+" "+b))
		})
		chosen[domain] = ranked[:min(each, len(ranked))]
	}
	return chosen
}
