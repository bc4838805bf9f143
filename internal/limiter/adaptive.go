package limiter

import (
	"math"
	"time"
)

const (
	// coldShare is the part of the highest limit that a starting server gets.
	coldShare = 0.05
	// defaultMax is the highest limit of a server without known slots.
	defaultMax = 1000
	// growth is the part by which the limit rises in each minWindow. It at
	// most doubles in a longer window.
	growth = 0.1
	// growthLeast is the least limit from which the rise is reckoned.
	growthLeast = 5
	// holdMild is how long the limit stays after a fall that left most of
	// the server's work standing.
	holdMild = 200 * time.Millisecond
	// holdSevere is how long the limit stays after any other fall.
	holdSevere = 500 * time.Millisecond
	// holdMark is how long the limit stays short of the one at which the
	// server last fell over.
	holdMark = 2 * time.Second
	// markShare is the part of that limit at which it stays.
	markShare = 0.8
	// inflation is the rise of latency that starts a trial.
	inflation = 1.75
	// latencyGain is the weight of a new latency in the running mean.
	latencyGain = 0.1
	// maxClasses bounds the classes with a latency of their own.
	maxClasses = 256
	// minWindow is the shortest time over which outcomes are counted.
	minWindow = 100 * time.Millisecond
	// pauseAfter is the number of overloads without a success between them
	// after which the server is left alone for a while.
	pauseAfter = 3
	// pauseLeast and pauseMost bound that while.
	pauseLeast = 10 * time.Millisecond
	pauseMost  = 100 * time.Millisecond
	// referenceFirst is the number of latencies whose mean is the first
	// reference.
	referenceFirst = 50
	// referenceGain is the weight of a window's latencies in the reference.
	referenceGain = 1.0 / 50
	// trialCut is the part of the limit that stays in a trial.
	trialCut = 0.7
	// trialGain is the fall of latency that proves a trial right.
	trialGain = 0.85
	// trialSamples is the number of latencies that judge a trial.
	trialSamples = 40
)

type (
	// Adaptive raises the limit by a tenth each 100 ms while the server
	// keeps up, and cuts it at once when the server meets an overload.
	//
	// An overload with n requests running cuts the limit below n. At the end
	// of the window the limit settles on the concurrency that the server
	// has delivered, by Little's law the time spent in whole answers over
	// the length of the window, as BBR does for a path (Cardwell et al.,
	// "BBR: Congestion-Based Congestion Control", 2016). So an error now and
	// then costs little, and a server that fell over starts from the cold
	// limit. Growth then waits for a while, and once more short of the limit at
	// which the server fell over. A server that does nothing but fail is left
	// alone for a short time between two requests.
	//
	// Latency well above its long-term mean starts a trial: the limit is
	// cut by a third. If that lowers the latency, too many requests ran and the
	// limit stays; otherwise the server has become slow by itself, the limit
	// returns and the latency becomes the new normal one.
	Adaptive struct {
		// Max is the highest limit; 0 stands for 1000.
		MaxLimit int

		limit      float64
		mean       time.Duration
		references map[string]*reference
		scale      float64
		last       int
		held       time.Time
		mark       float64
		row        int
		pause      time.Duration
		paused     time.Time
		succeeded  time.Time
		trial      trial
		window     window
	}

	reference struct {
		count   int
		latency float64
	}

	trial struct {
		limit   float64
		ratio   float64
		windows int
	}

	window struct {
		start     time.Time
		open      bool
		before    float64
		busy      time.Duration
		overloads int
		peak      int
		ratio     float64
		successes int
	}
)

// Limit returns the present limit.
func (a *Adaptive) Limit(now time.Time) int {
	a.prepare()
	if now.Before(a.paused) {
		return 0
	}
	return int(a.limit)
}

// Observe counts the outcome, cuts the limit after an overload, and raises it
// at the end of a window without one.
func (a *Adaptive) Observe(now time.Time, s Sample) {
	a.prepare()
	if !a.window.open {
		a.window = window{start: now, open: true, before: a.limit}
	}
	a.window.peak = max(a.window.peak, s.Running)
	switch s.Outcome {
	case OutcomeSuccess:
		a.success(now, s)
	case OutcomeOverload:
		a.overload(now, s)
	case OutcomeIgnored:
	}
	if now.Sub(a.window.start) >= max(minWindow, a.mean) {
		a.move(now)
	}
}

// Reset starts over from the cold limit and keeps the latencies learned.
func (a *Adaptive) Reset(time.Time) {
	a.prepare()
	a.limit = a.cold()
	a.held = time.Time{}
	a.mark = 0
	a.paused = time.Time{}
	a.trial = trial{}
	a.window = window{}
}

func (a *Adaptive) ceiling() float64 {
	if a.MaxLimit <= 0 {
		return defaultMax
	}
	return float64(a.MaxLimit)
}

func (a *Adaptive) cold() float64 {
	return max(1, math.Floor(a.ceiling()*coldShare))
}

// fall settles the limit after a window with overloads.
func (a *Adaptive) fall(now time.Time) {
	w := a.window
	borne := float64(w.busy) / float64(now.Sub(w.start))
	a.limit = min(w.before, max(a.limit, borne))
	a.held = now.Add(holdMild)
	if borne < w.before/2 {
		a.limit = max(a.limit, a.restart(w.before))
		if w.successes > 0 {
			a.mark = w.before
		}
		a.held = now.Add(holdSevere)
	}
	a.trial = trial{}
}

// grow raises a limit that was in use, by no more than the successes that
// proved it.
func (a *Adaptive) grow(now time.Time) {
	w := a.window
	if float64(w.peak) < a.limit/2 || w.successes == 0 {
		return
	}
	factor := math.Pow(1+growth, float64(now.Sub(w.start))/float64(minWindow))
	step := min(factor-1, 1) * max(a.limit, a.cold(), growthLeast)
	step = min(step, float64(w.successes))
	if a.limit < a.mark && a.limit+step > a.mark*markShare {
		a.mark = 0
		a.held = now.Add(holdMark)
		return
	}
	a.limit = min(a.limit+step, a.ceiling())
}

// move ends the window.
func (a *Adaptive) move(now time.Time) {
	w := a.window
	a.last = w.successes
	switch {
	case w.overloads > 0:
		a.fall(now)
	case a.trial.windows > 0:
		if !a.judge(now) {
			return
		}
	case w.successes >= trialSamples && w.mean() > inflation && float64(w.peak) >= a.limit-1 && a.limit >= 2:
		a.trial = trial{limit: a.limit, ratio: w.mean(), windows: 1}
		a.limit *= trialCut
	case now.Before(a.held):
	default:
		a.grow(now)
	}
	a.window = window{start: now, open: true, before: a.limit}
}

// judge ends a trial in its second window, when the requests that started
// before it are gone. It reports false while the window has too few samples.
func (a *Adaptive) judge(now time.Time) bool {
	if a.trial.windows == 1 {
		a.trial.windows++
		return true
	}
	if a.window.successes < trialSamples {
		return now.Sub(a.window.start) > 10*max(minWindow, a.mean)
	}
	ratio := a.window.mean()
	if ratio > trialGain*a.trial.ratio {
		a.limit = a.trial.limit
		a.scale *= ratio
	} else {
		a.held = now.Add(holdSevere)
	}
	a.trial = trial{}
	return true
}

func (a *Adaptive) overload(now time.Time, s Sample) {
	a.window.overloads++
	a.row++
	a.limit = max(1, min(a.limit, float64(s.Running-1)))
	if a.row >= pauseAfter && now.Sub(a.succeeded) > a.mean {
		a.pause = min(max(2*a.pause, pauseLeast), pauseMost)
		a.paused = now.Add(a.pause)
	}
}

func (a *Adaptive) prepare() {
	if a.limit != 0 {
		return
	}
	a.limit = a.cold()
	a.references = map[string]*reference{}
	a.scale = 1
}

// ratio returns latency over the normal one of its class, which it updates.
func (a *Adaptive) ratio(class string, latency time.Duration) float64 {
	r, found := a.references[class]
	if !found {
		if len(a.references) >= maxClasses {
			return 1
		}
		r = &reference{}
		a.references[class] = r
	}
	scaled := float64(latency) / a.scale
	r.count++
	if r.count <= referenceFirst {
		r.latency += (scaled - r.latency) / float64(r.count)
		return 1
	}
	ratio := scaled / max(1, r.latency)
	if a.trial.windows > 0 {
		return ratio
	}
	r.latency += referenceGain / float64(max(1, a.last)) * (scaled - r.latency)
	return ratio
}

// restart returns the limit after the server fell over at a limit of before.
func (a *Adaptive) restart(before float64) float64 {
	if before > a.cold() {
		return a.cold()
	}
	return max(1, before/2)
}

func (a *Adaptive) success(now time.Time, s Sample) {
	a.mean += time.Duration(latencyGain * float64(s.ResidenceTime-a.mean))
	a.row = 0
	a.pause = 0
	a.succeeded = now
	a.window.successes++
	a.window.busy += s.ResidenceTime
	a.window.ratio += a.ratio(s.LatencyClass, s.Latency)
}

func (w *window) mean() float64 {
	return w.ratio / float64(max(1, w.successes))
}
