package promoter

import "time"

const (
	// canaryEndFraction is the fraction of the duration after which the share grows. The
	// target version is observed at a small share until then, so that a version that turns
	// bad only after some seconds does so while its share is small. In orders shorter than
	// 6 s it ends growthTime before the deadline, but not before minCanaryEndFraction.
	canaryEndFraction    = 0.6
	minCanaryEndFraction = 0.2
	growthTime           = 2400 * time.Millisecond
	// minCanaryFraction is the fraction of the duration for which warm servers of the target
	// version are observed at a small share, unless latestGrowthFraction of it is reached or
	// less than lateGrowthTime is left.
	minCanaryFraction    = 0.3
	latestGrowthFraction = 0.75
	lateGrowthTime       = 2 * time.Second
	// latestPromotionFraction is the fraction of the duration from which on a step of growth
	// lasts only for its least time, as it does once less than latePromotionTime is left.
	latestPromotionFraction = 0.72
	latePromotionTime       = 1800 * time.Millisecond
	// maxStepFraction is the fraction of the duration that the least time of a step of growth
	// takes at most.
	maxStepFraction = 0.04
	// idleTime is how long the old servers must have been idle. It covers calls that are on
	// their way from nodes whose decision is out of date. In orders shorter than 10 s it is
	// maxIdleFraction of the duration.
	idleTime        = 500 * time.Millisecond
	maxIdleFraction = 0.05
)

// pace holds the times of the phases of a rollout. Those since the order are canaryEnd,
// latestGrowth and latestPromotion.
type pace struct {
	canaryEnd, minCanaryTime, latestGrowth, latestPromotion time.Duration
	// maxStepTime bounds the least time of a step of growth.
	maxStepTime, idleTime time.Duration
}

// newPace returns the times for an order of a duration. The steps of growth, the time for which
// old servers are idle, reports and decisions take about 2 s whatever the duration.
func newPace(duration time.Duration) pace {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(duration)) }
	canaryEnd := max(part(minCanaryEndFraction), min(part(canaryEndFraction), duration-growthTime))
	return pace{
		canaryEnd:       canaryEnd,
		minCanaryTime:   part(minCanaryFraction),
		latestGrowth:    max(canaryEnd, min(part(latestGrowthFraction), duration-lateGrowthTime)),
		latestPromotion: max(canaryEnd, min(part(latestPromotionFraction), duration-latePromotionTime)),
		maxStepTime:     part(maxStepFraction),
		idleTime:        min(idleTime, part(maxIdleFraction)),
	}
}
