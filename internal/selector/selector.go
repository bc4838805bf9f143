// Package selector decides to which other nodes a node keeps links, so that the number of
// links does not grow with the number of nodes. Each node has its own order of the nodes of
// a service and links to the first usable ones. The orders are rotations of common rings,
// one for each failure domain, so that all backend servers have nearly the same number of
// callers (deterministic subsetting, Beyer et al.: "Site Reliability Engineering", 2016,
// chapter 20). The package uses no clock and does no input or output.
package selector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// LeadingLocalNodes is the number of nodes of a service in the node's own failure
	// domain at the start of a link order. The nodes after them are taken from all
	// failure domains in turn.
	LeadingLocalNodes = 8
	// TargetLinksPerService is the number of usable nodes of each service to which a
	// node keeps links, if there are as many.
	TargetLinksPerService = 16
	// MaxLinksPerService is the maximum number of nodes of each service to which a node
	// keeps links while it looks for usable ones.
	MaxLinksPerService = 32
)

type (
	// Node holds the properties of a node that the choice of links depends on.
	Node struct {
		// Name is unique among the nodes.
		Name string
		// Service is the service of the node's backend server, Domain its failure
		// domain.
		Service, Domain string
	}

	// Ring holds all nodes in the order of the hashes of their names, which is the same
	// on every node.
	Ring []Node

	// domainRings holds the names of the nodes of one service by failure domain, in the
	// order of the common ring.
	domainRings map[string][]string
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

// LinkOrders returns, by service, the names of its nodes in the order in which the node self
// links to them. self must be on the ring.
func (r Ring) LinkOrders(self Node) map[string][]string {
	services := map[string]domainRings{}
	inDomain, overall := position{}, position{}
	for _, n := range r {
		if services[n.Service] == nil {
			services[n.Service] = domainRings{}
		}
		services[n.Service][n.Domain] = append(services[n.Service][n.Domain], n.Name)
		overall.advance(n.Name == self.Name)
		if n.Domain == self.Domain {
			inDomain.advance(n.Name == self.Name)
		}
	}
	orders := make(map[string][]string, len(services))
	for service, domains := range services {
		orders[service] = domains.linkOrder(self.Domain, inDomain, overall)
	}
	return orders
}

// position is the index of a node among size nodes, itself included.
type position struct {
	index, size int
	found       bool
}

// advance counts the next node. self reports whether it is the node whose position is
// sought.
func (p *position) advance(self bool) {
	p.size++
	if self {
		p.found = true
	}
	if !p.found {
		p.index++
	}
}

// rotate returns the ring rotated so that it starts at the proportional position.
func (p position) rotate(ring []string) []string {
	start := p.index * len(ring) / p.size
	return slices.Concat(ring[start:], ring[:start])
}

// linkOrder returns the names of all nodes: the first LeadingLocalNodes of the node's own
// failure domain, then one of each failure domain in turn. inDomain is the node's position in
// its failure domain, overall its position among all nodes.
func (r domainRings) linkOrder(domain string, inDomain, overall position) (names []string) {
	own := inDomain.rotate(r[domain])
	localCount := min(LeadingLocalNodes, len(own))
	names = append(names, own[:localCount]...)
	domains := overall.rotate(slices.Sorted(maps.Keys(r)))
	rest := make([][]string, len(domains))
	for i, d := range domains {
		rest[i] = overall.rotate(r[d])
		if d == domain {
			rest[i] = own[localCount:]
		}
	}
	for turn, remaining := 0, true; remaining; turn++ {
		remaining = false
		for _, list := range rest {
			if turn < len(list) {
				names = append(names, list[turn])
				remaining = true
			}
		}
	}
	return names
}
