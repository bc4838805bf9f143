package router

import (
	"math"
	"time"
)

const (
	// slowdownDecayTime is the time in which what a work figure says falls to 1/e. Slow
	// phases of an instance last about 600 ms, so half of those that are reported have
	// ended after 300 ms and all after 600 ms. With 600 ms, simulated calls with reports
	// 500 ms old took longer than without figures if only one server was slow.
	slowdownDecayTime = 400 * time.Millisecond
	// slowdownLearnTime is the same for earlier figures in the learned mean. It spans many
	// slow phases.
	slowdownLearnTime = 15 * time.Second
	// priorSlowdownTime and priorDeviation describe what is assumed of an unknown
	// instance: a slowdown of 1 with that standard deviation, with the weight of that much
	// time.
	priorSlowdownTime = 2 * time.Second
	priorDeviation    = 0.3
	// maxFigureTime bounds the time for which one figure counts in the learned mean.
	maxFigureTime = time.Second
)

// slowdown is what the reported work figures of a node say about its instance. The zero
// slowdown is that of an unknown instance.
type slowdown struct {
	// factor is the newest figure, as a factor of the usual time, and reportedAt its time;
	// zero before the first figure.
	factor     float64
	reportedAt time.Time
	// sum, squares and weight sum the figures, their squares and their weights. The weight
	// of a figure is the time in seconds for which it was the newest, decayed.
	sum, squares, weight float64
	// learned and deviation are the mean of the figures and their standard deviation.
	learned, deviation float64
}

// add adds a figure with its time. Figures that are not newer than the last one are dropped.
func (s *slowdown) add(at time.Time, factor float64) {
	elapsed := at.Sub(s.reportedAt)
	if elapsed <= 0 {
		return
	}
	if s.reportedAt.IsZero() {
		elapsed = maxFigureTime
	}
	decay := math.Exp(-elapsed.Seconds() / slowdownLearnTime.Seconds())
	weight := min(elapsed, maxFigureTime).Seconds()
	s.sum = s.sum*decay + weight*factor
	s.squares = s.squares*decay + weight*factor*factor
	s.weight = s.weight*decay + weight
	s.factor, s.reportedAt = factor, at

	prior := priorSlowdownTime.Seconds()
	total := s.weight + prior
	s.learned = (s.sum + prior) / total
	second := (s.squares + prior*(1+priorDeviation*priorDeviation)) / total
	s.deviation = math.Sqrt(max(0, second-s.learned*s.learned))
}

// estimate returns the expected slowdown at now. It moves from the newest figure to the learned
// mean with the age of the figure. correlation is what is left of the figure's worth, from 1 to
// 0.
func (s *slowdown) estimate(now time.Time) (mean, correlation float64) {
	if s.reportedAt.IsZero() {
		return 1, 0
	}
	correlation = math.Exp(-max(0, now.Sub(s.reportedAt).Seconds()) / slowdownDecayTime.Seconds())
	return s.learned + (s.factor-s.learned)*correlation, correlation
}

// uncertainty returns the standard deviation of an estimate with that correlation.
func (s *slowdown) uncertainty(correlation float64) float64 {
	if s.reportedAt.IsZero() {
		return priorDeviation
	}
	return s.deviation * math.Sqrt(1-correlation*correlation)
}
