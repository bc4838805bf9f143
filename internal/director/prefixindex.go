package director

import "slices"

// prefixIndex holds the routes of one host by prefix. The cost of a lookup grows with the
// number of distinct prefix lengths, not with the number of routes.
type prefixIndex struct {
	routes map[string]*Route
	// lengthsDescending holds the distinct lengths of the prefixes.
	lengthsDescending []int
}

// add adds a route. Of two routes with the same prefix it keeps the first one.
func (p *prefixIndex) add(r *Route) {
	if p.routes[r.Prefix] != nil {
		return
	}
	p.routes[r.Prefix] = r
	length := len(r.Prefix)
	at, found := slices.BinarySearchFunc(p.lengthsDescending, length, func(have, want int) int { return want - have })
	if !found {
		p.lengthsDescending = slices.Insert(p.lengthsDescending, at, length)
	}
}

// longestMatch returns the route with the longest matching prefix of a path, or nil if none
// matches.
func (p *prefixIndex) longestMatch(path string) *Route {
	for _, length := range p.lengthsDescending {
		if length > len(path) {
			continue
		}
		if r := p.routes[path[:length]]; r != nil {
			return r
		}
	}
	return nil
}
