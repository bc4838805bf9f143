package forwarder

import (
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/linker"
)

const (
	// maxTreeDepth bounds the depth to which calls of calls are followed.
	maxTreeDepth = 32
	// leastCalls is the mean number of calls below which a part of a tree is
	// not followed.
	leastCalls = 0.01
)

// branch is one step of a tree: calls of a route to a service.
type branch struct {
	route, service string
}

// meanFans returns the mean number of calls that a run of a route makes, by
// route. The caller holds the lock.
func (f *Forwarder) meanFans(route string) linker.Fans {
	mean := linker.Fans{}
	count := 0.0
	for _, m := range f.fans {
		fans, ran := m[route]
		if !ran {
			continue
		}
		count++
		for called, n := range fans {
			mean[called] += n
		}
	}
	for called := range mean {
		mean[called] /= count
	}
	return mean
}

// tree returns the number of calls that a call of a route to a service brings,
// itself included. The result is kept until the fans or the routes change and is
// not changed. The caller holds the lock.
func (f *Forwarder) tree(route, service string) map[branch]float64 {
	root := branch{route, service}
	if known := f.trees[root]; known != nil {
		return known
	}
	total := map[branch]float64{}
	f.addTree(total, root, 1, maxTreeDepth)
	f.trees[root] = total
	return total
}

func (f *Forwarder) addTree(total map[branch]float64, b branch, times float64, depth int) {
	total[b] += times
	if depth == 0 || times < leastCalls {
		return
	}
	for called, n := range f.meanFans(b.route) {
		route := f.Table().Named(called)
		if route == nil {
			continue
		}
		for _, p := range shares(route) {
			f.addTree(total, branch{called, p.Service}, times*n*p.Weight, depth-1)
		}
	}
}

// shares returns the parts of a route with weights that add up to 1.
func shares(r *director.Route) []director.Part {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	parts := make([]director.Part, len(r.Parts))
	for i, p := range r.Parts {
		parts[i] = director.Part{Service: p.Service, Weight: p.Weight / total}
	}
	return parts
}
