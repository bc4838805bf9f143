// Package estimator estimates the fan-out of runs on a backend server: how many calls of
// each kind a run of each kind makes. Calls don't identify the run that makes them, so
// the estimate is a least-squares fit of the numbers of runs and calls in short windows.
// It reads no clock and does no input or output. An Estimator is not safe for concurrent
// use.
package estimator

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/validator"
)

const (
	// windowDecay is the factor by which each new window reduces the weight of all
	// earlier ones.
	windowDecay = 0.97
	// ridgePenalty is the ridge regression penalty, in squared runs. It pulls the
	// estimates towards 0, so that calls which frequent kinds explain are not
	// attributed to rare ones.
	ridgePenalty = 60.0
	// descentPasses is the number of passes of the coordinate descent.
	descentPasses = 40
	// maxRunKinds bounds the number of kinds of runs.
	maxRunKinds = 64
	// minCallsPerRun is the mean number of calls per run below which a kind of call
	// is left out.
	minCallsPerRun = 0.02
	// maxCallsPerRun is the highest number of calls of one kind per run that is accepted
	// from outside.
	maxCallsPerRun = 1e6
)

type (
	// Estimator keeps the normal equations of the least-squares fit. The zero
	// Estimator is ready for use.
	Estimator struct {
		// runProducts holds the decaying sums of products of the numbers of runs
		// of two kinds, runCallProducts those of runs and calls.
		runProducts     map[kindPair]float64
		runCallProducts map[kindPair]float64
		// runs and calls hold the decaying sums of the numbers of runs and calls, by
		// kind.
		runs  map[string]float64
		calls map[string]float64
	}

	// FanOut holds the calls that runs of one kind make.
	FanOut struct {
		// Runs is the number of runs behind the means, with decaying weight.
		Runs float64
		// Calls is the mean number of calls per run, by kind of call.
		Calls map[string]float64
		// ServiceTime is the mean time of a run, in which it occupies a slot; 0 if it
		// is not known. An Estimator does not set it.
		ServiceTime time.Duration
	}

	// kindPair is a kind of run with another kind of run or a kind of call.
	kindPair struct {
		run, other string
	}
)

// Validate returns an error if a number of the fan-out is out of range.
func (f *FanOut) Validate() error {
	err := errors.CombineErrors(validator.Quantity(f.Runs, validator.MaxRate), validator.Quantity(f.ServiceTime.Seconds(), validator.MaxDuration.Seconds()))
	for called, calls := range f.Calls {
		err = errors.CombineErrors(err, errors.Wrapf(validator.Quantity(calls, maxCallsPerRun), "calls of %q", called))
	}
	return errors.Wrap(err, "fan-out")
}

// AddWindow adds the numbers of runs and calls of one window, by kind. It ignores kinds of
// runs beyond maxRunKinds.
func (e *Estimator) AddWindow(runs, calls map[string]float64) {
	if e.runProducts == nil {
		e.runProducts = map[kindPair]float64{}
		e.runCallProducts = map[kindPair]float64{}
		e.runs = map[string]float64{}
		e.calls = map[string]float64{}
	}
	for _, sums := range []map[kindPair]float64{e.runProducts, e.runCallProducts} {
		for p := range sums {
			sums[p] *= windowDecay
		}
	}
	for _, sums := range []map[string]float64{e.runs, e.calls} {
		for kind := range sums {
			sums[kind] *= windowDecay
		}
	}
	for run, n := range runs {
		if _, known := e.runs[run]; !known && len(e.runs) >= maxRunKinds {
			continue
		}
		e.runs[run] += n
		for other, m := range runs {
			e.runProducts[kindPair{run, other}] += n * m
		}
		for call, m := range calls {
			e.runCallProducts[kindPair{run, call}] += n * m
		}
	}
	for call, m := range calls {
		e.calls[call] += m
	}
}

// FanOuts returns the estimated fan-out of each kind of run.
func (e *Estimator) FanOuts() map[string]FanOut {
	fanOuts := make(map[string]FanOut, len(e.runs))
	for run, n := range e.runs {
		fanOuts[run] = FanOut{Runs: n, Calls: map[string]float64{}}
	}
	for call := range e.calls {
		for run, n := range e.solveCallsPerRun(call) {
			if n >= minCallsPerRun {
				fanOuts[run].Calls[call] = n
			}
		}
	}
	return fanOuts
}

// solveCallsPerRun returns the mean number of calls of one kind per run, by kind of run.
// It solves the normal equations by coordinate descent, without negative values, and
// scales the result so that it explains all calls.
func (e *Estimator) solveCallsPerRun(call string) map[string]float64 {
	callsPerRun := make(map[string]float64, len(e.runs))
	for range descentPasses {
		for run := range e.runs {
			residual := e.runCallProducts[kindPair{run, call}]
			for other, n := range callsPerRun {
				if other != run {
					residual -= e.runProducts[kindPair{run, other}] * n
				}
			}
			callsPerRun[run] = max(0, residual/(e.runProducts[kindPair{run, run}]+ridgePenalty))
		}
	}
	explainedCalls := 0.0
	for run, n := range callsPerRun {
		explainedCalls += n * e.runs[run]
	}
	for run := range callsPerRun {
		callsPerRun[run] *= e.calls[call] / max(explainedCalls, 1e-9)
	}
	return callsPerRun
}
