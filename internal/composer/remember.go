package composer

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// rememberPoll is how often a node looks whether what is kept has changed, and
	// rememberPause how long it waits after it has kept something.
	rememberPoll    = 2 * time.Second
	rememberPause   = 20 * time.Second
	rememberTimeout = 2 * time.Second
)

// remember keeps the fans of all routes in the directory, for nodes that start when no
// node is left that knows them, as after a loss of power. The first delegate of each
// failure domain does.
func (n *Node) remember(ctx context.Context) error {
	var kept map[string]linker.Fans
	for timekeeper.Sleep(ctx, rememberPoll) {
		if !n.linker.Delegates().First() {
			continue
		}
		fans := n.forwarder.Fans()
		if len(fans) == 0 || !linker.FansDiffer(kept, fans) || !n.keepFans(ctx, fans) {
			continue
		}
		kept = fans
		timekeeper.Sleep(ctx, rememberPause)
	}
	return nil
}

// keepFans writes the fans and reports whether that was done.
func (n *Node) keepFans(ctx context.Context, fans map[string]linker.Fans) (kept bool) {
	ctx, cancel := context.WithTimeout(ctx, rememberTimeout)
	defer cancel()
	if err := n.settings.Directory.Remember(ctx, fans); err != nil {
		n.settings.Logger.Warnf("Can't keep the fans of %d routes: %v.", len(fans), err)
		return false
	}
	n.settings.Logger.Infof("Keeps the fans of %d routes.", len(fans))
	return true
}
