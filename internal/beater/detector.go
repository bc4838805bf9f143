// Package beater exchanges heartbeats between nodes. They detect failed nodes and
// carry proofs of freshness, acknowledged views and the loads of backend servers.
package beater

import (
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
)

const (
	// DefaultInterval is the default time between two heartbeats to the same
	// node.
	DefaultInterval = time.Second

	// evictAfterIntervals is how many intervals a member must be suspected
	// before it is evicted.
	evictAfterIntervals = 3
	// evictionBurst is how many members may be evicted at once. After that,
	// one may be evicted in each interval.
	evictionBurst = 3
	// failuresToSuspect is how many heartbeats in a row a member must leave
	// unanswered before it is suspected.
	failuresToSuspect = 3
	// maxProbes is the maximum number of members that a node probes in one
	// round of heartbeats.
	maxProbes = 4
	// quietIntervals is how many intervals may pass without a heartbeat from
	// a member before it is probed.
	quietIntervals = 2
	// suspectsValidIntervals is how many intervals a received list of suspects
	// is valid.
	suspectsValidIntervals = 3
	// largeDomainMembers is the size of a failure domain above which members
	// send heartbeats to their delegate only in every second interval.
	largeDomainMembers = 24
	// smallViewMembers is the size of the view up to which every node sends
	// its peers all attestations that it knows.
	smallViewMembers = 8
)

type (
	// Detector is a failure detector. It decides to which members a node
	// sends heartbeats, which members it suspects and which it proposes to
	// evict. A node sends heartbeats to the delegate of its failure domain
	// and to its successor in the ring of that domain; delegates send them to
	// each other. A Detector has no clock and is not safe for concurrent use.
	Detector struct {
		self     holder.Identity
		interval time.Duration
		view     holder.View
		// memberStates are what the node knows of the members, by join offset.
		memberStates map[uint64]*memberState
		// membersByDomain are the members of each failure domain, sorted by
		// name.
		membersByDomain map[string][]folder.Member
		// delegatesByDomain caches the delegates until a suspicion changes.
		delegatesByDomain map[string]folder.Member
		// evictionTokens limit the rate of evictions.
		evictionTokens float64
		refilledAt     time.Time
		// heartbeatRounds counts the rounds of heartbeats.
		heartbeatRounds uint64
	}

	// memberState is what the node knows of another member.
	memberState struct {
		// heardAt is when the member last sent or answered a heartbeat.
		heardAt time.Time
		// suspectsReceivedAt is when the member last sent its suspects.
		suspectsReceivedAt time.Time
		suspects           []uint64
		failures           int
		// suspectedSince is when the suspicion of the member began, or when the
		// node last proposed its eviction. It is zero if the member is not
		// suspected.
		suspectedSince time.Time
		// probeWanted is set when another node suspects the member.
		probeWanted bool
	}
)

// NewDetector returns the detector of a node that knows no view yet. interval is
// the time between two heartbeats to the same node.
func NewDetector(self holder.Identity, interval time.Duration) *Detector {
	return &Detector{
		interval:          interval,
		self:              self,
		memberStates:      map[uint64]*memberState{},
		delegatesByDomain: map[string]folder.Member{},
		evictionTokens:    evictionBurst,
	}
}

// SetView replaces the view and keeps what is known of its members.
func (d *Detector) SetView(now time.Time, v holder.View) {
	if v.Offset == d.view.Offset {
		return
	}
	d.view = v
	d.membersByDomain = map[string][]folder.Member{}
	d.delegatesByDomain = map[string]folder.Member{}
	states := map[uint64]*memberState{}
	for _, m := range v.Members {
		d.membersByDomain[m.Domain] = append(d.membersByDomain[m.Domain], m)
		states[m.JoinOffset] = d.memberStates[m.JoinOffset]
		if states[m.JoinOffset] == nil {
			states[m.JoinOffset] = &memberState{heardAt: now}
		}
	}
	d.memberStates = states
}

// Delegate returns the delegate of a failure domain: the first member in
// rendezvous order that the node does not suspect.
func (d *Detector) Delegate(domain string) (m folder.Member, found bool) {
	m, found = d.delegatesByDomain[domain]
	if found {
		return m, true
	}
	alive := slices.DeleteFunc(slices.Clone(d.membersByDomain[domain]), d.isSuspected)
	m, found = holder.View{Members: alive}.Owner(holder.Resource{Name: "delegate"})
	if found {
		d.delegatesByDomain[domain] = m
	}
	return m, found
}

// ProposeEvictions returns the members that the node proposes to evict now, at a
// limited rate: those that it suspects and that all other members which watch them
// suspect too. Only the delegate of a failure domain proposes evictions in it. If
// all members of a domain are suspected, the delegate of another domain does.
// hearsMajority is whether the node hears a majority of the view; without one it
// proposes nothing.
func (d *Detector) ProposeEvictions(now time.Time, hearsMajority bool) (list []folder.Member) {
	d.refillEvictionTokens(now)
	if !hearsMajority || !d.selfIsDelegate() {
		return nil
	}
	for _, m := range d.view.Members {
		s := d.memberStates[m.JoinOffset]
		if d.evictionTokens < 1 {
			return list
		}
		if d.isSuspected(m) && now.Sub(s.suspectedSince) >= evictAfterIntervals*d.interval && d.proposesEvictionsIn(m.Domain) && d.confirmedByWitnesses(now, m) {
			d.evictionTokens--
			// Gives the eviction time to take effect before it is proposed
			// again.
			s.suspectedSince = now
			list = append(list, m)
		}
	}
	return list
}

// RecordFailure records that a member did not answer a heartbeat.
func (d *Detector) RecordFailure(now time.Time, joinOffset uint64) {
	s := d.memberStates[joinOffset]
	if s == nil {
		return
	}
	s.probeWanted = false
	s.failures++
	if s.failures >= failuresToSuspect && s.suspectedSince.IsZero() {
		s.suspectedSince = now
		d.delegatesByDomain = map[string]folder.Member{}
	}
}

// RecordHeartbeat records that a member sent or answered a heartbeat, and which
// members it suspects.
func (d *Detector) RecordHeartbeat(now time.Time, joinOffset uint64, suspects []uint64) {
	sender := d.memberStates[joinOffset]
	if sender == nil {
		return
	}
	if !sender.suspectedSince.IsZero() {
		d.delegatesByDomain = map[string]folder.Member{}
	}
	*sender = memberState{heardAt: now, suspectsReceivedAt: now, suspects: suspects}
	for _, s := range suspects {
		if other := d.memberStates[s]; other != nil && now.Sub(other.heardAt) > quietIntervals*d.interval {
			other.probeWanted = true
		}
	}
}

// IsDelegate reports whether the member is the delegate of its failure domain.
func (d *Detector) IsDelegate(m folder.Member) bool {
	delegate, found := d.Delegate(m.Domain)
	return found && delegate.JoinOffset == m.JoinOffset
}

// IsSmallView reports whether the view is small enough for every node to send its
// peers all attestations that it knows.
func (d *Detector) IsSmallView() bool {
	return len(d.view.Members) <= smallViewMembers
}

// Suspects returns the join offsets of the members that the node suspects.
func (d *Detector) Suspects() (list []uint64) {
	for _, m := range d.view.Members {
		if d.isSuspected(m) {
			list = append(list, m.JoinOffset)
		}
	}
	return list
}

// HeartbeatTargets returns the members to which the node sends its next round of
// heartbeats.
func (d *Detector) HeartbeatTargets(now time.Time) (list []folder.Member) {
	self, found := d.selfMember()
	if !found {
		return d.targetsOutsideView(now)
	}
	add := func(m folder.Member, found bool) {
		if found && m.JoinOffset != self.JoinOffset && !slices.ContainsFunc(list, func(l folder.Member) bool { return l.JoinOffset == m.JoinOffset }) {
			list = append(list, m)
		}
	}
	d.heartbeatRounds++
	if (d.heartbeatRounds+self.JoinOffset)%d.delegatePeriodIntervals(self.Domain) == 0 {
		add(d.Delegate(self.Domain))
	}
	add(d.successor(self))
	if d.IsDelegate(self) {
		for domain := range d.membersByDomain {
			m, found := d.Delegate(domain)
			add(m, found && (self.Name < m.Name || d.isQuiet(now, m)))
		}
	}
	probes := 0
	for _, m := range d.probeCandidates(now, self) {
		if probes == maxProbes {
			break
		}
		probes++
		add(m, true)
	}
	return list
}

// confirmedByWitnesses reports whether all members that watch m and have recently
// sent their suspects suspect it too. There must be at least one.
func (d *Detector) confirmedByWitnesses(now time.Time, m folder.Member) bool {
	witnesses := 0
	for _, w := range d.view.Members {
		s := d.memberStates[w.JoinOffset]
		if w.JoinOffset == m.JoinOffset || d.isSelf(w) || d.isSuspected(w) || now.Sub(s.suspectsReceivedAt) > suspectsValidIntervals*d.interval || !d.watches(w, m) {
			continue
		}
		if !slices.Contains(s.suspects, m.JoinOffset) {
			return false
		}
		witnesses++
	}
	return witnesses > 0
}

// proposesEvictionsIn reports whether the node proposes the evictions in that
// failure domain. The node must be a delegate.
func (d *Detector) proposesEvictionsIn(domain string) bool {
	self, _ := d.selfMember()
	if domain == self.Domain {
		return true
	}
	if _, alive := d.Delegate(domain); alive {
		return false
	}
	var others []folder.Member
	for other := range d.membersByDomain {
		if m, found := d.Delegate(other); found {
			others = append(others, m)
		}
	}
	slices.SortFunc(others, func(a, b folder.Member) int { return int(a.JoinOffset) - int(b.JoinOffset) })
	first, found := holder.View{Members: others}.Owner(holder.Resource{Name: "evict " + domain})
	return found && first.JoinOffset == self.JoinOffset
}

func (d *Detector) selfIsDelegate() bool {
	self, found := d.selfMember()
	return found && d.IsDelegate(self)
}

func (d *Detector) isSelf(m folder.Member) bool {
	return m.Name == d.self.Name && m.Incarnation == d.self.Incarnation
}

// selfMember returns the node's own entry in the view.
func (d *Detector) selfMember() (m folder.Member, found bool) {
	i := slices.IndexFunc(d.view.Members, d.isSelf)
	if i < 0 {
		return folder.Member{}, false
	}
	return d.view.Members[i], true
}

// areNeighbours reports whether a and b are adjacent in the ring of their failure
// domain.
func (d *Detector) areNeighbours(a, b folder.Member) bool {
	ring := d.membersByDomain[a.Domain]
	if a.Domain != b.Domain {
		return false
	}
	i := slices.IndexFunc(ring, func(m folder.Member) bool { return m.JoinOffset == a.JoinOffset })
	j := slices.IndexFunc(ring, func(m folder.Member) bool { return m.JoinOffset == b.JoinOffset })
	gap := (i - j + len(ring)) % len(ring)
	return gap == 1 || gap == len(ring)-1
}

// domainJoinOffsets returns the set of join offsets of the members of the node's
// failure domain.
func (d *Detector) domainJoinOffsets() map[uint64]bool {
	offsets := map[uint64]bool{}
	self, _ := d.selfMember()
	for _, m := range d.membersByDomain[self.Domain] {
		offsets[m.JoinOffset] = true
	}
	return offsets
}

// delegatePeriodIntervals returns the time between two heartbeats of a member to
// its delegate, in intervals.
func (d *Detector) delegatePeriodIntervals(domain string) uint64 {
	if len(d.membersByDomain[domain]) > largeDomainMembers {
		return 2
	}
	return 1
}

// probeCandidates returns the members that the node watches and may probe: those
// that another node suspects first, then those that the node itself suspects or,
// as their delegate, has not heard from recently.
func (d *Detector) probeCandidates(now time.Time, self folder.Member) (list []folder.Member) {
	for _, m := range d.view.Members {
		s := d.memberStates[m.JoinOffset]
		switch {
		case d.isSelf(m) || !d.watches(self, m):
		case s.probeWanted:
			list = slices.Insert(list, 0, m)
		case d.isSuspected(m) || m.Domain == self.Domain && d.isQuiet(now, m) && d.IsDelegate(self):
			list = append(list, m)
		}
	}
	if len(list) > maxProbes {
		// Rotates the list each second, so that all get their turn.
		shift := int(now.Unix()%int64(len(list))) * maxProbes % len(list)
		list = append(list[shift:], list[:shift]...)
	}
	return list
}

func (d *Detector) isQuiet(now time.Time, m folder.Member) bool {
	return now.Sub(d.memberStates[m.JoinOffset].heardAt) > quietIntervals*time.Duration(d.delegatePeriodIntervals(m.Domain))*d.interval
}

func (d *Detector) refillEvictionTokens(now time.Time) {
	if !d.refilledAt.IsZero() {
		d.evictionTokens = min(evictionBurst, d.evictionTokens+now.Sub(d.refilledAt).Seconds()/d.interval.Seconds())
	}
	d.refilledAt = now
}

// targetsOutsideView returns the targets of a node that is not a member of the
// view: up to three members, which change each second.
func (d *Detector) targetsOutsideView(now time.Time) (list []folder.Member) {
	members := d.view.Members
	for i := range min(3, len(members)) {
		list = append(list, members[(int(now.Unix())*3+i)%len(members)])
	}
	return list
}

// successor returns the next member in the ring of the failure domain that the
// node does not suspect.
func (d *Detector) successor(self folder.Member) (m folder.Member, found bool) {
	ring := d.membersByDomain[self.Domain]
	i := slices.IndexFunc(ring, d.isSelf)
	for k := 1; k < len(ring); k++ {
		m := ring[(i+k)%len(ring)]
		if !d.isSuspected(m) {
			return m, true
		}
	}
	return folder.Member{}, false
}

func (d *Detector) isSuspected(m folder.Member) bool {
	s := d.memberStates[m.JoinOffset]
	return s != nil && !s.suspectedSince.IsZero()
}

// watches reports whether w monitors m: the neighbours of m in the ring and all
// delegates do.
func (d *Detector) watches(w, m folder.Member) bool {
	return d.areNeighbours(w, m) || d.IsDelegate(w)
}
