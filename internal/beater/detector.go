// Package beater exchanges heartbeats between nodes: who lives, what has been
// decided, which views are acknowledged and how loaded the backend servers are.
package beater

import (
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
)

const (
	// Interval is the default time between two heartbeats to the same node.
	DefaultInterval = time.Second

	// evictAfter is how many intervals a member must be suspected.
	evictAfter = 3
	// evictBurst is how many members may be evicted at once; then one in each
	// interval.
	evictBurst  = 3
	maxFailures = 3
	maxProbes   = 4
	// quietAfter is how many intervals a member may say nothing before it is
	// asked.
	quietAfter = 2
	// toldFor is how many intervals a word about suspects counts.
	toldFor = 3
	// largeDomain is the size of a failure domain above which members beat to
	// their delegate in every other interval only.
	largeDomain = 24
	// smallView is the size up to which every node tells its peers all
	// attestations that it knows.
	smallView = 8
)

type (
	// Detector decides to whom a node sends heartbeats, whom it suspects and
	// whom it proposes to evict. A node beats to its failure domain's
	// delegate and to its successor in the domain; delegates beat to each
	// other. It has no clock and is not safe for concurrent use.
	Detector struct {
		self     holder.Identity
		interval time.Duration
		view     holder.View
		links    map[uint64]*link
		// domains are the members of each failure domain, sorted by name.
		domains map[string][]folder.Member
		// delegates are kept until a suspicion changes.
		delegates map[string]folder.Member
		// tokens bound the evictions.
		tokens   float64
		refilled time.Time
		// ticks counts the heartbeats.
		ticks uint64
	}

	// link is what the node knows of another member.
	link struct {
		// heard is when the member last answered or asked.
		heard time.Time
		// told is when the member last told its suspects.
		told     time.Time
		suspects []uint64
		failures int
		// suspected is since when the member doesn't answer; zero when it
		// does.
		suspected time.Time
		// wanted is set when somebody else suspects the member.
		wanted bool
	}
)

// NewDetector returns the detector of a node that knows no view yet and sends
// heartbeats at that interval.
func NewDetector(self holder.Identity, interval time.Duration) *Detector {
	return &Detector{
		interval:  interval,
		self:      self,
		links:     map[uint64]*link{},
		delegates: map[string]folder.Member{},
		tokens:    evictBurst,
	}
}

// Advance takes a new view.
func (d *Detector) SetView(now time.Time, v holder.View) {
	if v.Offset == d.view.Offset {
		return
	}
	d.view = v
	d.domains = map[string][]folder.Member{}
	d.delegates = map[string]folder.Member{}
	links := map[uint64]*link{}
	for _, m := range v.Members {
		d.domains[m.Domain] = append(d.domains[m.Domain], m)
		links[m.JoinOffset] = d.links[m.JoinOffset]
		if links[m.JoinOffset] == nil {
			links[m.JoinOffset] = &link{heard: now}
		}
	}
	d.links = links
}

// Delegate returns the member that speaks for a failure domain: the first in
// rendezvous order that the node does not suspect.
func (d *Detector) Delegate(domain string) (m folder.Member, found bool) {
	m, found = d.delegates[domain]
	if found {
		return m, true
	}
	alive := slices.DeleteFunc(slices.Clone(d.domains[domain]), d.suspected)
	m, found = holder.View{Members: alive}.Owner(holder.Resource{Name: "delegate"})
	if found {
		d.delegates[domain] = m
	}
	return m, found
}

// Evictions returns the members that the node proposes to evict now: those that
// are silent to it and to everybody else who watches them, at a bounded rate.
// Only one node, the delegate, proposes for a failure domain; for one that is
// silent as a whole, the delegate of another. majority tells whether the node
// hears a majority of the view: a minority evicts nobody.
func (d *Detector) ProposeEvictions(now time.Time, majority bool) (list []folder.Member) {
	d.refill(now)
	if !majority || !d.isDelegate() {
		return nil
	}
	for _, m := range d.view.Members {
		l := d.links[m.JoinOffset]
		if d.tokens < 1 {
			return list
		}
		if d.suspected(m) && now.Sub(l.suspected) >= evictAfter*d.interval && d.evicts(m.Domain) && d.confirmed(now, m) {
			d.tokens--
			// The eviction is in force soon; it is not proposed again before.
			l.suspected = now
			list = append(list, m)
		}
	}
	return list
}

// Failed tells that a member did not answer a heartbeat.
func (d *Detector) RecordFailure(now time.Time, since uint64) {
	l := d.links[since]
	if l == nil {
		return
	}
	l.wanted = false
	l.failures++
	if l.failures >= maxFailures && l.suspected.IsZero() {
		l.suspected = now
		d.delegates = map[string]folder.Member{}
	}
}

// Heard tells that a member answered a heartbeat or sent one, and whom it
// suspects.
func (d *Detector) RecordHeartbeat(now time.Time, since uint64, suspects []uint64) {
	l := d.links[since]
	if l == nil {
		return
	}
	if !l.suspected.IsZero() {
		d.delegates = map[string]folder.Member{}
	}
	*l = link{heard: now, told: now, suspects: suspects}
	for _, s := range suspects {
		if other := d.links[s]; other != nil && now.Sub(other.heard) > quietAfter*d.interval {
			other.wanted = true
		}
	}
}

// IsDelegate reports whether the member speaks for its failure domain.
func (d *Detector) IsDelegate(m folder.Member) bool {
	delegate, found := d.Delegate(m.Domain)
	return found && delegate.JoinOffset == m.JoinOffset
}

// Small reports whether the view is small enough for every node to tell its
// peers all attestations that it knows.
func (d *Detector) IsSmallView() bool {
	return len(d.view.Members) <= smallView
}

// Suspects returns the members that don't answer the node.
func (d *Detector) Suspects() (list []uint64) {
	for _, m := range d.view.Members {
		if d.suspected(m) {
			list = append(list, m.JoinOffset)
		}
	}
	return list
}

// Targets returns the members to which the node sends its next heartbeat.
func (d *Detector) HeartbeatTargets(now time.Time) (list []folder.Member) {
	self, found := d.me()
	if !found {
		return d.strangers(now)
	}
	add := func(m folder.Member, found bool) {
		if found && m.JoinOffset != self.JoinOffset && !slices.ContainsFunc(list, func(l folder.Member) bool { return l.JoinOffset == m.JoinOffset }) {
			list = append(list, m)
		}
	}
	d.ticks++
	if (d.ticks+self.JoinOffset)%d.period(self.Domain) == 0 {
		add(d.Delegate(self.Domain))
	}
	add(d.successor(self))
	if d.IsDelegate(self) {
		for domain := range d.domains {
			m, found := d.Delegate(domain)
			add(m, found && (self.Name < m.Name || d.quiet(now, m)))
		}
	}
	probes := 0
	for _, m := range d.probed(now, self) {
		if probes == maxProbes {
			break
		}
		probes++
		add(m, true)
	}
	return list
}

// confirmed reports whether everybody who watches m and was heard lately
// suspects it too, and at least one does.
func (d *Detector) confirmed(now time.Time, m folder.Member) bool {
	witnesses := 0
	for _, w := range d.view.Members {
		l := d.links[w.JoinOffset]
		if w.JoinOffset == m.JoinOffset || d.isSelf(w) || d.suspected(w) || now.Sub(l.told) > toldFor*d.interval || !d.watches(w, m) {
			continue
		}
		if !slices.Contains(l.suspects, m.JoinOffset) {
			return false
		}
		witnesses++
	}
	return witnesses > 0
}

// evicts reports whether the node proposes evictions in that failure domain.
func (d *Detector) evicts(domain string) bool {
	self, _ := d.me()
	if domain == self.Domain {
		return true
	}
	if _, alive := d.Delegate(domain); alive {
		return false
	}
	var others []folder.Member
	for other := range d.domains {
		if m, found := d.Delegate(other); found {
			others = append(others, m)
		}
	}
	slices.SortFunc(others, func(a, b folder.Member) int { return int(a.JoinOffset) - int(b.JoinOffset) })
	first, found := holder.View{Members: others}.Owner(holder.Resource{Name: "evict " + domain})
	return found && first.JoinOffset == self.JoinOffset
}

func (d *Detector) isDelegate() bool {
	self, found := d.me()
	return found && d.IsDelegate(self)
}

func (d *Detector) isSelf(m folder.Member) bool {
	return m.Name == d.self.Name && m.Incarnation == d.self.Incarnation
}

// me returns the node's own member.
func (d *Detector) me() (m folder.Member, found bool) {
	i := slices.IndexFunc(d.view.Members, d.isSelf)
	if i < 0 {
		return folder.Member{}, false
	}
	return d.view.Members[i], true
}

// neighbour reports whether one of the two follows the other in the ring of
// their failure domain.
func (d *Detector) neighbour(a, b folder.Member) bool {
	ring := d.domains[a.Domain]
	if a.Domain != b.Domain {
		return false
	}
	i := slices.IndexFunc(ring, func(m folder.Member) bool { return m.JoinOffset == a.JoinOffset })
	j := slices.IndexFunc(ring, func(m folder.Member) bool { return m.JoinOffset == b.JoinOffset })
	gap := (i - j + len(ring)) % len(ring)
	return gap == 1 || gap == len(ring)-1
}

// near returns the members of the node's failure domain, by the offsets of
// their join records.
func (d *Detector) near() map[uint64]bool {
	near := map[uint64]bool{}
	self, _ := d.me()
	for _, m := range d.domains[self.Domain] {
		near[m.JoinOffset] = true
	}
	return near
}

// period is in how many intervals a member beats to its delegate once.
func (d *Detector) period(domain string) uint64 {
	if len(d.domains[domain]) > largeDomain {
		return 2
	}
	return 1
}

// probed returns the members that the node watches, from which it has heard
// nothing lately; those that somebody else suspects first.
func (d *Detector) probed(now time.Time, self folder.Member) (list []folder.Member) {
	for _, m := range d.view.Members {
		l := d.links[m.JoinOffset]
		switch {
		case d.isSelf(m) || !d.watches(self, m):
		case l.wanted:
			list = slices.Insert(list, 0, m)
		case d.suspected(m) || m.Domain == self.Domain && d.quiet(now, m) && d.IsDelegate(self):
			list = append(list, m)
		}
	}
	if len(list) > maxProbes {
		// The others take their turn with the seconds.
		shift := int(now.Unix()%int64(len(list))) * maxProbes % len(list)
		list = append(list[shift:], list[:shift]...)
	}
	return list
}

func (d *Detector) quiet(now time.Time, m folder.Member) bool {
	return now.Sub(d.links[m.JoinOffset].heard) > quietAfter*time.Duration(d.period(m.Domain))*d.interval
}

func (d *Detector) refill(now time.Time) {
	if !d.refilled.IsZero() {
		d.tokens = min(evictBurst, d.tokens+now.Sub(d.refilled).Seconds()/d.interval.Seconds())
	}
	d.refilled = now
}

// strangers returns a few members for a node that stands outside the view.
func (d *Detector) strangers(now time.Time) (list []folder.Member) {
	members := d.view.Members
	for i := range min(3, len(members)) {
		list = append(list, members[(int(now.Unix())*3+i)%len(members)])
	}
	return list
}

// successor returns the next member in the ring of the failure domain that the
// node doesn't suspect.
func (d *Detector) successor(self folder.Member) (m folder.Member, found bool) {
	ring := d.domains[self.Domain]
	i := slices.IndexFunc(ring, d.isSelf)
	for k := 1; k < len(ring); k++ {
		m := ring[(i+k)%len(ring)]
		if !d.suspected(m) {
			return m, true
		}
	}
	return folder.Member{}, false
}

func (d *Detector) suspected(m folder.Member) bool {
	l := d.links[m.JoinOffset]
	return l != nil && !l.suspected.IsZero()
}

// watches reports whether w shall know if m lives: its neighbours in the ring
// and all delegates do.
func (d *Detector) watches(w, m folder.Member) bool {
	return d.neighbour(w, m) || d.IsDelegate(w)
}
