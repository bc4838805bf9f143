package holder

import (
	"fmt"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

const (
	modelBound = 8 * time.Second
	modelNodes = 5
	modelStep  = 100 * time.Millisecond
)

// The rules that a broken model breaks.
const (
	faultNone fault = iota
	faultAckUnfolded
	faultAnswerTime
	faultAttestOld
	faultClockRate
	faultForgetAge
	faultLeaveEarly
	faultVouchBehind
)

type (
	fault int

	// model runs nodes, each with a clock of its own rate, a log and a network
	// that loses and delays messages. pick decides everything: it returns a
	// number from 0 to n-1.
	model struct {
		pick      func(n int) int
		fault     fault
		now       time.Duration
		records   []folder.Record
		outage    bool
		nodes     []*modelNode
		messages  []message
		resources []Resource
		// held counts the checks that found a holder, moved the changes of
		// holders.
		held, moved int
		last        map[Resource]string
	}

	message struct {
		from, to int
		// incarnation is that of the node that sent the question.
		incarnation string
		sent        time.Time
		// answer is nil until the question was served.
		answer *answer
	}

	answer struct {
		records      []folder.Record
		first        uint64
		tail         uint64
		log          bool
		incarnation  string
		proof        Proof
		attestations []aged
		acks         []Ack
		floor        uint64
	}

	aged struct {
		member, offset uint64
		age            time.Duration
	}

	modelNode struct {
		id        Identity
		rate      float64
		group     int
		paused    bool
		stopped   bool
		leaving   bool
		state     *folder.State
		freshness *Freshness
		tenure    *Ownership
		old       uint64
	}
)

func newModel(pick func(n int) int, f fault) *model {
	m := &model{pick: pick, fault: f, last: map[Resource]string{}}
	for i := range 3 {
		m.resources = append(m.resources, Resource{Name: fmt.Sprint("resource", i)})
	}
	for i := range modelNodes {
		rate := 1 + float64(pick(41)-20)/1000
		if f == faultClockRate {
			rate = 0.4 + 0.6*float64(pick(2))
		}
		m.nodes = append(m.nodes, &modelNode{rate: rate})
		m.start(i)
	}
	return m
}

// append adds a record to the log unless it is down.
func (m *model) append(r folder.Record) {
	if !m.outage {
		m.records = append(m.records, r)
	}
}

func (m *model) ask(from, to int) {
	n := m.nodes[from]
	if n.idle() {
		return
	}
	m.messages = append(m.messages, message{from: from, to: to, incarnation: n.id.Incarnation, sent: m.clock(n)})
}

// check returns an error when two nodes hold the same resource.
func (m *model) check() error {
	for _, r := range m.resources {
		holder := ""
		for _, n := range m.nodes {
			if n.idle() || !n.tenure.MayUse(m.clock(n), r) {
				continue
			}
			if holder != "" {
				return fmt.Errorf("%s and %s both hold %s at %s", holder, n.id.Name, r.Name, m.now)
			}
			holder = n.id.Name
		}
		if holder == "" {
			continue
		}
		m.held++
		if m.last[r] != holder {
			m.last[r] = holder
			m.moved++
		}
	}
	return nil
}

func (m *model) clock(n *modelNode) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(m.now) * n.rate)).Add(time.Hour)
}

// deliver moves message i one leg further, or loses it.
func (m *model) deliver(i int) {
	msg := m.messages[i]
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	if m.pick(16) == 0 || !m.reaches(msg.from, msg.to) {
		return
	}
	if msg.answer == nil {
		m.serve(msg)
		return
	}
	n := m.nodes[msg.from]
	if n.idle() || n.id.Incarnation != msg.incarnation {
		return
	}
	m.take(n, msg)
}

// fold applies the records from first on that the node lacks.
func (m *model) fold(n *modelNode, first uint64, records []folder.Record) {
	for i, r := range records {
		offset := first + uint64(i)
		if offset != n.state.Offset+1 {
			continue
		}
		n.old = n.state.Offset
		n.state, _ = n.state.Fold(offset, r)
		left := uint64(0)
		if r.Kind == folder.KindLeave {
			left = r.Member.JoinOffset
		}
		n.tenure.ApplyState(m.clock(n), n.state, left)
	}
}

// reaches reports whether a message passes; the log is node -1 and stays with
// group 0.
func (m *model) reaches(from, to int) bool {
	if to < 0 {
		return !m.outage && m.nodes[from].group == 0
	}
	return m.nodes[from].group == m.nodes[to].group
}

func (m *model) serve(msg message) {
	a := &answer{}
	msg.answer = a
	if msg.to < 0 {
		a.log, a.first, a.tail = true, 1, uint64(len(m.records))
		a.records = m.records
		m.messages = append(m.messages, msg)
		return
	}
	n := m.nodes[msg.to]
	if n.idle() {
		return
	}
	now := m.clock(n)
	a.incarnation = n.id.Incarnation
	a.first, a.records = 1, m.records[:n.state.Offset]
	a.proof = n.freshness.Proof(now)
	if self, found := n.member(); found {
		offset := n.state.Offset
		if m.fault == faultAttestOld {
			offset = n.old
		}
		a.attestations = append(a.attestations, aged{member: self, offset: offset})
	}
	for _, t := range n.freshness.Attestations(now.Add(-modelBound)) {
		age := now.Sub(t.Time)
		if m.fault == faultForgetAge {
			age = 0
		}
		a.attestations = append(a.attestations, aged{t.MemberJoinOffset, t.Offset, age})
	}
	a.acks, _ = n.tenure.Acks(0)
	a.floor = n.tenure.ViewFloor(now)
	m.messages = append(m.messages, msg)
}

// start begins a new process of node i, which joins through the log.
func (m *model) start(i int) {
	n := m.nodes[i]
	id := Identity{Name: fmt.Sprint("node", i), Incarnation: fmt.Sprint(len(m.records), "-", m.now)}
	*n = modelNode{id: id, rate: n.rate, group: n.group, state: &folder.State{}}
	n.freshness = NewFreshness(id, modelBound)
	n.tenure = NewOwnership(n.freshness)
	m.join(n)
}

func (m *model) join(n *modelNode) {
	r := folder.NewRecord(folder.KindJoin)
	r.Member = &folder.Member{Name: n.id.Name, Incarnation: n.id.Incarnation, PeerAddress: n.id.Name}
	m.append(r)
}

// step makes one random move.
func (m *model) step() {
	i := m.pick(modelNodes)
	n := m.nodes[i]
	switch m.pick(40) {
	case 0:
		m.outage = !m.outage
	case 1:
		n.group = m.pick(2)
	case 2:
		n.paused = !n.paused && m.pick(2) == 0
	case 3:
		if m.pick(4) == 0 {
			m.start(i)
		}
	case 4:
		m.evict(n)
	case 5:
		m.leave(n)
	case 6, 7:
		if _, found := n.member(); !found && !n.idle() && !n.leaving {
			m.join(n)
		}
	case 8:
		m.now += time.Duration(m.pick(60)) * modelStep
	case 9, 10, 11, 12, 13, 14:
		m.now += time.Duration(m.pick(8)) * modelStep
	case 15, 16, 17, 18:
		for i := range m.nodes {
			m.ask(i, -1)
		}
	case 19, 20, 21, 22, 23, 24:
		for i := range m.nodes {
			m.ask(i, m.pick(modelNodes))
			m.ask(i, m.pick(modelNodes))
		}
	default:
		for range min(10, len(m.messages)) {
			m.deliver(m.pick(len(m.messages)))
		}
	}
}

func (m *model) evict(n *modelNode) {
	r := folder.NewRecord(folder.KindEvict)
	r.Member = &folder.Member{Name: n.id.Name, Incarnation: n.id.Incarnation}
	m.append(r)
}

// leave stops n and then appends its own record.
func (m *model) leave(n *modelNode) {
	since, found := n.member()
	if !found || n.idle() || m.outage || n.group != 0 || m.pick(3) > 0 {
		return
	}
	n.leaving = true
	n.stopped = m.fault != faultLeaveEarly
	r := folder.NewRecord(folder.KindLeave)
	r.Member = &folder.Member{Name: n.id.Name, Incarnation: n.id.Incarnation, JoinOffset: since}
	m.append(r)
}

func (m *model) take(n *modelNode, msg message) {
	a := msg.answer
	sent := msg.sent
	if m.fault == faultAnswerTime {
		sent = m.clock(n)
	}
	if a.log || m.pick(2) == 0 {
		m.fold(n, a.first, a.records)
	}
	if a.log {
		n.freshness.RecordLogRead(sent, a.tail)
		return
	}
	if m.fault == faultVouchBehind {
		a.proof.Offset = min(a.proof.Offset, n.state.Offset)
	}
	n.freshness.RecordPeerProof(sent, a.proof)
	for _, t := range a.attestations {
		n.freshness.RecordAttestations(Attestation{MemberJoinOffset: t.member, Time: sent.Add(-t.age), Offset: t.offset})
	}
	n.tenure.RaiseViewFloor(a.floor)
	n.tenure.RecordAcks(m.clock(n), a.acks...)
	if m.fault == faultAckUnfolded && a.proof.Offset > n.state.Offset {
		if self, found := n.member(); found {
			n.tenure.RecordAcks(m.clock(n), Ack{ViewOffset: a.proof.Offset, MemberJoinOffsets: []uint64{self}})
		}
	}
}

func (n *modelNode) idle() bool {
	return n.paused || n.stopped
}

func (n *modelNode) member() (since uint64, found bool) {
	m, found := n.state.Member(n.id.Name)
	return m.JoinOffset, found && m.Incarnation == n.id.Incarnation
}
