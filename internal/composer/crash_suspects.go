package composer

import (
	"context"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/suspecter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// suspectCheckInterval is how often a node checks whether its stored suspects have
	// changed, such as by their end, and how long it waits after a failed write.
	suspectCheckInterval = 2 * time.Second
	// minSuspectWriteInterval is the least time between two writes of suspects.
	minSuspectWriteInterval = 250 * time.Millisecond
	suspectWriteTimeout     = 2 * time.Second
	// maxStoredSuspects bounds the suspects that a node stores. Those that end last are
	// stored.
	maxStoredSuspects = 64
)

// spreadSuspects sends suspects to the other nodes, and has those stored that must outlive
// this process. It does not block.
func (n *Node) spreadSuspects(changed []suspecter.Suspect) {
	n.linker.SpreadSuspects(changed)
	select {
	case n.suspectsChanged <- struct{}{}:
	default:
	}
}

// saveSuspects keeps the suspects that the directory holds for this node up to date until ctx
// ends, for nodes that start when no running node knows them, such as after a power loss.
// stored are those that it holds already.
func (n *Node) saveSuspects(ctx context.Context, stored []suspecter.Suspect) {
	stored = latestSuspects(stored)
	for ctx.Err() == nil {
		if local := n.suspectsToStore(); !sameSuspects(local, stored) && n.storeSuspects(ctx, local) {
			stored = local
			timekeeper.Sleep(ctx, minSuspectWriteInterval)
		}
		n.awaitSuspects(ctx)
	}
}

// awaitSuspects waits until the suspects may have changed or suspectCheckInterval has passed.
func (n *Node) awaitSuspects(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspectCheckInterval)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-n.suspectsChanged:
	}
}

// storeSuspects writes the suspects to the directory and reports whether that succeeded.
func (n *Node) storeSuspects(ctx context.Context, suspects []suspecter.Suspect) (stored bool) {
	if err := n.writeSuspects(ctx, suspects); err != nil {
		n.settings.Logger.Warnf("save of %d crash suspects failed: %v", len(suspects), err)
		return false
	}
	n.settings.Logger.Infof("%d crash suspects saved", len(suspects))
	return true
}

// rewriteSuspects writes the suspects again after the directory was restored.
func (n *Node) rewriteSuspects(ctx context.Context) error {
	suspects := n.suspectsToStore()
	if len(suspects) == 0 {
		return errNothingToRewrite
	}
	return n.writeSuspects(ctx, suspects)
}

func (n *Node) writeSuspects(ctx context.Context, suspects []suspecter.Suspect) error {
	ctx, cancel := context.WithTimeout(ctx, suspectWriteTimeout)
	defer cancel()
	return n.settings.Directory.SaveSuspects(ctx, n.self.Name, suspects)
}

func (n *Node) suspectsToStore() []suspecter.Suspect {
	return latestSuspects(n.guardian.LocalSuspects())
}

// latestSuspects returns at most maxStoredSuspects of the suspects, those that end last first.
func latestSuspects(suspects []suspecter.Suspect) []suspecter.Suspect {
	latest := slices.Clone(suspects)
	slices.SortStableFunc(latest, func(a, b suspecter.Suspect) int { return b.ExpiresAt.Compare(a.ExpiresAt) })
	return latest[:min(len(latest), maxStoredSuspects)]
}

// sameSuspects reports whether two lists hold the same suspects with the same crashes.
func sameSuspects(a, b []suspecter.Suspect) bool {
	return slices.EqualFunc(a, b, func(p, q suspecter.Suspect) bool {
		return p.Digest == q.Digest && p.LateCrashes == q.LateCrashes && slices.Equal(p.CrashedIncarnations, q.CrashedIncarnations)
	})
}
