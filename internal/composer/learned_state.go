package composer

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/forwarder"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// rememberPoll is how often a node looks whether what is kept has changed, and
	// rememberPause how long it waits after its start, when it knows little, and after
	// it has kept something.
	rememberPoll    = 2 * time.Second
	rememberPause   = 20 * time.Second
	rememberTimeout = 2 * time.Second
)

// remember keeps what nodes learn in the directory, for those that start when no node
// is left that knows it, as after a loss of power. The first delegate of each failure
// domain does.
func (n *Node) remember(ctx context.Context) error {
	var kept forwarder.Memory
	timekeeper.Sleep(ctx, rememberPause)
	for timekeeper.Sleep(ctx, rememberPoll) {
		if !n.linker.Delegates().First() {
			continue
		}
		m := n.forwarder.Memory()
		if len(m.Fans) == 0 || !m.Differs(&kept) || !n.keep(ctx, m) {
			continue
		}
		kept = m
		timekeeper.Sleep(ctx, rememberPause)
	}
	return nil
}

// keep writes a memory and reports whether that was done.
func (n *Node) keep(ctx context.Context, m forwarder.Memory) (kept bool) {
	ctx, cancel := context.WithTimeout(ctx, rememberTimeout)
	defer cancel()
	if err := n.settings.Directory.SaveLearnedState(ctx, m); err != nil {
		n.settings.Logger.Warnf("Can't keep the fans of %d routes: %v.", len(m.Fans), err)
		return false
	}
	n.settings.Logger.Infof("Keeps the fans of %d routes and the work of %d services.", len(m.Fans), len(m.Work))
	return true
}
