package limiter

import (
	"math"
	"time"
)

const (
	// coldLimitFraction is the fraction of the highest limit that a server gets when
	// it has just started.
	coldLimitFraction = 0.05
	// defaultMaxLimit is the highest limit of a server whose slots are unknown.
	defaultMaxLimit = 1000
	// growthFraction is the fraction by which the limit grows in each minWindow. In a
	// longer window the limit at most doubles.
	growthFraction = 0.1
	// minGrowthBase is the smallest limit from which growth is computed.
	minGrowthBase = 5
	// mildHold is how long the limit does not grow after an overload in which the
	// server delivered at least half of the limit.
	mildHold = 200 * time.Millisecond
	// severeHold is the same time after any other overload or a confirmed trial.
	severeHold = 500 * time.Millisecond
	// collapseHold is how long growth waits just below the limit at which the server
	// last collapsed.
	collapseHold = 2 * time.Second
	// collapseHoldFraction is the fraction of that limit at which growth waits.
	collapseHoldFraction = 0.8
	// trialLatencyRatio is the ratio of latency to normal latency above which a trial
	// starts.
	trialLatencyRatio = 1.75
	// meanResidenceWeight is the weight of a new residence time in the running mean.
	meanResidenceWeight = 0.1
	// maxLatencyClasses bounds the number of classes with their own normal latency.
	maxLatencyClasses = 256
	// minWindow is the shortest window over which outcomes are counted.
	minWindow = 100 * time.Millisecond
	// pauseAfterOverloads is the number of consecutive overloads after which the
	// server gets no requests for a pause.
	pauseAfterOverloads = 3
	// minPause and maxPause bound the pause, which doubles with each further overload.
	minPause = 10 * time.Millisecond
	maxPause = 100 * time.Millisecond
	// initialReferenceSamples is the number of latencies whose mean becomes the first
	// normal latency of a class.
	initialReferenceSamples = 50
	// referenceWindowWeight is the weight of the latencies of a window in the normal
	// latency.
	referenceWindowWeight = 1.0 / 50
	// trialLimitFraction is the fraction of the limit that applies during a trial.
	trialLimitFraction = 0.7
	// maxTrialLatencyFraction is the highest fraction of the latency before a trial
	// that confirms the trial.
	maxTrialLatencyFraction = 0.85
	// minTrialSamples is the number of latencies needed to start or evaluate a trial.
	minTrialSamples = 40
)

type (
	// Adaptive is a Policy that raises the limit by a tenth every 100 ms while the
	// server keeps up, and cuts it at once on an overload.
	//
	// An overload with n requests running cuts the limit below n. At the end of
	// the window the limit settles on the concurrency that the server has
	// delivered: by Little's law, the time spent in whole answers divided by the
	// length of the window, as BBR does for a path (Cardwell et al.,
	// "BBR: Congestion-Based Congestion Control", 2016). So an occasional error
	// costs little, and a server that has collapsed restarts from the cold limit.
	// Growth then waits for a while, and again just below the limit at which the
	// server collapsed. A server that only fails gets a short pause between two
	// requests.
	//
	// Latency well above its long-term mean starts a trial: the limit is cut by
	// about a third. If the latency falls, too many requests ran and the lower
	// limit stays. Otherwise the server itself has become slower: the previous
	// limit is restored and the latency becomes the new normal latency.
	Adaptive struct {
		// MaxLimit is the highest limit; 0 means 1000.
		MaxLimit int

		// limit is in requests, as are collapseLimit and the limits of trial and
		// window.
		limit float64
		// meanResidence is the running mean of the residence times of successes.
		meanResidence time.Duration
		// references holds the normal latency of each class, divided by latencyScale.
		// latencyScale is the factor by which trials have found the server itself to
		// be slower.
		references   map[string]*latencyReference
		latencyScale float64
		// previousSuccesses is the number of successes in the previous window.
		previousSuccesses int
		// holdUntil is the time until which the limit does not grow.
		holdUntil time.Time
		// collapseLimit is the limit at which the server last collapsed; 0 if growth
		// need not wait below it.
		collapseLimit  float64
		overloadStreak int
		pauseDuration  time.Duration
		pausedUntil    time.Time
		lastSuccess    time.Time
		trial          trial
		window         window
	}

	// latencyReference is the normal latency of a class.
	latencyReference struct {
		sampleCount     int
		meanNanoseconds float64
	}

	// trial is the test whether a lower limit lowers the latency. windowCount is 0
	// while no trial runs.
	trial struct {
		previousLimit float64
		// latencyRatio is the mean ratio of latency to normal latency in the window
		// that started the trial.
		latencyRatio float64
		windowCount  int
	}

	// window counts the outcomes since start.
	window struct {
		start time.Time
		// open is false until the first outcome, and again after a reset.
		open       bool
		startLimit float64
		// residenceTime is the sum of the residence times of the successes.
		residenceTime time.Duration
		overloads     int
		// peakRunning is the highest number of running requests at any outcome.
		peakRunning int
		// latencyRatioSum is the sum of the ratios of latency to normal latency of
		// the successes.
		latencyRatioSum float64
		successes       int
	}
)

// Limit returns the current limit, or 0 during a pause.
func (a *Adaptive) Limit(now time.Time) int {
	a.initialize()
	if now.Before(a.pausedUntil) {
		return 0
	}
	return int(a.limit)
}

// Observe counts the outcome, cuts the limit after an overload and may raise it at
// the end of a window without one.
func (a *Adaptive) Observe(now time.Time, s Sample) {
	a.initialize()
	if !a.window.open {
		a.window = window{start: now, open: true, startLimit: a.limit}
	}
	a.window.peakRunning = max(a.window.peakRunning, s.Running)
	switch s.Outcome {
	case OutcomeSuccess:
		a.recordSuccess(now, s)
	case OutcomeOverload:
		a.recordOverload(now, s)
	case OutcomeIgnored:
	}
	if now.Sub(a.window.start) >= max(minWindow, a.meanResidence) {
		a.endWindow(now)
	}
}

// Reset returns to the cold limit and keeps the learned latencies.
func (a *Adaptive) Reset(time.Time) {
	a.initialize()
	a.limit = a.coldLimit()
	a.holdUntil = time.Time{}
	a.collapseLimit = 0
	a.pausedUntil = time.Time{}
	a.trial = trial{}
	a.window = window{}
}

func (a *Adaptive) maxLimit() float64 {
	if a.MaxLimit <= 0 {
		return defaultMaxLimit
	}
	return float64(a.MaxLimit)
}

func (a *Adaptive) coldLimit() float64 {
	return max(1, math.Floor(a.maxLimit()*coldLimitFraction))
}

// settleAfterOverload sets the limit after a window with overloads.
func (a *Adaptive) settleAfterOverload(now time.Time) {
	w := a.window
	delivered := float64(w.residenceTime) / float64(now.Sub(w.start))
	a.limit = min(w.startLimit, max(a.limit, delivered))
	a.holdUntil = now.Add(mildHold)
	if delivered < w.startLimit/2 {
		a.limit = max(a.limit, a.restartLimit(w.startLimit))
		if w.successes > 0 {
			a.collapseLimit = w.startLimit
		}
		a.holdUntil = now.Add(severeHold)
	}
	a.trial = trial{}
}

// grow raises the limit if it was at least half used, by at most the number of
// successes in the window.
func (a *Adaptive) grow(now time.Time) {
	w := a.window
	if float64(w.peakRunning) < a.limit/2 || w.successes == 0 {
		return
	}
	factor := math.Pow(1+growthFraction, float64(now.Sub(w.start))/float64(minWindow))
	step := min(factor-1, 1) * max(a.limit, a.coldLimit(), minGrowthBase)
	step = min(step, float64(w.successes))
	if a.limit < a.collapseLimit && a.limit+step > a.collapseLimit*collapseHoldFraction {
		a.collapseLimit = 0
		a.holdUntil = now.Add(collapseHold)
		return
	}
	a.limit = min(a.limit+step, a.maxLimit())
}

// endWindow adjusts the limit and starts a new window, unless a trial needs more
// samples.
func (a *Adaptive) endWindow(now time.Time) {
	w := a.window
	a.previousSuccesses = w.successes
	switch {
	case w.overloads > 0:
		a.settleAfterOverload(now)
	case a.trial.windowCount > 0:
		if !a.evaluateTrial(now) {
			return
		}
	case w.successes >= minTrialSamples && w.meanLatencyRatio() > trialLatencyRatio && float64(w.peakRunning) >= a.limit-1 && a.limit >= 2:
		a.trial = trial{previousLimit: a.limit, latencyRatio: w.meanLatencyRatio(), windowCount: 1}
		a.limit *= trialLimitFraction
	case now.Before(a.holdUntil):
	default:
		a.grow(now)
	}
	a.window = window{start: now, open: true, startLimit: a.limit}
}

// evaluateTrial ends a trial after its second window, when the requests that started
// before the trial have ended. It reports whether the window ends: a window with too few
// samples continues for up to ten times its normal length.
func (a *Adaptive) evaluateTrial(now time.Time) bool {
	if a.trial.windowCount == 1 {
		a.trial.windowCount++
		return true
	}
	if a.window.successes < minTrialSamples {
		return now.Sub(a.window.start) > 10*max(minWindow, a.meanResidence)
	}
	ratio := a.window.meanLatencyRatio()
	if ratio > maxTrialLatencyFraction*a.trial.latencyRatio {
		a.limit = a.trial.previousLimit
		a.latencyScale *= ratio
	} else {
		a.holdUntil = now.Add(severeHold)
	}
	a.trial = trial{}
	return true
}

func (a *Adaptive) recordOverload(now time.Time, s Sample) {
	a.window.overloads++
	a.overloadStreak++
	a.limit = max(1, min(a.limit, float64(s.Running-1)))
	if a.overloadStreak >= pauseAfterOverloads && now.Sub(a.lastSuccess) > a.meanResidence {
		a.pauseDuration = min(max(2*a.pauseDuration, minPause), maxPause)
		a.pausedUntil = now.Add(a.pauseDuration)
	}
}

func (a *Adaptive) initialize() {
	if a.limit != 0 {
		return
	}
	a.limit = a.coldLimit()
	a.references = map[string]*latencyReference{}
	a.latencyScale = 1
}

// latencyRatio returns latency divided by the normal latency of its class and updates
// the latter, except during a trial.
func (a *Adaptive) latencyRatio(class string, latency time.Duration) float64 {
	r, found := a.references[class]
	if !found {
		if len(a.references) >= maxLatencyClasses {
			return 1
		}
		r = &latencyReference{}
		a.references[class] = r
	}
	scaledNanoseconds := float64(latency) / a.latencyScale
	r.sampleCount++
	if r.sampleCount <= initialReferenceSamples {
		r.meanNanoseconds += (scaledNanoseconds - r.meanNanoseconds) / float64(r.sampleCount)
		return 1
	}
	ratio := scaledNanoseconds / max(1, r.meanNanoseconds)
	if a.trial.windowCount > 0 {
		return ratio
	}
	r.meanNanoseconds += referenceWindowWeight / float64(max(1, a.previousSuccesses)) * (scaledNanoseconds - r.meanNanoseconds)
	return ratio
}

// restartLimit returns the limit after the server collapsed at the limit collapsed.
func (a *Adaptive) restartLimit(collapsed float64) float64 {
	if collapsed > a.coldLimit() {
		return a.coldLimit()
	}
	return max(1, collapsed/2)
}

func (a *Adaptive) recordSuccess(now time.Time, s Sample) {
	a.meanResidence += time.Duration(meanResidenceWeight * float64(s.ResidenceTime-a.meanResidence))
	a.overloadStreak = 0
	a.pauseDuration = 0
	a.lastSuccess = now
	a.window.successes++
	a.window.residenceTime += s.ResidenceTime
	a.window.latencyRatioSum += a.latencyRatio(s.LatencyClass, s.Latency)
}

func (w *window) meanLatencyRatio() float64 {
	return w.latencyRatioSum / float64(max(1, w.successes))
}
