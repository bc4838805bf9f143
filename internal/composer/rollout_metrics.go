package composer

import "context"

// rewriteRolloutStatuses writes the statuses of the rollouts that this node decides again.
func (n *Node) rewriteRolloutStatuses(ctx context.Context) error {
	written, err := n.releaser.RewriteStatuses(ctx)
	if err == nil && !written {
		return errNothingToRewrite
	}
	return err
}

// rolloutShare returns the share of the calls of the node's service that goes to the target
// version of a rollout, in percent.
func (n *Node) rolloutShare() int64 {
	share, _, _ := n.releaser.Status()
	return int64(100 * share)
}

// rolloutExposure returns the number of runs on the target version that the node knows of.
func (n *Node) rolloutExposure() int64 {
	_, exposure, _ := n.releaser.Status()
	return int64(exposure)
}

// rolloutState returns the state of the rollout of the node's service as a number.
func (n *Node) rolloutState() int64 {
	_, _, state := n.releaser.Status()
	return state
}
