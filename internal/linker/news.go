package linker

import (
	"encoding/json"
	"math"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/framer"
)

const (
	// newsInterval is how often nodes tell each other what seldom changes.
	newsInterval = 15 * time.Second
	// firstNews is how long after the start of a link the first news follow, by
	// when all members are mostly known.
	firstNews = 2 * time.Second
	// fansInterval is how often changes of the fans are told at most, and
	// fansChange and leastFansChange what counts as a change, in parts of the
	// calls of a run and in calls.
	fansInterval    = time.Second
	fansChange      = 0.1
	leastFansChange = 0.05
	// runsChange is the factor by which the runs that fans rest on change
	// before that is told.
	runsChange = 2.0
	// peersInterval is how often a node asks for the members that others know,
	// at most.
	peersInterval = time.Second
)

// ahead is what is known of a node that acts on a newer state.
type ahead struct {
	session  *session
	revision uint64
	// near says that the node is in the own failure domain.
	near bool
}

// encodedState is a state as it is sent to nodes that want it.
type encodedState struct {
	revision uint64
	data     []byte
}

// catchUp asks a node that acts on a newer state for it. Most changes reach every
// node by its own source of configurations first, so nodes don't send states
// unasked.
func (l *Linker) catchUp() {
	own := l.handlers.State().Revision
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ahead.revision > own {
		l.ahead.session.put(&framer.Frame{WantState: true})
	}
	l.ahead = ahead{}
}

// currentNews returns what the node tells about itself to those that it links to.
func (l *Linker) currentNews() *framer.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.news()
}

// dueInterval returns how often to tell the load: more often while the backend
// server has more work than it bears, and until the other nodes know that it has
// no more, as they decide by that what begins. The caller holds the lock.
func (l *Linker) dueInterval(now time.Time) time.Duration {
	load := l.handlers.Load()
	links := time.Duration(len(l.served))
	if !load.Closed && load.OfferedSlots >= pressed*load.CapacitySlots {
		l.pressed = now
	}
	if now.Sub(l.pressed) > pressedTime {
		return max(loadInterval, calmPerLink*links)
	}
	return max(checkInterval, pressedPerLink*links)
}

// load returns what the node tells of its load.
func (l *Linker) load() *framer.Frame {
	return &framer.Frame{
		Load:     fromLoad(l.handlers.Load()),
		Revision: l.handlers.State().Revision,
		Follows:  l.handlers.Follows(),
	}
}

// news returns what the node tells about itself to those that it links to. The
// caller holds the lock.
func (l *Linker) news() *framer.Frame {
	return &framer.Frame{
		News: &framer.News{
			Name:        l.self.Name,
			Incarnation: l.self.Incarnation,
			Address:     l.self.Address,
			Service:     l.self.Service,
			Domain:      l.self.Domain,
			Members:     l.membersDigest(),
		},
		Revision: l.handlers.State().Revision,
		Follows:  l.handlers.Follows(),
	}
}

// fullNews returns what the node tells about itself to those that link to it. The
// caller holds the lock.
func (l *Linker) fullNews() *framer.Frame {
	f := l.news()
	f.Load = l.load().Load
	for route, fans := range l.fans {
		f.News.Fans = append(f.News.Fans, fromFans(route, fans))
	}
	return f
}

// peers returns the members, for news. The caller holds the lock.
func (l *Linker) peers() (list []*framer.Peer) {
	for _, k := range l.links {
		list = append(list, fromMember(k.member))
	}
	return list
}

// takeFacts takes what any frame may bring: the load and the configuration of a
// node, or that it wants something.
func (l *Linker) takeFacts(s *session, m Member, f *framer.Frame) {
	if f.GetLoad() != nil && m.Name != "" {
		l.handlers.TakeLoad(m, toLoad(f.GetLoad()))
	}
	if f.GetRevision() > 0 {
		l.takeRevision(s, m, f.GetRevision())
	}
	if f.GetWantState() {
		l.tell(s, l.handlers.State())
	}
	if f.GetWantPeers() {
		l.tellPeers(s)
	}
	if len(f.GetState()) > 0 {
		l.takeState(m, f.GetState())
	}
}

// takeNews takes what another node tells about itself and of other members. direct
// says that the node itself is at the other end of the session.
func (l *Linker) takeNews(s *session, n *framer.News, direct bool) {
	if n.GetName() == "" {
		l.takePeers(n.GetPeers(), true)
		return
	}
	m := toMember(n)
	if n.GetGone() {
		l.Forget(m)
		return
	}
	l.Meet(m, direct)
	l.takePeers(n.GetPeers(), false)
	if len(n.GetFans()) > 0 {
		l.handlers.TakeFans(m, toFans(n.GetFans()))
	}
	l.compareMembers(s, n)
}

// compareMembers asks for the members that another node knows when it knows
// others than this one.
func (l *Linker) compareMembers(s *session, n *framer.News) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(n.GetPeers()) > 0 {
		l.informed = true
	}
	now := l.clock.Now()
	switch {
	case n.GetMembers() == l.membersDigest(), now.Sub(l.peersWanted) < peersInterval:
		return
	case l.informed && now.Sub(s.begun) < firstNews/2:
		// What differs now is mostly still on its way.
		return
	}
	l.peersWanted = now
	s.put(&framer.Frame{WantPeers: true})
}

// takeRevision notes that a node acts on a newer state, the nearest one first.
func (l *Linker) takeRevision(s *session, m Member, revision uint64) {
	if revision <= l.handlers.State().Revision {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	near := m.Domain == l.self.Domain
	if revision > l.ahead.revision || revision == l.ahead.revision && near && !l.ahead.near {
		l.ahead = ahead{session: s, revision: revision, near: near}
	}
}

func (l *Linker) takeState(m Member, data []byte) {
	var state director.State
	if err := json.Unmarshal(data, &state); err != nil {
		l.logger.Warnf("Node %s sent a state that can't be read: %v.", m.Name, err)
		return
	}
	l.handlers.TakeState(state)
}

// tell sends a configuration to a node that wants it.
func (l *Linker) tell(s *session, state director.State) {
	known := l.encoded.Load()
	if known == nil || known.revision != state.Revision {
		data, err := json.Marshal(state)
		if err != nil {
			l.logger.Errorf("Can't encode revision %d: %v.", state.Revision, err)
			return
		}
		known = &encodedState{revision: state.Revision, data: data}
		l.encoded.Store(known)
	}
	s.put(&framer.Frame{State: known.data})
}

// tellPeers sends the members to a node that wants them.
func (l *Linker) tellPeers(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.news()
	f.News.Peers = l.peers()
	s.put(f)
}

// watchFans takes the present fans and reports whether they are to be told.
func (l *Linker) watchFans(fans map[string]Fans) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now.Sub(l.fansChanged) < fansInterval || !FansDiffer(l.fans, fans) {
		return false
	}
	l.fans = fans
	l.fansChanged = now
	l.fansCount++
	return true
}

// FansDiffer reports whether any fan of two differs by what counts.
func FansDiffer(told, present map[string]Fans) bool {
	return fansMissing(told, present) || fansMissing(present, told)
}

// fansMissing reports whether b lacks, or has otherwise, a fan of a.
func fansMissing(a, b map[string]Fans) bool {
	for route, fans := range a {
		if fans.Runs > runsChange*b[route].Runs {
			return true
		}
		for called, calls := range fans.Calls {
			if math.Abs(calls-b[route].Calls[called]) > max(leastFansChange, fansChange*calls) {
				return true
			}
		}
	}
	return false
}

// tellLoad tells a node that links to this one the news and the load when they are
// due, the load after loadDue. The caller holds the lock.
func (l *Linker) tellLoad(r *runs, now time.Time, loadDue time.Duration) {
	switch {
	case now.Sub(r.told) >= newsInterval, r.fansCount != l.fansCount:
		r.told, r.loaded, r.fansCount = now, now, l.fansCount
		r.session.put(l.fullNews())
	case now.Sub(r.loaded) >= loadDue:
		r.loaded = now
		r.session.put(l.load())
	}
}
