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
	var saved forwarder.Memory
	timekeeper.Sleep(ctx, minSaveInterval)
	for timekeeper.Sleep(ctx, saveCheckInterval) {
		if !n.linker.Delegates().First() {
			continue
		}
		state := n.forwarder.Memory()
		if len(state.Fans) == 0 || !state.Differs(&saved) || !n.writeLearnedState(ctx, state) {
			continue
		}
		saved = state
		timekeeper.Sleep(ctx, minSaveInterval)
	}
	return nil
}

// writeLearnedState writes the learned state to the directory and reports whether
// that succeeded.
func (n *Node) writeLearnedState(ctx context.Context, state forwarder.Memory) (written bool) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := n.settings.Directory.SaveLearnedState(ctx, state); err != nil {
		n.settings.Logger.Warnf("save of learned state with the fan-out of %d routes failed: %v", len(state.Fans), err)
		return false
	}
	n.settings.Logger.Infof("learned state saved: fan-out of %d routes, offered load of %d services", len(state.Fans), len(state.Work))
	return true
}
