package forwarder

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
)

const (
	// maxTreeDepth bounds the depth to which nested calls are followed.
	maxTreeDepth = 32
	// minRuns is the number of runs of a route, over all nodes, below which its
	// fan-out counts as unknown.
	minRuns = 10
	// minMeanCalls is the mean number of calls below which a subtree is not
	// followed.
	minMeanCalls = 0.01
)

type (
	// callEdge identifies the calls in a call tree that match a route and go to a
	// service.
	callEdge struct {
		route, service string
	}

	// edgeCalls counts the calls of an edge in the call trees of a route.
	edgeCalls struct {
		// mean is the mean number of calls per tree.
		mean float64
		// minFraction is a lower bound of the fraction of trees that make any such
		// call.
		minFraction float64
		// serviceTime is the mean time of a run of the route; 0 if it is not known.
		serviceTime time.Duration
	}
)

// IsLeafRoute reports whether runs of a route are known to make no calls. It is false
// while too few runs are known.
func (f *Forwarder) IsLeafRoute(route string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	fanOut := f.meanFanOut(route)
	if fanOut == nil {
		return false
	}
	for _, n := range fanOut {
		if n >= minMeanCalls {
			return false
		}
	}
	return true
}

// meanFanOut returns the mean number of calls that a run of a route makes, by called
// route, over the runs of all nodes. It returns nil while fewer than minRuns are known.
// The caller must hold f.mu.
func (f *Forwarder) meanFanOut(route string) map[string]float64 {
	mean := map[string]float64{}
	runs := 0.0
	for _, m := range f.fanOuts {
		fanOut := m[route]
		runs += fanOut.Runs
		for called, n := range fanOut.Calls {
			mean[called] += n * fanOut.Runs
		}
	}
	if runs < minRuns {
		return nil
	}
	for called := range mean {
		mean[called] /= runs
	}
	return mean
}

// meanServiceTime returns the mean time of a run of a route over the runs of all nodes; 0 if
// it is not known. The caller must hold f.mu.
func (f *Forwarder) meanServiceTime(route string) time.Duration {
	seconds, runs := 0.0, 0.0
	for _, m := range f.fanOuts {
		if fanOut := m[route]; fanOut.ServiceTime > 0 {
			seconds += fanOut.ServiceTime.Seconds() * fanOut.Runs
			runs += fanOut.Runs
		}
	}
	if runs == 0 {
		return 0
	}
	return time.Duration(seconds / runs * float64(time.Second))
}

// callTree returns the calls of the tree that starts with a call that matches a route and
// goes to a service, including that call, by edge. The result is cached until the fan-outs or the routes change and must not be
// modified. The caller must hold f.mu.
func (f *Forwarder) callTree(route, service string) map[callEdge]edgeCalls {
	root := callEdge{route, service}
	if known := f.callTrees[root]; known != nil {
		return known
	}
	total := map[callEdge]edgeCalls{}
	f.addCallTree(total, root, edgeCalls{mean: 1, minFraction: 1}, maxTreeDepth)
	f.callTrees[root] = total
	return total
}

// addCallTree adds the calls of an edge and the calls nested in them to total, down to
// depth more levels.
func (f *Forwarder) addCallTree(total map[callEdge]edgeCalls, edge callEdge, calls edgeCalls, depth int) {
	known := total[edge]
	total[edge] = edgeCalls{
		mean:        known.mean + calls.mean,
		minFraction: max(known.minFraction, calls.minFraction),
		serviceTime: f.meanServiceTime(edge.route),
	}
	if depth == 0 || calls.mean < minMeanCalls {
		return
	}
	for called, perRun := range f.meanFanOut(edge.route) {
		route := f.Table().RouteByName(called)
		if route == nil {
			continue
		}
		for _, s := range normalizeWeights(route) {
			nested := edgeCalls{mean: calls.mean * perRun * s.Weight, minFraction: calls.minFraction * min(perRun, 1) * s.Weight}
			f.addCallTree(total, callEdge{called, s.Service}, nested, depth-1)
		}
	}
}

// normalizeWeights returns the services of a route with weights that add up to 1.
func normalizeWeights(r *director.Route) []director.WeightedService {
	total := 0.0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	normalized := make([]director.WeightedService, len(r.WeightedServices))
	for i, s := range r.WeightedServices {
		normalized[i] = director.WeightedService{Service: s.Service, Weight: s.Weight / total}
	}
	return normalized
}
