// Package selector decides to which other nodes a node keeps links, so that their
// number does not grow with the number of nodes. Each node lists the nodes of a
// service in an order of its own and links to the first of them that can be used. The
// orders are rotations of common rings, one for each failure domain (the idea of
// deterministic subsets, Beyer et al.: "Site Reliability Engineering", 2016, chapter
// 20), so that every server has nearly as many callers as the others. It knows no
// clock and does no input or output.
package selector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// Near is the number of nodes of a service in the own failure domain that come
	// first in an order. Those that follow are taken from all domains by turns.
	LeadingLocalNodes = 8
	// Linked is the number of usable nodes of each service to which a node keeps
	// links, if there are as many.
	TargetLinksPerService = 16
	// Most is the number of nodes of each service to which a node keeps links while
	// it looks for usable ones.
	MaxLinksPerService = 32
)

type (
	// Node is what a choice needs to know of a node.
	Node struct {
		// Name is unique among the nodes.
		Name string
		// Service is that of the node's backend server, Domain its failure domain.
		Service, Domain string
	}

	// Ring is all nodes in one order that does not depend on who looks: that of the
	// hashes of their names.
	Ring []Node

	// rings are the nodes of one service by failure domain, in the order of the
	// common ring.
	rings map[string][]string
)

// NewRing returns the ring of all nodes.
func NewRing(nodes []Node) Ring {
	hashes := make(map[string]uint64, len(nodes))
	for _, n := range nodes {
		hashes[n.Name] = xxh3.HashString(n.Name)
	}
	ring := slices.Clone(nodes)
	slices.SortFunc(ring, func(a, b Node) int {
		return cmp.Or(cmp.Compare(hashes[a.Name], hashes[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return ring
}

// Orders returns for each service the names of its nodes in the order in which self,
// one of the ring, links to them.
func (r Ring) LinkOrders(self Node) map[string][]string {
	services := map[string]rings{}
	near, all := position{}, position{}
	for _, n := range r {
		if services[n.Service] == nil {
			services[n.Service] = rings{}
		}
		services[n.Service][n.Domain] = append(services[n.Service][n.Domain], n.Name)
		all.count(n.Name == self.Name)
		if n.Domain == self.Domain {
			near.count(n.Name == self.Name)
		}
	}
	orders := make(map[string][]string, len(services))
	for service, domains := range services {
		orders[service] = domains.order(self.Domain, near, all)
	}
	return orders
}

// position is the place of a node among others.
type position struct {
	index, size int
	found       bool
}

// count takes the next one of the others, or the node itself.
func (p *position) count(self bool) {
	p.size++
	if self {
		p.found = true
	}
	if !p.found {
		p.index++
	}
}

// rotate returns the ring from where the position lies on it.
func (p position) rotate(ring []string) []string {
	start := p.index * len(ring) / p.size
	return slices.Concat(ring[start:], ring[:start])
}

// order returns the names of all nodes: the first ones of the own failure domain,
// then one of each domain in turn.
func (r rings) order(domain string, near, all position) (names []string) {
	own := near.rotate(r[domain])
	first := min(LeadingLocalNodes, len(own))
	names = append(names, own[:first]...)
	domains := all.rotate(slices.Sorted(maps.Keys(r)))
	rest := make([][]string, len(domains))
	for i, d := range domains {
		rest[i] = all.rotate(r[d])
		if d == domain {
			rest[i] = own[first:]
		}
	}
	for turn, left := 0, true; left; turn++ {
		left = false
		for _, list := range rest {
			if turn < len(list) {
				names = append(names, list[turn])
				left = true
			}
		}
	}
	return names
}
