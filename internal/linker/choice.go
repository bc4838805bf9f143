package linker

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/selector"
)

// leastUsableDelegates is the number of delegates in the own failure domain that can be
// used below which all delegates are linked to.
const leastUsableDelegates = 2

// choose decides which links are kept: those to the first members of each service
// that can be used, in the node's own order, and those to delegates. Links that are not
// wanted any more linger, as those may be that come back.
func (l *Linker) choose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.chosen = now
	l.orderMembers()
	for _, k := range l.links {
		k.wanted = false
	}
	for _, names := range l.orders {
		l.want(now, names)
	}
	l.wantDelegates(now)
	for _, k := range l.links {
		k.keepOrEnd(now)
	}
}

// orderMembers brings the orders up to date. The caller holds the lock.
func (l *Linker) orderMembers() {
	if l.orders != nil && l.ordersOf == l.changed {
		return
	}
	l.ordersOf = l.changed
	self := toNode(l.self)
	nodes := []selector.Node{self}
	for _, k := range l.links {
		nodes = append(nodes, toNode(k.member))
	}
	ring := selector.NewRing(nodes)
	l.orders = ring.LinkOrders(self)
	l.delegates = ring.Delegates()
}

// want marks the links to the first members of a service that can be used. The
// caller holds the lock.
func (l *Linker) want(now time.Time, names []string) {
	usable := 0
	for _, name := range names[:min(selector.MaxLinksPerService, len(names))] {
		if usable >= selector.TargetLinksPerService {
			return
		}
		k := l.links[name]
		if k == nil {
			// The node itself.
			usable++
			continue
		}
		k.wanted = true
		l.use(k)
		if k.usable(now) {
			usable++
		}
	}
}

// wantDelegates marks the links to the delegates: those of the own failure domain, or all
// if that has too few, or if the node is one itself. The caller holds the lock.
func (l *Linker) wantDelegates(now time.Time) {
	usable := 0
	for k := range l.delegateLinks() {
		if k.member.Domain != l.self.Domain {
			continue
		}
		k.wanted = true
		if k.standsSoon(now) {
			usable++
		}
	}
	if usable >= leastUsableDelegates && !l.delegates.Contains(l.self.Name, l.self.Domain) {
		return
	}
	for k := range l.delegateLinks() {
		k.wanted = true
	}
}

// use lets calls be sent over a link. The caller holds the lock.
func (l *Linker) use(k *link) {
	if !k.chosen {
		k.chosen = true
		l.version.Add(1)
	}
}

// keepOrEnd starts a link that is wanted and ends one that has not been for a while,
// unless something runs over it. The caller holds the owner's lock.
func (k *link) keepOrEnd(now time.Time) {
	if k.wanted {
		k.lastWanted = now
	}
	switch {
	case k.wanted && k.started.IsZero() && k.owner.ctx != nil && k.owner.ctx.Err() == nil:
		k.started = now
		k.start(k.owner.ctx)
	case !k.wanted && !k.started.IsZero() && now.Sub(k.lastWanted) > linger && k.idle():
		k.started = time.Time{}
		k.chosen = false
		k.owner.version.Add(1)
		k.stop()
	}
}

// standsSoon reports whether the link stands, or may do so in a moment. The caller
// holds the owner's lock.
func (k *link) standsSoon(now time.Time) bool {
	if k.current.Load() != nil {
		return true
	}
	return k.started.IsZero() || k.downs.Load() == 0 && now.Sub(k.started) < dialTimeout
}

// usable reports whether the node takes work, or may take some once the link
// stands. The caller holds the owner's lock.
func (k *link) usable(now time.Time) bool {
	return k.standsSoon(now) && !k.closed.Load()
}

func toNode(m Member) selector.Node {
	return selector.Node{Name: m.Name, Service: m.Service, Domain: m.Domain}
}
