package linker

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/flamingotack/flamingotack/internal/framer"
)

const (
	// rumorRounds is the number of rounds in which a rumor is sent, one round in each
	// checkInterval, and rumorTargets the number of sessions to which it is sent in each
	// round.
	rumorRounds  = 3
	rumorTargets = 3
)

type (
	// Peer is another node and the state of the link to it.
	Peer struct {
		Member
		// Selected reports whether calls may be sent to the node, Connected whether
		// the link to it has a session.
		Selected, Connected bool
	}

	// rumor is a change of the members, or suspects, that are spread by rumor mongering
	// (Demers et al.: "Epidemic Algorithms for Replicated Database Maintenance", 1987).
	rumor struct {
		peer     *framer.Peer
		suspects []*framer.Suspect
		rounds   int
	}
)

// PeersVersion returns a number that grows with each change of the result of Peers.
func (l *Linker) PeersVersion() uint64 {
	return l.peersVersion.Load()
}

// RemoveMember removes a member that has left for good. Its incarnation is not added again.
// The node may still be at work on calls, so exchanges that are pending there go on.
func (l *Linker) RemoveMember(m Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.departed[m.Incarnation]; known {
		return
	}
	l.departed[m.Incarnation] = struct{}{}
	if k := l.links[m.Name]; k != nil && k.member.Incarnation == m.Incarnation {
		l.logger.Infof("node %s, incarnation %s, removed from the members", m.Name, m.Incarnation)
		delete(l.links, m.Name)
		k.stopDialing()
		l.leavingLinks[k] = struct{}{}
		l.recordMemberChange()
		l.addRumor(m, true)
	}
}

// AddDirectoryMembers adds all members that the directory knows.
func (l *Linker) AddDirectoryMembers(members []Member) {
	for _, m := range members {
		l.AddMember(m, false)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordMembersReceived()
}

// recordMembersReceived records that this node has received the whole member list once, which
// makes its view of the delegates complete. The caller holds the lock.
func (l *Linker) recordMembersReceived() {
	if l.membersReceived {
		return
	}
	l.membersReceived = true
	l.recordMemberChange()
}

// Leave notifies the connected nodes that this node leaves for good.
func (l *Linker) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.newsFrame()
	f.News.Gone = true
	for _, s := range l.openSessions() {
		s.enqueue(f)
	}
}

// AddMember adds a member and reports whether it was new. A member of the same name with
// other properties is replaced if authoritative is set or the new incarnation is a later
// one. This node, an invalid member and a departed incarnation are ignored.
func (l *Linker) AddMember(m Member, authoritative bool) (added bool) {
	if m.Name == l.self.Name {
		return false
	}
	if err := m.Validate(); err != nil {
		l.logger.Warnf("member ignored: %v", err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, gone := l.departed[m.Incarnation]; gone {
		return false
	}
	known := l.links[m.Name]
	// Incarnations are UUIDs that begin with a timestamp, so later ones are greater.
	if known != nil && (known.member == m || !authoritative && m.Incarnation <= known.member.Incarnation) {
		return false
	}
	if known != nil {
		// The former process of the node has ended, and with it the calls that it ran.
		known.stop()
	}
	l.logger.Infof("node %s, incarnation %s, service %s, failure domain %s, added to the members", m.Name, m.Incarnation, m.Service, m.Domain)
	l.links[m.Name] = newLink(l, m)
	l.recordMemberChange()
	if authoritative {
		l.addRumor(m, false)
	}
	return true
}

// Peers returns the other nodes, sorted by name.
func (l *Linker) Peers() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Peer, 0, len(l.links))
	for _, name := range slices.Sorted(maps.Keys(l.links)) {
		k := l.links[name]
		list = append(list, Peer{Member: k.member, Selected: k.selected, Connected: k.current.Load() != nil})
	}
	return list
}

// ConnectedPeerCount returns the number of links that have a session.
func (l *Linker) ConnectedPeerCount() (count int) {
	for _, p := range l.Peers() {
		if p.Connected {
			count++
		}
	}
	return count
}

// recordMemberChange records that the members have changed and signals it. The caller
// holds the lock.
func (l *Linker) recordMemberChange() {
	l.membersVersion++
	l.peersVersion.Add(1)
	select {
	case l.membersChanged <- struct{}{}:
	default:
	}
}

// membersDigest returns a digest of the members, this node included. Nodes compare digests
// to detect that their members differ. The caller holds the lock.
func (l *Linker) membersDigest() uint64 {
	if l.digest != 0 && l.digestVersion == l.membersVersion {
		return l.digest
	}
	l.digestVersion = l.membersVersion
	l.digest = xxh3.HashString(l.self.Name + " " + l.self.Incarnation)
	for _, k := range l.links {
		l.digest ^= xxh3.HashString(k.member.Name + " " + k.member.Incarnation)
	}
	return l.digest
}

// addRumor queues a change of the members to be spread to other nodes. The caller holds the
// lock.
func (l *Linker) addRumor(m Member, gone bool) {
	p := fromMember(m)
	p.Gone = gone
	l.rumors = append(l.rumors, rumor{peer: p, rounds: rumorRounds})
}

// openSessions returns the sessions that this node and other nodes have established. The
// caller holds the lock.
func (l *Linker) openSessions() (list []*session) {
	for _, k := range l.links {
		if s := k.current.Load(); s != nil {
			list = append(list, s)
		}
	}
	for r := range l.inbound {
		list = append(list, r.session)
	}
	return list
}

// spreadRumors sends the latest rumors over rumorTargets random sessions.
func (l *Linker) spreadRumors() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if suspects := l.newSuspects.take(); len(suspects) > 0 {
		l.rumors = append(l.rumors, rumor{suspects: fromSuspects(suspects, l.clock.Now()), rounds: rumorRounds})
	}
	if len(l.rumors) == 0 {
		return
	}
	f := &framer.Frame{}
	for i := range l.rumors {
		r := &l.rumors[i]
		r.rounds--
		f.Suspects = append(f.Suspects, r.suspects...)
		if r.peer != nil {
			if f.News == nil {
				f.News = &framer.News{}
			}
			f.News.Peers = append(f.News.Peers, r.peer)
		}
	}
	l.rumors = slices.DeleteFunc(l.rumors, func(r rumor) bool { return r.rounds <= 0 })
	sessions := l.openSessions()
	rand.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] })
	for _, s := range sessions[:min(rumorTargets, len(sessions))] {
		s.enqueue(f)
	}
}

// handlePeers adds and removes members that another node has reported. recentChanges reports
// whether they are rumors, which are spread further.
func (l *Linker) handlePeers(peers []*framer.Peer, recentChanges bool) {
	for _, p := range peers {
		m := toMember(p)
		if p.GetGone() {
			l.RemoveMember(m)
			continue
		}
		if l.AddMember(m, false) && recentChanges {
			l.mu.Lock()
			l.addRumor(m, false)
			l.mu.Unlock()
		}
	}
}
