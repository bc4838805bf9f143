// Package gauger tracks how fast work runs on a backend server: the speed of the server
// itself, learned from its runs, and the momentary state of its instance, as the server
// reports it. A report that does not agree with measured run times loses its weight. The
// package reads no clock and does no input or output.
package gauger

import (
	"math"
	"time"
)

const (
	// speedDecayTime is the time in which the weight of earlier runs falls to 1/e in the
	// mean time of a run and in the usual time of a route. It is long compared with the
	// slow phases of an instance (about 600 ms), so that they average out.
	speedDecayTime = 8 * time.Second
	// residualDecayTime is the same for the differences between reported and measured
	// times. It spans several slow phases, so that runs that began in one phase and ended
	// in the next one do not count as disagreement.
	residualDecayTime = time.Second
	// levelDecayTime is the same for the measured level of the run times.
	levelDecayTime = 300 * time.Millisecond
	// minResidualRuns is the decayed number of runs from which a disagreement counts. The
	// mean of so many runs whose times vary by their own size is within 30 %.
	minResidualRuns = 10
	// toleratedResidual is the mean difference, as a natural logarithm, up to which a
	// report has its full weight, and maxResidual that from which it has none: factors of
	// 1.35 and 2.
	toleratedResidual = 0.3
	maxResidual       = 0.7
	// distrustWeight is the weight below which a report counts as false.
	distrustWeight = 0.5
	// frozenTime is the time from which a figure that has not changed and does not agree
	// counts as frozen.
	frozenTime = 2 * time.Second
	// maxRoutes bounds the number of routes with their own usual time.
	maxRoutes = 1024
	// maxLevelFactor bounds the measured level as a factor of the usual time.
	maxLevelFactor = 10
	fullPercent    = 100
)

// Judgements of the reported work figure.
const (
	// JudgementAgrees says that the figure agrees with measured run times, or that too few
	// runs are known.
	JudgementAgrees Judgement = iota
	// JudgementFalse says that the figure contradicts measured run times.
	JudgementFalse
	// JudgementFrozen says the same of a figure that has not changed for frozenTime.
	JudgementFrozen
)

type (
	// Gauger keeps the newest figures of a backend server and what its runs have shown. The
	// zero value is ready to use. It is not safe for concurrent use.
	Gauger struct {
		// figures are the newest figures, received at figuresAt. figuresAt is zero before
		// the first ones.
		figures   Figures
		figuresAt time.Time
		// workAt is when figures with WorkPercent were received last, and workChangedAt
		// when WorkPercent changed last.
		workPercent           int
		workAt, workChangedAt time.Time

		// ownTime is the mean time of a run, divided by the believed slowdown.
		ownTime decayingMean
		// routes holds the same mean by route.
		routes map[string]*decayingMean
		// residual is the mean of the logarithm of measured over reported times.
		residual decayingMean
		// level is the mean of measured over usual times.
		level decayingMean
	}

	// Judgement says how far the reported work figure agrees with measured run times.
	Judgement int

	// Estimate describes the speed of a backend server.
	Estimate struct {
		// WorkPercent is the believed time that work takes, in percent of the usual time;
		// 0 if the server does not report it. Age is the age of the report.
		WorkPercent int
		Age         time.Duration
		// OwnTime is the mean time of a run without its calls at the usual speed of the
		// instance; 0 before the first run.
		OwnTime time.Duration
		// Waiting is the number of requests that wait at the server.
		Waiting int
	}

	// decayingMean is a mean whose weights decay with age.
	decayingMean struct {
		sum, weight float64
		updatedAt   time.Time
	}
)

// Observe records figures that the server has just reported.
func (g *Gauger) Observe(now time.Time, f Figures) {
	g.figures, g.figuresAt = f, now
	if f.WorkPercent == 0 {
		return
	}
	if f.WorkPercent != g.workPercent || g.workAt.IsZero() {
		g.workChangedAt = now
	}
	g.workPercent, g.workAt = f.WorkPercent, now
}

// RecordRun records a run of a route that has just ended with success. ownTime is its time
// without the calls that it made.
func (g *Gauger) RecordRun(now time.Time, route string, ownTime time.Duration) {
	if ownTime <= 0 || g.workAt.IsZero() {
		return
	}
	seconds := ownTime.Seconds()
	usual := g.route(route)
	if usual.weight > 0 {
		ratio := min(max(seconds/usual.mean(), 1.0/maxLevelFactor), maxLevelFactor)
		g.level.add(now, levelDecayTime, ratio)
		// The mean of the ratios and not of their logarithms is compared, as the latter
		// lies below 0 for times that vary.
		g.residual.add(now, residualDecayTime, ratio/(float64(g.workPercent)/fullPercent))
	}
	slowdown := float64(g.believedPercent()) / fullPercent
	g.ownTime.add(now, speedDecayTime, seconds/slowdown)
	usual.add(now, speedDecayTime, seconds/slowdown)
}

// Restart forgets what belongs to a former incarnation of the server.
func (g *Gauger) Restart() {
	*g = Gauger{}
}

// Estimate returns what is known at now.
func (g *Gauger) Estimate(now time.Time) (e Estimate) {
	if g.workAt.IsZero() {
		return Estimate{}
	}
	return Estimate{
		WorkPercent: g.believedPercent(),
		Age:         max(0, now.Sub(g.workAt)),
		OwnTime:     time.Duration(g.ownTime.mean() * float64(time.Second)),
		Waiting:     g.figures.Waiting,
	}
}

// ReportedPercent returns the work figure as reported last; 0 if there is none.
func (g *Gauger) ReportedPercent() int {
	return g.workPercent
}

// MeasuredPercent returns the measured time of the latest runs in percent of the usual time;
// 0 before the first runs.
func (g *Gauger) MeasuredPercent() int {
	return int(math.Round(fullPercent * g.level.mean()))
}

// Judge returns how far the work figure agrees with measured run times.
func (g *Gauger) Judge(now time.Time) Judgement {
	switch {
	case g.weight() >= distrustWeight:
		return JudgementAgrees
	case now.Sub(g.workChangedAt) >= frozenTime:
		return JudgementFrozen
	default:
		return JudgementFalse
	}
}

// believedPercent returns the reported figure, moved toward the measured level by as much as
// it disagrees with measured run times.
func (g *Gauger) believedPercent() int {
	weight := g.weight()
	if weight == 1 {
		return g.workPercent
	}
	believed := weight*float64(g.workPercent) + (1-weight)*fullPercent*g.level.mean()
	return min(max(int(math.Round(believed)), minWorkPercent), maxWorkPercent)
}

// weight returns the weight of the reported figure, from 0 to 1.
func (g *Gauger) weight() float64 {
	if g.residual.weight < minResidualRuns {
		return 1
	}
	difference := math.Abs(math.Log(max(g.residual.mean(), 1e-3)))
	return min(1, max(0, (maxResidual-difference)/(maxResidual-toleratedResidual)))
}

// route returns the mean of a route; one without values beyond maxRoutes.
func (g *Gauger) route(name string) *decayingMean {
	mean := g.routes[name]
	if mean == nil {
		mean = &decayingMean{}
		if len(g.routes) < maxRoutes {
			if g.routes == nil {
				g.routes = map[string]*decayingMean{}
			}
			g.routes[name] = mean
		}
	}
	return mean
}

// add adds a value. decayTime is the time in which its weight falls to 1/e.
func (m *decayingMean) add(now time.Time, decayTime time.Duration, value float64) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 && m.weight > 0 {
		factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		m.sum *= factor
		m.weight *= factor
	}
	m.sum += value
	m.weight++
	m.updatedAt = now
}

// mean returns the mean; 0 without values.
func (m *decayingMean) mean() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}
