package linker

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/selector"
)

// minUsableDelegates is the number of connected or connecting delegates in the node's
// own failure domain below which the node links to the delegates of all domains.
const minUsableDelegates = 2

// chooseLinks decides which links to keep: those to the first usable members of each
// service, in the node's own order, and those to delegates. An unwanted link is kept for
// unwantedLinkTime, because its node may become wanted again.
func (l *Linker) chooseLinks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.linksChosenAt = now
	l.updateLinkOrders()
	for _, k := range l.links {
		k.wanted = false
	}
	for service, names := range l.linkOrders {
		target, most := selector.TargetLinksPerService, selector.MaxLinksPerService
		if l.handlers.MovesCalls != nil && l.handlers.MovesCalls(service) {
			target, most = rolloutLinksPerService, rolloutLinksPerService
		}
		l.markWantedLinks(now, names, target, most)
	}
	l.markWantedDelegateLinks(now)
	for _, k := range l.links {
		k.startOrStop(now)
	}
}

// updateLinkOrders recomputes the link orders and the delegates if the members have
// changed. The caller holds the lock.
func (l *Linker) updateLinkOrders() {
	if l.linkOrders != nil && l.linkOrdersVersion == l.membersVersion {
		return
	}
	l.linkOrdersVersion = l.membersVersion
	self := toSelectorNode(l.self)
	nodes := []selector.Node{self}
	for _, k := range l.links {
		nodes = append(nodes, toSelectorNode(k.member))
	}
	ring := selector.NewRing(nodes)
	l.linkOrders = ring.LinkOrders(self)
	l.delegates = ring.Delegates()
}

// markWantedLinks marks the links to the first target usable members of a service, among the
// first most ones, as wanted and lets calls be sent over them. names is the link order of the
// service. The caller holds the lock.
func (l *Linker) markWantedLinks(now time.Time, names []string, target, most int) {
	usable := 0
	for _, name := range names[:min(most, len(names))] {
		if usable >= target {
			return
		}
		k := l.links[name]
		if k == nil {
			// names includes this node, which has no link to itself.
			usable++
			continue
		}
		k.wanted = true
		l.selectForCalls(k)
		if k.usable(now) {
			usable++
		}
	}
}

// markWantedDelegateLinks marks the links to delegates as wanted: those in the node's own
// failure domain, or all if too few of those are usable or if the node is a delegate
// itself. The caller holds the lock.
func (l *Linker) markWantedDelegateLinks(now time.Time) {
	usable := 0
	for k := range l.delegateLinks() {
		if k.member.Domain != l.self.Domain {
			continue
		}
		k.wanted = true
		if k.connectedOrConnecting(now) {
			usable++
		}
	}
	if usable >= minUsableDelegates && !l.delegates.Contains(l.self.Name, l.self.Domain) {
		return
	}
	for k := range l.delegateLinks() {
		k.wanted = true
	}
}

// selectForCalls lets calls be sent over a link. The caller holds the lock.
func (l *Linker) selectForCalls(k *link) {
	if !k.selected {
		k.selected = true
		l.peersVersion.Add(1)
	}
}

// startOrStop starts a wanted link. It stops a link that has been unwanted for longer than
// unwantedLinkTime, unless exchanges are pending on it. The caller holds the linker's lock.
func (k *link) startOrStop(now time.Time) {
	if k.wanted {
		k.lastWantedAt = now
	}
	switch {
	case k.wanted && k.startedAt.IsZero() && k.linker.ctx != nil && k.linker.ctx.Err() == nil:
		k.startedAt = now
		k.start(k.linker.ctx)
	case !k.wanted && !k.startedAt.IsZero() && now.Sub(k.lastWantedAt) > unwantedLinkTime && k.stopIfIdle():
		k.startedAt = time.Time{}
		k.selected = false
		k.linker.peersVersion.Add(1)
	}
}

// connectedOrConnecting reports whether the link has a session, is not started yet, or
// was started less than dialTimeout ago and has not failed since. The caller holds the
// linker's lock.
func (k *link) connectedOrConnecting(now time.Time) bool {
	if k.current.Load() != nil {
		return true
	}
	return k.startedAt.IsZero() || k.failures.Load() == 0 && now.Sub(k.startedAt) < dialTimeout
}

// usable reports whether the link is connected or connecting and the node has not reported
// that it takes no work. The caller holds the linker's lock.
func (k *link) usable(now time.Time) bool {
	return k.connectedOrConnecting(now) && !k.closed.Load()
}

// toSelectorNode returns the part of a member that the selector needs.
func toSelectorNode(m Member) selector.Node {
	return selector.Node{Name: m.Name, Service: m.Service, Domain: m.Domain}
}
