// Package estimator learns how many calls of which kind a run of each kind makes
// on a backend server. Calls don't tell which run they belong to; the numbers of
// runs and calls in short windows do, by least squares. It knows no clock and
// does no input or output; an Estimator is not safe for concurrent use.
package estimator

const (
	// fade is the weight of a window against the next one.
	fade = 0.97
	// pull is the weight, in squared runs, with which a kind is taken to make no
	// calls, against what the windows say: what frequent kinds explain is not
	// put down to rare ones.
	pull = 60.0
	// sweeps is the number of passes of the coordinate descent.
	sweeps = 40
	// maxKinds bounds the kinds of runs.
	maxKinds = 64
	// least is the mean number of calls below which they are left out.
	least = 0.02
)

type (
	// Estimator keeps the normal equations of the least squares. The zero
	// Estimator is ready for use.
	Estimator struct {
		// products holds the sums of products of the runs of two kinds, and
		// answers those of runs and calls.
		products map[pair]float64
		answers  map[pair]float64
		runs     map[string]float64
		calls    map[string]float64
	}

	// Fans are the calls that the runs of one kind make.
	FanOut struct {
		// Runs is the number of runs that the means rest on, with less weight
		// for what is longer ago.
		Runs float64
		// Calls is the mean number of calls that one run makes, by their kind.
		Calls map[string]float64
	}

	// pair names two kinds.
	pair struct {
		run, other string
	}
)

// Add takes the numbers of runs and of calls in one window, by kind.
func (e *Estimator) AddWindow(runs, calls map[string]float64) {
	if e.products == nil {
		e.products = map[pair]float64{}
		e.answers = map[pair]float64{}
		e.runs = map[string]float64{}
		e.calls = map[string]float64{}
	}
	for _, sums := range []map[pair]float64{e.products, e.answers} {
		for p := range sums {
			sums[p] *= fade
		}
	}
	for _, sums := range []map[string]float64{e.runs, e.calls} {
		for kind := range sums {
			sums[kind] *= fade
		}
	}
	for run, n := range runs {
		if _, known := e.runs[run]; !known && len(e.runs) >= maxKinds {
			continue
		}
		e.runs[run] += n
		for other, m := range runs {
			e.products[pair{run, other}] += n * m
		}
		for call, m := range calls {
			e.answers[pair{run, call}] += n * m
		}
	}
	for call, m := range calls {
		e.calls[call] += m
	}
}

// Fans returns the calls of each kind of run.
func (e *Estimator) FanOuts() map[string]FanOut {
	all := make(map[string]FanOut, len(e.runs))
	for run, n := range e.runs {
		all[run] = FanOut{Runs: n, Calls: map[string]float64{}}
	}
	for call := range e.calls {
		for run, n := range e.solve(call) {
			if n >= least {
				all[run].Calls[call] = n
			}
		}
	}
	return all
}

// solve returns the numbers of calls of one kind, none below zero, by coordinate
// descent. Together they explain all calls.
func (e *Estimator) solve(call string) map[string]float64 {
	found := make(map[string]float64, len(e.runs))
	for range sweeps {
		for run := range e.runs {
			rest := e.answers[pair{run, call}]
			for other, n := range found {
				if other != run {
					rest -= e.products[pair{run, other}] * n
				}
			}
			found[run] = max(0, rest/(e.products[pair{run, run}]+pull))
		}
	}
	explained := 0.0
	for run, n := range found {
		explained += n * e.runs[run]
	}
	for run := range found {
		found[run] *= e.calls[call] / max(explained, 1e-9)
	}
	return found
}
