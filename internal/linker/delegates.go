package linker

import (
	"context"
	"iter"
	"time"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/selector"
)

const (
	// leastFollowers is the number of delegates that must follow the directory for
	// other nodes to leave that to them.
	leastFollowers = 2
	// followLife is how long a delegate's word holds that the directory answers it.
	followLife = 3 * time.Second
)

// Delegates are the nodes that act for all, as one node sees them. They are not
// changed.
type DelegateView struct {
	selector.Delegates
	// Version grows with each change of what follows.
	Version uint64
	// Node is the node that sees them so.
	Viewer selector.Node
	// Up are the others that can be asked now.
	Connected map[string]bool
}

// Self reports whether the node is one of them.
func (d *DelegateView) IsDelegate() bool {
	return d.Contains(d.Viewer.Name, d.Viewer.Domain)
}

// First reports whether the node is the first one of its failure domain.
func (d *DelegateView) IsFirstInDomain() bool {
	names := d.NamesByDomain[d.Viewer.Domain]
	return len(names) > 0 && names[0] == d.Viewer.Name
}

// Ask asks a node for tokens of a customer's rate, in thousandths. held says that it
// shall not borrow from others.
func (l *Linker) RequestTokens(ctx context.Context, name, customer string, tokens int64, held bool) (granted int64) {
	k := l.link(name)
	if k == nil {
		return 0
	}
	return k.ask(ctx, &framer.Ask{Customer: customer, Tokens: tokens, Held: held})
}

// Delegates returns the nodes that act for all.
func (l *Linker) Delegates() *DelegateView {
	version := l.version.Load()
	if known := l.found.Load(); known != nil && known.Version == version {
		return known
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orderMembers()
	found := &DelegateView{Delegates: l.delegates, Version: version, Viewer: toNode(l.self), Connected: map[string]bool{}}
	for k := range l.delegateLinks() {
		if k.current.Load() != nil {
			found.Connected[k.member.Name] = true
		}
	}
	l.found.Store(found)
	return found
}

// delegateLinks returns the links to the other delegates, kept or not. The caller holds
// the lock.
func (l *Linker) delegateLinks() iter.Seq[*link] {
	return func(yield func(*link) bool) {
		for _, names := range l.delegates.NamesByDomain {
			for _, name := range names {
				if k := l.links[name]; k != nil && !yield(k) {
					return
				}
			}
		}
	}
}

// Followed reports whether this node may leave it to delegates to follow the
// directory, as it hears from enough of them that it answers.
func (l *Linker) CanRelyOnDelegates() bool {
	if l.Delegates().IsDelegate() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, count := l.clock.Now(), 0
	for k := range l.delegateLinks() {
		if k.follows(now) {
			count++
		}
	}
	return count >= leastFollowers
}
