package director

import "slices"

// prefixes are the routes of one host by their prefixes. A look-up takes a step for each
// length of a prefix, however many routes there are.
type prefixes struct {
	routes map[string]*Route
	// lengths are those of the prefixes, the longest first.
	lengths []int
}

// add adds a route. Of two with the same prefix the first one stays.
func (p *prefixes) add(r *Route) {
	if p.routes[r.Prefix] != nil {
		return
	}
	p.routes[r.Prefix] = r
	length := len(r.Prefix)
	at, found := slices.BinarySearchFunc(p.lengths, length, func(have, want int) int { return want - have })
	if !found {
		p.lengths = slices.Insert(p.lengths, at, length)
	}
}

// longest returns the route with the longest prefix of a path; nil without one.
func (p *prefixes) longest(path string) *Route {
	for _, length := range p.lengths {
		if length > len(path) {
			continue
		}
		if r := p.routes[path[:length]]; r != nil {
			return r
		}
	}
	return nil
}
