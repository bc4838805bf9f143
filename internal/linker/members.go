package linker

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/flamingotack/flamingotack/internal/framer"
)

const (
	// rumorRounds is how often a change of the members is passed on, one round in
	// each checkInterval, and rumorNodes to how many nodes in each round.
	rumorRounds = 3
	rumorNodes  = 3
)

type (
	// Peer is another node with what this one has to do with it.
	Peer struct {
		Member
		// Chosen says that calls may be sent to the node, and Up that the link
		// to it stands.
		Selected, Connected bool
	}

	// rumor is a change of the members that is passed on (Demers et al.:
	// "Epidemic Algorithms for Replicated Database Maintenance", 1987).
	rumor struct {
		peer   *framer.Peer
		rounds int
	}
)

// Changed returns a number that grows with each change of what Peers returns.
func (l *Linker) PeersVersion() uint64 {
	return l.version.Load()
}

// Forget drops a member that is gone for good.
func (l *Linker) RemoveMember(m Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.gone[m.Incarnation]; known {
		return
	}
	l.gone[m.Incarnation] = struct{}{}
	if k := l.links[m.Name]; k != nil && k.member.Incarnation == m.Incarnation {
		l.logger.Infof("Forgets node %s, incarnation %s.", m.Name, m.Incarnation)
		delete(l.links, m.Name)
		k.stop()
		l.changedMembers()
		l.passOn(m, true)
	}
}

// Introduce takes all members that the directory knows.
func (l *Linker) AddDirectoryMembers(members []Member) {
	for _, m := range members {
		l.AddMember(m, false)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.informed = true
}

// Leave tells the other nodes that this one leaves for good.
func (l *Linker) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.news()
	f.News.Gone = true
	for _, s := range l.sessions() {
		s.put(f)
	}
}

// Meet learns of a member. One that is known under another address or incarnation
// is replaced when certain is set, or when the incarnation is a later one. It reports
// whether that is new.
func (l *Linker) AddMember(m Member, certain bool) (learned bool) {
	if m.Name == l.self.Name || m.Name == "" || m.Address == "" {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, gone := l.gone[m.Incarnation]; gone {
		return false
	}
	known := l.links[m.Name]
	// Incarnations are UUIDs that begin with the time.
	if known != nil && (known.member == m || !certain && m.Incarnation <= known.member.Incarnation) {
		return false
	}
	if known != nil {
		known.stop()
	}
	l.logger.Infof("Meets node %s, incarnation %s, service %s, failure domain %s.", m.Name, m.Incarnation, m.Service, m.Domain)
	l.links[m.Name] = newLink(l, m)
	l.changedMembers()
	if certain {
		l.passOn(m, false)
	}
	return true
}

// Peers returns the other nodes, in order of their names.
func (l *Linker) Peers() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Peer, 0, len(l.links))
	for _, name := range slices.Sorted(maps.Keys(l.links)) {
		k := l.links[name]
		list = append(list, Peer{Member: k.member, Selected: k.chosen, Connected: k.current.Load() != nil})
	}
	return list
}

// Standing returns the number of links that stand.
func (l *Linker) ConnectedPeerCount() (count int) {
	for _, p := range l.Peers() {
		if p.Connected {
			count++
		}
	}
	return count
}

// changedMembers says that the members have changed. The caller holds the lock.
func (l *Linker) changedMembers() {
	l.changed++
	l.version.Add(1)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// membersDigest returns a digest of the members, this node included, by which
// nodes find out that they know different ones. The caller holds the lock.
func (l *Linker) membersDigest() uint64 {
	if l.digest != 0 && l.digestOf == l.changed {
		return l.digest
	}
	l.digestOf = l.changed
	l.digest = xxh3.HashString(l.self.Name + " " + l.self.Incarnation)
	for _, k := range l.links {
		l.digest ^= xxh3.HashString(k.member.Name + " " + k.member.Incarnation)
	}
	return l.digest
}

// passOn makes a change of the members known to other nodes. The caller holds the
// lock.
func (l *Linker) passOn(m Member, gone bool) {
	p := fromMember(m)
	p.Gone = gone
	l.rumors = append(l.rumors, rumor{peer: p, rounds: rumorRounds})
}

// sessions returns the sessions that stand, from both sides. The caller holds the
// lock.
func (l *Linker) sessions() (list []*session) {
	for _, k := range l.links {
		if s := k.current.Load(); s != nil {
			list = append(list, s)
		}
	}
	for r := range l.served {
		list = append(list, r.session)
	}
	return list
}

// spread passes the latest changes of the members on to a few nodes.
func (l *Linker) spread() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.rumors) == 0 {
		return
	}
	f := &framer.Frame{News: &framer.News{}}
	for i := range l.rumors {
		f.News.Peers = append(f.News.Peers, l.rumors[i].peer)
		l.rumors[i].rounds--
	}
	l.rumors = slices.DeleteFunc(l.rumors, func(r rumor) bool { return r.rounds <= 0 })
	sessions := l.sessions()
	rand.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] })
	for _, s := range sessions[:min(rumorNodes, len(sessions))] {
		s.put(f)
	}
}

// takePeers takes members that another node tells of. rumors says that they have
// changed lately.
func (l *Linker) takePeers(peers []*framer.Peer, rumors bool) {
	for _, p := range peers {
		m := toMember(p)
		if p.GetGone() {
			l.RemoveMember(m)
			continue
		}
		if l.AddMember(m, false) && rumors {
			l.mu.Lock()
			l.passOn(m, false)
			l.mu.Unlock()
		}
	}
}
