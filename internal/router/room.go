package router

import "time"

// HasRoom reports whether the usable ones of the candidates run fewer requests than their limits
// allow together.
func (r *Router) HasRoom(now time.Time, candidates []Candidate) bool {
	limit, load := 0.0, 0.0
	for _, c := range candidates {
		n := r.node(c.Name)
		n.resetIfReplaced(c.Incarnation)
		if n.usable(now) {
			nodeLimit, nodeLoad := n.limitAndLoad(now)
			limit += nodeLimit
			load += min(nodeLoad, nodeLimit)
		}
	}
	return load < limit
}
