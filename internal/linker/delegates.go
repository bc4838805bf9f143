package linker

import (
	"context"
	"iter"
	"time"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/selector"
)

const (
	// minWatchingDelegates is the number of delegates that must report the directory as
	// reachable for other nodes to rely on the delegates to watch it.
	minWatchingDelegates = 2
	// directoryReachableLifetime is how long a delegate's report that the directory is
	// reachable stays valid.
	directoryReachableLifetime = 3 * time.Second
)

// DelegateView is the set of delegates as one node sees it. It is immutable.
type DelegateView struct {
	selector.Delegates
	// Version grows with each change of the fields below.
	Version uint64
	// Incomplete reports whether the node has not received the whole member list yet, so
	// that it may take itself for a delegate, or even for the only one.
	Incomplete bool
	// LocalNode is the node whose view this is.
	LocalNode selector.Node
	// Connected holds the names of the other delegates to which the node has a session.
	Connected map[string]bool
}

// IsDelegate reports whether the local node is a delegate.
func (d *DelegateView) IsDelegate() bool {
	return d.Contains(d.LocalNode.Name, d.LocalNode.Domain)
}

// IsFirstInDomain reports whether the local node is the first delegate of its failure
// domain. It is false while the view is incomplete.
func (d *DelegateView) IsFirstInDomain() bool {
	if d.Incomplete {
		return false
	}
	names := d.NamesByDomain[d.LocalNode.Domain]
	return len(names) > 0 && names[0] == d.LocalNode.Name
}

// RequestTokens requests tokens of a limit from a node, in thousandths of a token. key is the
// limit's key, such as the name of a customer. noBorrow restricts the node to the tokens that
// it holds. It returns 0 if the node grants none, is not connected or does not answer before
// ctx ends.
func (l *Linker) RequestTokens(ctx context.Context, name, key string, milliTokens int64, noBorrow bool) (grantedMilliTokens int64) {
	k := l.link(name)
	if k == nil {
		return 0
	}
	return k.requestTokens(ctx, &framer.Ask{Customer: key, Tokens: milliTokens, Held: noBorrow})
}

// Delegates returns this node's view of the delegates.
func (l *Linker) Delegates() *DelegateView {
	version := l.peersVersion.Load()
	if cached := l.delegateView.Load(); cached != nil && cached.Version == version {
		return cached
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLinkOrders()
	view := &DelegateView{Delegates: l.delegates, Version: version, Incomplete: !l.membersReceived, LocalNode: toSelectorNode(l.self), Connected: map[string]bool{}}
	for k := range l.delegateLinks() {
		if k.current.Load() != nil {
			view.Connected[k.member.Name] = true
		}
	}
	l.delegateView.Store(view)
	return view
}

// delegateLinks iterates over the links to the other delegates, started or not. The caller
// holds the lock.
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

// CanRelyOnDelegates reports whether this node may leave watching the directory to the
// delegates, because enough of them report it as reachable. It is always false on a delegate.
func (l *Linker) CanRelyOnDelegates() bool {
	if l.Delegates().IsDelegate() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, count := l.clock.Now(), 0
	for k := range l.delegateLinks() {
		if k.directoryReachable(now) {
			count++
		}
	}
	return count >= minWatchingDelegates
}
