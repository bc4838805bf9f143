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
	Near = 8
	// Linked is the number of usable nodes of each service to which a node keeps
	// links, if there are as many.
	Linked = 16
	// Most is the number of nodes of each service to which a node keeps links while
	// it looks for usable ones.
	Most = 32
)

type (
	// Node is what a choice needs to know of a node.
	Node struct {
		// Name is unique among the nodes.
		Name string
		// Service is that of the node's backend server, Domain its failure domain.
		Service, Domain string
	}

	// place is a node at its place on the ring of all nodes.
	place struct {
		Node
		hash uint64
	}

	// rings are the nodes of one service by failure domain, in the order of the
	// common ring.
	rings map[string][]string
)

// Orders returns for each service the names of its nodes in the order in which self
// links to them. nodes are all of them; self may be missing.
func Orders(self Node, nodes []Node) map[string][]string {
	places := ring(self, nodes)
	services := map[string]rings{}
	near, all := position{}, position{}
	for _, p := range places {
		if services[p.Service] == nil {
			services[p.Service] = rings{}
		}
		services[p.Service][p.Domain] = append(services[p.Service][p.Domain], p.Name)
		all.count(p.Name == self.Name)
		if p.Domain == self.Domain {
			near.count(p.Name == self.Name)
		}
	}
	orders := make(map[string][]string, len(services))
	for service, r := range services {
		orders[service] = r.order(self.Domain, near, all)
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

// ring returns all nodes in the order of their hashes.
func ring(self Node, nodes []Node) []place {
	places := make([]place, 0, len(nodes)+1)
	known := false
	for _, n := range nodes {
		known = known || n.Name == self.Name
		places = append(places, place{n, xxh3.HashString(n.Name)})
	}
	if !known {
		places = append(places, place{self, xxh3.HashString(self.Name)})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	return places
}

// order returns the names of all nodes: the first ones of the own failure domain,
// then one of each domain in turn.
func (r rings) order(domain string, near, all position) (names []string) {
	own := near.rotate(r[domain])
	first := min(Near, len(own))
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
