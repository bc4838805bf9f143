package linker

import (
	"encoding/json"
	"math"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/framer"
)

const (
	// newsInterval is how often nodes exchange news, the frames with what seldom
	// changes: a node's properties, a digest of its members and its fan-outs.
	newsInterval = 15 * time.Second
	// secondNewsDelay is the time between the news at the start of a session and the
	// next ones. After it, all members are mostly known.
	secondNewsDelay = 2 * time.Second
	// fanOutInterval is the minimum time between two updates of the fan-outs that are
	// sent. A fan-out has changed if its number of calls per run differs by more than
	// fanOutChangeFraction of the calls and by more than minFanOutChangeCalls calls.
	fanOutInterval       = time.Second
	fanOutChangeFraction = 0.1
	minFanOutChangeCalls = 0.05
	// runsChangeFactor is the factor beyond which a change of the number of runs
	// behind a fan-out counts as a change of the fan-out.
	runsChangeFactor = 2.0
	// serviceTimeChangeFactor is the factor beyond which a change of the service time
	// counts as a change of the fan-out.
	serviceTimeChangeFactor = 1.5
	// peersRequestInterval is the minimum time between two requests for the members
	// that other nodes know.
	peersRequestInterval = time.Second
)

// newerState identifies a node that acts on a newer state than this one.
type newerState struct {
	session  *session
	position director.Position
	// sameDomain reports whether the node is in this node's failure domain.
	sameDomain bool
}

// encodedState is a state in the encoding in which it is sent to other nodes.
type encodedState struct {
	position director.Position
	data     []byte
}

// requestNewerState requests the state of a node that acts on a newer one. Nodes send
// states on request only, because most changes reach every node earlier by its own source of
// configurations.
func (l *Linker) requestNewerState() {
	own := l.handlers.State().Position()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newerState.position.NewerThan(own) {
		l.newerState.session.enqueue(&framer.Frame{WantState: true})
	}
	l.newerState = newerState{}
}

// currentNewsFrame returns the frame that the node sends first over its own links.
func (l *Linker) currentNewsFrame() *framer.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newsFrame()
}

// loadSendInterval returns the interval at which to send the load. It is shorter at high
// load and for highLoadHold afterwards, because the other nodes decide by the load which
// requests may begin and have to learn that the high load has ended. The caller holds the
// lock.
func (l *Linker) loadSendInterval(now time.Time) time.Duration {
	load := l.handlers.Load()
	links := time.Duration(len(l.inbound))
	if !load.Closed && load.OfferedSlots >= highLoadFraction*load.CapacitySlots {
		l.highLoadAt = now
	}
	if now.Sub(l.highLoadAt) > highLoadHold {
		return max(loadInterval, loadIntervalPerLink*links)
	}
	return max(checkInterval, highLoadIntervalPerLink*links)
}

// loadFrame returns a frame with the load and the position of the state.
func (l *Linker) loadFrame() *framer.Frame {
	f := &framer.Frame{Load: fromLoad(l.handlers.Load())}
	l.setPosition(f)
	return f
}

// setPosition sets the position of the state in a frame, and whether the directory answers.
func (l *Linker) setPosition(f *framer.Frame) {
	p := l.handlers.State().Position()
	f.Era, f.Revision, f.PriorRevision = p.Era, p.Revision, p.PriorRevision
	f.Follows = l.handlers.DirectoryReachable()
}

// toPosition returns the position of the state on which the sender of a frame acts; zero if
// the frame names none.
func toPosition(f *framer.Frame) director.Position {
	return director.Position{Era: f.GetEra(), Revision: f.GetRevision(), PriorRevision: f.GetPriorRevision()}
}

// newsFrame returns the news that the node sends over its own links. The caller holds the
// lock.
func (l *Linker) newsFrame() *framer.Frame {
	f := &framer.Frame{
		News: &framer.News{
			Name:        l.self.Name,
			Incarnation: l.self.Incarnation,
			Address:     l.self.Address,
			Service:     l.self.Service,
			Domain:      l.self.Domain,
			Members:     l.membersDigest(),
		},
	}
	l.setPosition(f)
	return f
}

// fullNewsFrame returns the news that the node sends over inbound links, with its load and
// fan-outs. The caller holds the lock.
func (l *Linker) fullNewsFrame() *framer.Frame {
	f := l.newsFrame()
	f.Load = l.loadFrame().Load
	f.Suspects = fromSuspects(l.handlers.IsolatedSuspects(), l.clock.Now())
	for route, fanOut := range l.fanOuts {
		f.News.Fans = append(f.News.Fans, fromFanOut(route, fanOut))
	}
	return f
}

// peerList returns the other members in the form in which news carry them. The caller
// holds the lock.
func (l *Linker) peerList() (list []*framer.Peer) {
	for _, k := range l.links {
		list = append(list, fromMember(k.member))
	}
	return list
}

// handleCommonFields handles the fields that frames in both directions may carry: the load,
// the revision, the state and the suspects of a node, and its requests for a state or members.
func (l *Linker) handleCommonFields(s *session, m Member, f *framer.Frame) {
	if f.GetLoad() != nil && m.Name != "" {
		l.handleLoad(m, f.GetLoad())
	}
	if p := toPosition(f); p != (director.Position{}) {
		l.recordRevision(s, m, p)
	}
	if f.GetWantState() {
		l.sendState(s, l.handlers.State())
	}
	if f.GetWantPeers() {
		l.sendPeers(s)
	}
	if len(f.GetState()) > 0 {
		l.handleState(m, f.GetState())
	}
	if len(f.GetSuspects()) > 0 {
		l.handleSuspects(m, f.GetSuspects())
	}
	if len(f.GetRolloutReports()) > 0 || len(f.GetRolloutDecisions()) > 0 {
		l.handleRollouts(m, f)
	}
}

// handleNews handles news of another node and its members. direct reports whether that node
// itself is at the other end of the session. News without a name carry rumors.
func (l *Linker) handleNews(s *session, n *framer.News, direct bool) {
	if n.GetName() == "" {
		l.handlePeers(n.GetPeers(), true)
		return
	}
	m := toMember(n)
	if n.GetGone() {
		l.RemoveMember(m)
		return
	}
	l.AddMember(m, direct)
	l.handlePeers(n.GetPeers(), false)
	if len(n.GetFans()) > 0 {
		l.handleFanOuts(m, n.GetFans())
	}
	l.requestPeersIfDifferent(s, n)
}

// handleLoad passes on the load that a node reports, unless a number is out of range.
func (l *Linker) handleLoad(m Member, message *framer.Load) {
	load, err := toLoad(message)
	if err != nil {
		l.logger.Warnf("load from node %s discarded: %v", m.Name, err)
		return
	}
	l.handlers.ReceiveLoad(m, load)
}

// handleFanOuts passes on the fan-outs that a node reports, unless a number is out of range.
func (l *Linker) handleFanOuts(m Member, list []*framer.Fans) {
	fanOuts := toFanOuts(list)
	for route, fanOut := range fanOuts {
		if err := fanOut.Validate(); err != nil {
			l.logger.Warnf("fan-outs from node %s discarded, route %q: %v", m.Name, route, err)
			return
		}
	}
	l.handlers.ReceiveFanOuts(m, fanOuts)
}

// requestPeersIfDifferent requests the members that another node knows if their digest
// differs from that of this node's members.
func (l *Linker) requestPeersIfDifferent(s *session, n *framer.News) {
	l.mu.Lock()
	defer l.mu.Unlock()
	same := n.GetMembers() == l.membersDigest()
	if same || len(n.GetPeers()) > 0 {
		l.recordMembersReceived()
	}
	now := l.clock.Now()
	switch {
	case same, now.Sub(l.peersRequestedAt) < peersRequestInterval:
		return
	case l.membersReceived && now.Sub(s.startedAt) < secondNewsDelay/2:
		// Changes that explain the difference are mostly still on their way.
		return
	}
	l.peersRequestedAt = now
	s.enqueue(&framer.Frame{WantPeers: true})
}

// recordRevision records that a node acts on a newer state. The newest state wins; among
// equals, a node in this node's failure domain does.
func (l *Linker) recordRevision(s *session, m Member, p director.Position) {
	if !p.NewerThan(l.handlers.State().Position()) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sameDomain := m.Domain == l.self.Domain
	if p.NewerThan(l.newerState.position) || p == l.newerState.position && sameDomain && !l.newerState.sameDomain {
		l.newerState = newerState{session: s, position: p, sameDomain: sameDomain}
	}
}

// handleState decodes a state that another node has sent and passes it on.
func (l *Linker) handleState(m Member, data []byte) {
	var state director.State
	if err := json.Unmarshal(data, &state); err != nil {
		l.logger.Warnf("state from node %s discarded, expected JSON: %v", m.Name, err)
		return
	}
	if state.Config != nil {
		if err := state.Config.Validate(); err != nil {
			l.logger.Warnf("state from node %s discarded: %v", m.Name, err)
			return
		}
	}
	for i := range state.Rollouts {
		if err := state.Rollouts[i].Validate(); err != nil {
			l.logger.Warnf("state from node %s discarded: %v", m.Name, err)
			return
		}
	}
	l.handlers.ReceiveState(state)
}

// sendState sends a state to a node that has requested it.
func (l *Linker) sendState(s *session, state director.State) {
	cached := l.encodedState.Load()
	if cached == nil || cached.position != state.Position() {
		data, err := json.Marshal(state)
		if err != nil {
			l.logger.Errorf("encoding of the state with revision %d of era %d failed: %v", state.Revision, state.Era, err)
			return
		}
		cached = &encodedState{position: state.Position(), data: data}
		l.encodedState.Store(cached)
	}
	s.enqueue(&framer.Frame{State: cached.data})
}

// sendPeers sends the members to a node that has requested them.
func (l *Linker) sendPeers(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.newsFrame()
	f.News.Peers = l.peerList()
	s.enqueue(f)
}

// updateFanOuts replaces the fan-outs that are sent if the present ones differ enough and
// fanOutInterval has passed since the last change. It reports whether it did.
func (l *Linker) updateFanOuts(fanOuts map[string]FanOut) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now.Sub(l.fanOutsChangedAt) < fanOutInterval || !FanOutsDiffer(l.fanOuts, fanOuts) {
		return false
	}
	l.fanOuts = fanOuts
	l.fanOutsChangedAt = now
	l.fanOutsVersion++
	return true
}

// FanOutsDiffer reports whether two sets of fan-outs, by the route of the runs, differ by
// more than the thresholds of this package.
func FanOutsDiffer(previous, present map[string]FanOut) bool {
	return hasUnmatchedFanOut(previous, present) || hasUnmatchedFanOut(present, previous)
}

// hasUnmatchedFanOut reports whether b lacks a fan-out of a or has one that differs too much.
func hasUnmatchedFanOut(a, b map[string]FanOut) bool {
	for route, fanOut := range a {
		if fanOut.Runs > runsChangeFactor*b[route].Runs {
			return true
		}
		if fanOut.ServiceTime.Seconds() > serviceTimeChangeFactor*b[route].ServiceTime.Seconds() {
			return true
		}
		for called, calls := range fanOut.Calls {
			if math.Abs(calls-b[route].Calls[called]) > max(minFanOutChangeCalls, fanOutChangeFraction*calls) {
				return true
			}
		}
	}
	return false
}

// sendDueUpdates sends the news or the load over an inbound link if they are due, the load
// loadSendInterval after the last one. The caller holds the lock.
func (l *Linker) sendDueUpdates(r *inboundSession, now time.Time, loadSendInterval time.Duration) {
	switch {
	case now.Sub(r.newsSentAt) >= newsInterval, r.fanOutsVersion != l.fanOutsVersion:
		r.newsSentAt, r.loadSentAt, r.fanOutsVersion = now, now, l.fanOutsVersion
		r.session.enqueue(l.fullNewsFrame())
	case now.Sub(r.loadSentAt) >= loadSendInterval:
		r.loadSentAt = now
		r.session.enqueue(l.loadFrame())
	}
}
