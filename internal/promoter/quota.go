package promoter

import (
	"math"
	"slices"
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
