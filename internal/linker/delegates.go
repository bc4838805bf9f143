package linker

import (
	"context"
	"time"

	"github.com/flamingotack/flamingotack/internal/framer"
)

const (
	// leastFollowers is the number of delegates that must follow the directory for
	// other nodes to leave that to them.
	leastFollowers = 2
	// followLife is how long a delegate's word holds that the directory answers it.
	followLife = 3 * time.Second
)

// Delegates are the nodes that act for all.
type Delegates struct {
	// Count is their number.
	Count int
	// Self says that this node is one of them.
	Self bool
	// Near and Far are the names of the others that can be asked now, in the own
	// failure domain and in other ones. They are not changed.
	Near, Far []string
}

// delegatesAt are the delegates as of a version of the members and the links.
type delegatesAt struct {
	Delegates
	version uint64
}

// Ask asks a node for tokens of a customer's rate, in thousandths. held says that it
// shall not borrow from others.
func (l *Linker) Ask(ctx context.Context, name, customer string, tokens int64, held bool) (granted int64) {
	k := l.link(name)
	if k == nil {
		return 0
	}
	return k.ask(ctx, &framer.Ask{Customer: customer, Tokens: tokens, Held: held})
}

// Delegates returns the nodes that act for all.
func (l *Linker) Delegates() (found Delegates) {
	version := l.version.Load()
	if known := l.found.Load(); known != nil && known.version == version {
		return known.Delegates
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.found.Store(&delegatesAt{Delegates: found, version: version}) }()
	l.orderMembers()
	found.Count = l.delegates.Count
	found.Self = l.delegates.Has(l.self.Name, l.self.Domain)
	for domain, names := range l.delegates.Names {
		for _, name := range names {
			k := l.links[name]
			switch {
			case k == nil || k.current.Load() == nil:
			case domain == l.self.Domain:
				found.Near = append(found.Near, name)
			default:
				found.Far = append(found.Far, name)
			}
		}
	}
	return found
}

// Followed reports whether this node may leave it to delegates to follow the
// directory, as it hears from enough of them that it answers.
func (l *Linker) Followed() bool {
	d := l.Delegates()
	if d.Self {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, count := l.clock.Now(), 0
	for _, names := range l.delegates.Names {
		for _, name := range names {
			if k := l.links[name]; k != nil && k.follows(now) {
				count++
			}
		}
	}
	return count >= leastFollowers
}
