package composer

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/forwarder"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// saveCheckInterval is how often a node checks whether its learned state
	// differs from the saved one. minSaveInterval is how long it waits after a
	// save, and after its start, when it has learned little.
	saveCheckInterval = 2 * time.Second
	minSaveInterval   = 20 * time.Second
	saveTimeout       = 2 * time.Second
)

// saveLearnedState saves the learned state in the directory, for nodes that start
// when no running node has it, such as after a power loss. Only the first
// delegate of each failure domain saves.
func (n *Node) saveLearnedState(ctx context.Context) error {
	var saved forwarder.LearnedState
	timekeeper.Sleep(ctx, minSaveInterval)
	for timekeeper.Sleep(ctx, saveCheckInterval) {
		if !n.linker.Delegates().IsFirstInDomain() {
			continue
		}
		state := n.forwarder.LearnedState()
		if len(state.FanOuts) == 0 || !state.DiffersFrom(&saved) || !n.writeLearnedState(ctx, state) {
			continue
		}
		saved = state
		timekeeper.Sleep(ctx, minSaveInterval)
	}
	return nil
}

// writeLearnedState writes the learned state to the directory and reports whether
// that succeeded.
func (n *Node) writeLearnedState(ctx context.Context, state forwarder.LearnedState) (written bool) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := n.settings.Directory.SaveLearnedState(ctx, state); err != nil {
		n.settings.Logger.Warnf("save of learned state with the fan-out of %d routes failed: %v", len(state.FanOuts), err)
		return false
	}
	n.settings.Logger.Infof("learned state saved: fan-out of %d routes, offered load of %d services", len(state.FanOuts), len(state.OfferedSlots))
	return true
}

// rewriteLearnedState writes the learned state again after the directory was restored. Only
// the first delegate of each failure domain writes it.
func (n *Node) rewriteLearnedState(ctx context.Context) error {
	state := n.forwarder.LearnedState()
	if !n.linker.Delegates().IsFirstInDomain() || len(state.FanOuts) == 0 {
		return errNothingToRewrite
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	return n.settings.Directory.SaveLearnedState(ctx, state)
}
