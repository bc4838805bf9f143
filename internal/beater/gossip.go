package beater

import (
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/messenger"
)

const (
	// maxGossipLoads is the maximum number of loads in a pulse.
	maxGossipLoads = 8
	// maxOwnLoadSkips is how many pulses in a row may leave the node's own load
	// out while it has not changed much.
	maxOwnLoadSkips = 10
	// maxLoadSends is how many pulses carry a changed load.
	maxLoadSends = 6
)

type (
	// loadGossip sends a load on to other nodes when it differs much from the
	// last one: when the backend server starts or ends draining or being
	// cold, when the priority below which it sheds requests changes, or when
	// its limit changes by more than a factor of two.
	loadGossip struct {
		// newest are the newest loads received, by node name.
		newest map[string]*messenger.Load
		// queue holds the changed loads that are still to be sent.
		queue []queuedLoad
		// lastOwn is the node's own load when it last changed much. skipped
		// counts the pulses since lastOwn was set, or since the own load was
		// last sent without such a change.
		lastOwn *messenger.Load
		skipped int
	}

	queuedLoad struct {
		load *messenger.Load
		// sends is the number of pulses that have carried the load.
		sends int
	}
)

// nextLoads returns the loads for the next pulse. own is the node's own load.
func (g *loadGossip) nextLoads(own *messenger.Load) (loads []*messenger.Load) {
	g.skipped++
	switch {
	case isWorthSending(g.lastOwn, own):
		g.lastOwn, g.skipped = own, 0
		g.queue = append(g.queue, queuedLoad{load: own})
	case g.skipped > maxOwnLoadSkips:
		g.skipped = 0
		loads = append(loads, own)
	}
	kept := g.queue[:0]
	for _, q := range g.queue {
		if len(loads) < maxGossipLoads {
			loads = append(loads, q.load)
			q.sends++
		}
		if q.sends < maxLoadSends {
			kept = append(kept, q)
		}
	}
	g.queue = kept
	return loads
}

// retainMembers drops the loads of nodes outside the view.
func (g *loadGossip) retainMembers(v holder.View) {
	names := map[string]bool{}
	for _, m := range v.Members {
		names[m.Name] = true
	}
	for name := range g.newest {
		if !names[name] {
			delete(g.newest, name)
		}
	}
}

// merge stores the received loads that are newer than the known ones and returns
// them. Those worth sending are queued.
func (g *loadGossip) merge(loads []*messenger.Load) (newer []*messenger.Load) {
	if g.newest == nil {
		g.newest = map[string]*messenger.Load{}
	}
	for _, l := range loads {
		last := g.newest[l.GetName()]
		if last != nil && last.GetIncarnation() == l.GetIncarnation() && last.GetSequence() >= l.GetSequence() {
			continue
		}
		g.newest[l.GetName()] = l
		newer = append(newer, l)
		if isWorthSending(last, l) {
			g.queue = append(g.queue, queuedLoad{load: l})
		}
	}
	return newer
}

// isWorthSending reports whether load b, which follows a, is worth sending to
// others. a is nil when no earlier load is known.
func isWorthSending(a, b *messenger.Load) bool {
	if a == nil {
		return b.GetDraining() || b.GetCold()
	}
	if a.GetDraining() != b.GetDraining() || a.GetCold() != b.GetCold() || a.GetShed() != b.GetShed() {
		return true
	}
	return a.GetLimit() > 2*b.GetLimit() || b.GetLimit() > 2*a.GetLimit()
}
