package forwarder

import "github.com/flamingotack/flamingotack/internal/director"

const (
	// maxTreeDepth bounds the depth to which calls of calls are followed.
	maxTreeDepth = 32
	// leastRuns is the number of runs of a route, over all nodes, below which
	// nothing is known of its calls.
	leastRuns = 10
	// leastCalls is the mean number of calls below which a part of a tree is
	// not followed.
	leastCalls = 0.01
)

type (
	// branch is one step of a tree: calls of a route to a service.
	branch struct {
		route, service string
	}

	// need is how much a tree has of a branch.
	need struct {
		// calls is the mean number of calls.
		calls float64
		// part is the part of the trees that make any such call, at least.
		part float64
	}
)

// Leaf reports whether runs of a route are known to make no calls.
func (f *Forwarder) IsLeafRoute(route string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	fans := f.meanFans(route)
	if fans == nil {
		return false
	}
	for _, n := range fans {
		if n >= leastCalls {
			return false
		}
	}
	return true
}

// meanFans returns the mean number of calls that a run of a route makes, by
// route, over the runs of all nodes; none while too few have run. The caller
// holds the lock.
func (f *Forwarder) meanFans(route string) map[string]float64 {
	mean := map[string]float64{}
	runs := 0.0
	for _, m := range f.fans {
		fans := m[route]
		runs += fans.Runs
		for called, n := range fans.Calls {
			mean[called] += n * fans.Runs
		}
	}
	if runs < leastRuns {
		return nil
	}
	for called := range mean {
		mean[called] /= runs
	}
	return mean
}

// tree returns the calls that a call of a route to a service brings, itself
// included. The result is kept until the fans or the routes change and is
// not changed. The caller holds the lock.
func (f *Forwarder) tree(route, service string) map[branch]need {
	root := branch{route, service}
	if known := f.trees[root]; known != nil {
		return known
	}
	total := map[branch]need{}
	f.addTree(total, root, need{calls: 1, part: 1}, maxTreeDepth)
	f.trees[root] = total
	return total
}

func (f *Forwarder) addTree(total map[branch]need, b branch, n need, depth int) {
	known := total[b]
	total[b] = need{calls: known.calls + n.calls, part: max(known.part, n.part)}
	if depth == 0 || n.calls < leastCalls {
		return
	}
	for called, fan := range f.meanFans(b.route) {
		route := f.Table().RouteByName(called)
		if route == nil {
			continue
		}
		for _, p := range shares(route) {
			below := need{calls: n.calls * fan * p.Weight, part: n.part * min(fan, 1) * p.Weight}
			f.addTree(total, branch{called, p.Service}, below, depth-1)
		}
	}
}

// shares returns the parts of a route with weights that add up to 1.
func shares(r *director.Route) []director.WeightedService {
	total := 0.0
	for _, p := range r.WeightedServices {
		total += p.Weight
	}
	parts := make([]director.WeightedService, len(r.WeightedServices))
	for i, p := range r.WeightedServices {
		parts[i] = director.WeightedService{Service: p.Service, Weight: p.Weight / total}
	}
	return parts
}
