package promoter

import (
	"math"
	"slices"
	"time"
)

// Quota returns the number of runs that each node of the target version may have had since the
// order, so that all of them have at most limit. started holds the numbers that the nodes
// already had; a node above the quota starts no further runs. One quota for all nodes can be
// relayed to nodes that the deciding node has no link to.
func Quota(limit uint64, started []uint64) uint64 {
	if limit == math.MaxUint64 || len(started) == 0 {
		return limit
	}
	highest := slices.Clone(started)
	slices.Sort(highest)
	slices.Reverse(highest)
	left := limit
	for i, runs := range highest {
		quota := left / uint64(len(highest)-i)
		if quota >= runs {
			return quota
		}
		// The node has more than its part, so the others share the rest.
		left -= min(left, runs)
	}
	return 0
}

// quotaUsed reports whether the nodes of the target version that get calls have used their quota of
// a limit. Nodes that get none would keep the rest of the limit for long, while calls to the others
// are refused.
func (p *Promoter) quotaUsed(now time.Time, limit uint64) bool {
	var started []uint64
	for key, n := range p.nodes {
		if key.version == p.order.TargetVersion {
			started = append(started, n.report.Started)
		}
	}
	quota, used := Quota(limit, started), false
	for key, n := range p.nodes {
		switch {
		case key.version != p.order.TargetVersion:
		case n.report.Started >= quota:
			used = true
		case now.Sub(n.startedAt) <= freshTime:
			return false
		}
	}
	return used
}
