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

// Each fault makes the model break one rule.
const (
	faultNone fault = iota
	faultAckBeforeFold
	faultProofFromAnswerTime
	faultAttestPreviousOffset
	faultClockDriftBeyondMargin
	faultIgnoreAttestationAge
	faultLeaveBeforeStop
	faultAcceptNewerProof
)

type (
	fault int

	// model simulates nodes, each with a clock of its own rate, a log and a
	// network that loses and delays messages. pick makes all random choices:
	// it returns a number from 0 to n-1.
	model struct {
		pick      func(n int) int
		fault     fault
		now       time.Duration
		records   []folder.Record
		outage    bool
		nodes     []*modelNode
		messages  []message
		resources []Resource
		// checksWithHolder counts the checks that found a holder,
		// holderChanges counts the changes of holders.
		checksWithHolder, holderChanges int
		lastHolders                     map[Resource]string
	}

	message struct {
		from, to int
		// incarnation is the incarnation of the node that sent the question.
		incarnation string
		sentAt      time.Time
		// answer is nil until the question is answered.
		answer *answer
	}

	answer struct {
		records      []folder.Record
		firstOffset  uint64
		tailOffset   uint64
		fromLog      bool
		incarnation  string
		proof        Proof
		attestations []agedAttestation
		acks         []Ack
		viewFloor    uint64
	}

	agedAttestation struct {
		joinOffset, offset uint64
		age                time.Duration
	}

	modelNode struct {
		identity       Identity
		clockRate      float64
		partition      int
		paused         bool
		stopped        bool
		leaving        bool
		state          *folder.State
		freshness      *Freshness
		ownership      *Ownership
		previousOffset uint64
	}
)

func newModel(pick func(n int) int, f fault) *model {
	m := &model{pick: pick, fault: f, lastHolders: map[Resource]string{}}
	for i := range 3 {
		m.resources = append(m.resources, Resource{Name: fmt.Sprint("resource", i)})
	}
	for i := range modelNodes {
		clockRate := 1 + float64(pick(41)-20)/1000
		if f == faultClockDriftBeyondMargin {
			clockRate = 0.4 + 0.6*float64(pick(2))
		}
		m.nodes = append(m.nodes, &modelNode{clockRate: clockRate})
		m.startNode(i)
	}
	return m
}

// append adds a record to the log unless the log is down.
func (m *model) append(r folder.Record) {
	if !m.outage {
		m.records = append(m.records, r)
	}
}

func (m *model) sendQuestion(from, to int) {
	n := m.nodes[from]
	if n.idle() {
		return
	}
	m.messages = append(m.messages, message{from: from, to: to, incarnation: n.identity.Incarnation, sentAt: m.clock(n)})
}

// check returns an error when two nodes hold the same resource.
func (m *model) check() error {
	for _, r := range m.resources {
		holder := ""
		for _, n := range m.nodes {
			if n.idle() || !n.ownership.MayUse(m.clock(n), r) {
				continue
			}
			if holder != "" {
				return fmt.Errorf("%s and %s both hold %s at %s", holder, n.identity.Name, r.Name, m.now)
			}
			holder = n.identity.Name
		}
		if holder == "" {
			continue
		}
		m.checksWithHolder++
		if m.lastHolders[r] != holder {
			m.lastHolders[r] = holder
			m.holderChanges++
		}
	}
	return nil
}

func (m *model) clock(n *modelNode) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(m.now) * n.clockRate)).Add(time.Hour)
}

// deliver delivers message i, a question or its answer, or loses it.
func (m *model) deliver(i int) {
	msg := m.messages[i]
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	if m.pick(16) == 0 || !m.reaches(msg.from, msg.to) {
		return
	}
	if msg.answer == nil {
		m.answerQuestion(msg)
		return
	}
	n := m.nodes[msg.from]
	if n.idle() || n.identity.Incarnation != msg.incarnation {
		return
	}
	m.applyAnswer(n, msg)
}

// fold applies those of the records that the node lacks. first is the offset of
// records[0].
func (m *model) fold(n *modelNode, first uint64, records []folder.Record) {
	for i, r := range records {
		offset := first + uint64(i)
		if offset != n.state.Offset+1 {
			continue
		}
		n.previousOffset = n.state.Offset
		n.state, _ = n.state.Fold(offset, r)
		left := uint64(0)
		if r.Kind == folder.KindLeave {
			left = r.Member.JoinOffset
		}
		n.ownership.ApplyState(m.clock(n), n.state, left)
	}
}

// reaches reports whether a message can pass from one node to another. The log is
// node -1 and is in partition 0.
func (m *model) reaches(from, to int) bool {
	if to < 0 {
		return !m.outage && m.nodes[from].partition == 0
	}
	return m.nodes[from].partition == m.nodes[to].partition
}

func (m *model) answerQuestion(msg message) {
	a := &answer{}
	msg.answer = a
	if msg.to < 0 {
		a.fromLog, a.firstOffset, a.tailOffset = true, 1, uint64(len(m.records))
		a.records = m.records
		m.messages = append(m.messages, msg)
		return
	}
	n := m.nodes[msg.to]
	if n.idle() {
		return
	}
	now := m.clock(n)
	a.incarnation = n.identity.Incarnation
	a.firstOffset, a.records = 1, m.records[:n.state.Offset]
	a.proof = n.freshness.Proof(now)
	if self, found := n.joinOffset(); found {
		offset := n.state.Offset
		if m.fault == faultAttestPreviousOffset {
			offset = n.previousOffset
		}
		a.attestations = append(a.attestations, agedAttestation{joinOffset: self, offset: offset})
	}
	for _, known := range n.freshness.Attestations(now.Add(-modelBound)) {
		age := now.Sub(known.Time)
		if m.fault == faultIgnoreAttestationAge {
			age = 0
		}
		a.attestations = append(a.attestations, agedAttestation{known.MemberJoinOffset, known.Offset, age})
	}
	a.acks, _ = n.ownership.Acks(0)
	a.viewFloor = n.ownership.ViewFloor(now)
	m.messages = append(m.messages, msg)
}

// startNode starts a new process of node i, which joins through the log.
func (m *model) startNode(i int) {
	n := m.nodes[i]
	id := Identity{Name: fmt.Sprint("node", i), Incarnation: fmt.Sprint(len(m.records), "-", m.now)}
	*n = modelNode{identity: id, clockRate: n.clockRate, partition: n.partition, state: &folder.State{}}
	n.freshness = NewFreshness(id, modelBound)
	n.ownership = NewOwnership(n.freshness)
	m.appendJoin(n)
}

func (m *model) appendJoin(n *modelNode) {
	r := folder.NewRecord(folder.KindJoin)
	r.Member = &folder.Member{Name: n.identity.Name, Incarnation: n.identity.Incarnation, PeerAddress: n.identity.Name}
	m.append(r)
}

// step takes one random step of the simulation.
func (m *model) step() {
	i := m.pick(modelNodes)
	n := m.nodes[i]
	switch m.pick(40) {
	case 0:
		m.outage = !m.outage
	case 1:
		n.partition = m.pick(2)
	case 2:
		n.paused = !n.paused && m.pick(2) == 0
	case 3:
		if m.pick(4) == 0 {
			m.startNode(i)
		}
	case 4:
		m.appendEvict(n)
	case 5:
		m.leave(n)
	case 6, 7:
		if _, found := n.joinOffset(); !found && !n.idle() && !n.leaving {
			m.appendJoin(n)
		}
	case 8:
		m.now += time.Duration(m.pick(60)) * modelStep
	case 9, 10, 11, 12, 13, 14:
		m.now += time.Duration(m.pick(8)) * modelStep
	case 15, 16, 17, 18:
		for i := range m.nodes {
			m.sendQuestion(i, -1)
		}
	case 19, 20, 21, 22, 23, 24:
		for i := range m.nodes {
			m.sendQuestion(i, m.pick(modelNodes))
			m.sendQuestion(i, m.pick(modelNodes))
		}
	default:
		for range min(10, len(m.messages)) {
			m.deliver(m.pick(len(m.messages)))
		}
	}
}

func (m *model) appendEvict(n *modelNode) {
	r := folder.NewRecord(folder.KindEvict)
	r.Member = &folder.Member{Name: n.identity.Name, Incarnation: n.identity.Incarnation}
	m.append(r)
}

// leave stops n and then appends its leave record.
func (m *model) leave(n *modelNode) {
	joinOffset, found := n.joinOffset()
	if !found || n.idle() || m.outage || n.partition != 0 || m.pick(3) > 0 {
		return
	}
	n.leaving = true
	n.stopped = m.fault != faultLeaveBeforeStop
	r := folder.NewRecord(folder.KindLeave)
	r.Member = &folder.Member{Name: n.identity.Name, Incarnation: n.identity.Incarnation, JoinOffset: joinOffset}
	m.append(r)
}

func (m *model) applyAnswer(n *modelNode, msg message) {
	a := msg.answer
	sentAt := msg.sentAt
	if m.fault == faultProofFromAnswerTime {
		sentAt = m.clock(n)
	}
	if a.fromLog || m.pick(2) == 0 {
		m.fold(n, a.firstOffset, a.records)
	}
	if a.fromLog {
		n.freshness.RecordLogRead(sentAt, a.tailOffset)
		return
	}
	if m.fault == faultAcceptNewerProof {
		a.proof.Offset = min(a.proof.Offset, n.state.Offset)
	}
	n.freshness.RecordPeerProof(sentAt, a.proof)
	for _, attestation := range a.attestations {
		n.freshness.RecordAttestations(Attestation{MemberJoinOffset: attestation.joinOffset, Time: sentAt.Add(-attestation.age), Offset: attestation.offset})
	}
	n.ownership.RaiseViewFloor(a.viewFloor)
	n.ownership.RecordAcks(m.clock(n), a.acks...)
	if m.fault == faultAckBeforeFold && a.proof.Offset > n.state.Offset {
		if self, found := n.joinOffset(); found {
			n.ownership.RecordAcks(m.clock(n), Ack{ViewOffset: a.proof.Offset, MemberJoinOffsets: []uint64{self}})
		}
	}
}

func (n *modelNode) idle() bool {
	return n.paused || n.stopped
}

func (n *modelNode) joinOffset() (offset uint64, found bool) {
	m, found := n.state.Member(n.identity.Name)
	return m.JoinOffset, found && m.Incarnation == n.identity.Incarnation
}
