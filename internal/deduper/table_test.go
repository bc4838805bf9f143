package deduper

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

const (
	modelReplayWindow   = 2 * time.Minute
	modelRequestTimeout = 5 * time.Second
	modelMaxSkew        = MaxClockSkew/2 - time.Millisecond
)

var modelSlot = Slot{Service: "bookdesk"}

type (
	// model has nodes with skewed clocks, one of which holds the slot, and
	// callers that resend a key until its replay window ends.
	model struct {
		t           *rapid.T
		now         time.Duration
		nodes       []*modelNode
		holder      int
		keys        []*modelKey
		attempts    []*modelAttempt
		handovers   []modelHandover
		tenureID    int
		lastAttempt uint64
	}

	modelNode struct {
		table     *Table
		clockSkew time.Duration
	}

	modelKey struct {
		digest    Digest
		createdAt time.Duration
		hasTime   bool
		clockSkew time.Duration
		runs      int
	}

	// modelAttempt is one attempt: a claim, its run and its settlement.
	modelAttempt struct {
		key       *modelKey
		attemptID uuid.UUID
		deadline  time.Duration
		mayRun    bool
		ran       bool
		outcomes  []Outcome
	}

	modelHandover struct {
		tenureID int
		content  SlotContent
	}
)

func TestMain(m *testing.M) {
	seeder.Run(m, seeder.FlagDefault{Name: "rapid.checks", Value: "400"}, seeder.FlagDefault{Name: "rapid.steps", Value: "200"})
}

func (m *model) clock(n *modelNode) time.Time {
	return time.Unix(1e9, 0).Add(m.now + n.clockSkew)
}

func (m *model) pickAttempt(t *rapid.T) *modelAttempt {
	if len(m.attempts) == 0 {
		t.Skip("no attempt")
	}
	return m.attempts[rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt")]
}

// send makes a caller send a key: a new one or one within its replay window.
func (m *model) send(t *rapid.T) {
	i := rapid.IntRange(0, len(m.keys)).Draw(t, "key")
	if i == len(m.keys) {
		k := &modelKey{
			createdAt: m.now,
			hasTime:   rapid.Bool().Draw(t, "timed"),
			clockSkew: time.Duration(rapid.Int64Range(int64(-modelMaxSkew), int64(modelMaxSkew)).Draw(t, "skew")),
		}
		k.digest = KeyDigest("bookdesk", "pond-a", fmt.Sprint(i))
		m.keys = append(m.keys, k)
	}
	k := m.keys[i]
	if !k.hasTime && m.now >= k.createdAt+modelReplayWindow {
		t.Skip("the replay window has ended")
	}
	m.lastAttempt++
	a := &modelAttempt{key: k, deadline: m.now + modelRequestTimeout}
	a.attemptID[0], a.attemptID[1] = byte(m.lastAttempt>>8), byte(m.lastAttempt)
	m.attempts = append(m.attempts, a)
}

// claim delivers the claim of an attempt, possibly late or repeatedly.
func (m *model) claim(t *rapid.T) {
	a := m.pickAttempt(t)
	n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")]
	m.deliverClaim(t, a, n, rapid.Bool().Draw(t, "answer arrives"))
}

func (m *model) deliverClaim(t *rapid.T, a *modelAttempt, n *modelNode, answerArrives bool) {
	now := m.clock(n)
	claim := Claim{KeyDigest: a.key.digest, AttemptID: a.attemptID, Claimant: "n", Deadline: now.Add(modelRequestTimeout), ReplayWindow: modelReplayWindow}
	if a.key.hasTime {
		claim.KeyTime = time.Unix(1e9, 0).Add(a.key.createdAt + a.key.clockSkew)
	}
	v, _ := n.table.Claim(now, modelSlot, claim)
	switch v {
	case VerdictRun:
		a.mayRun = answerArrives
	case VerdictTableFull:
		if a.key.runs > 0 {
			t.Fatalf("got %q for a key that has run", v)
		}
	}
}

func (m *model) run(t *rapid.T) {
	a := m.pickAttempt(t)
	if !a.mayRun || a.ran || len(a.outcomes) > 0 || m.now >= a.deadline {
		t.Skip("the attempt may not run")
	}
	m.execute(t, a)
}

func (m *model) execute(t *rapid.T, a *modelAttempt) {
	a.ran = true
	a.key.runs++
	if a.key.runs > 1 {
		t.Fatalf("got %d runs of one key, want at most 1", a.key.runs)
	}
}

// sendAndRun sends a key, claims it at the holder and runs the request if allowed.
func (m *model) sendAndRun(t *rapid.T) {
	m.send(t)
	a := m.attempts[len(m.attempts)-1]
	m.deliverClaim(t, a, m.nodes[m.holder], true)
	if a.mayRun {
		m.execute(t, a)
	}
}

// endAttempt adds an outcome that is true of the attempt.
func (m *model) endAttempt(t *rapid.T) {
	a := m.pickAttempt(t)
	switch {
	case !a.ran:
		a.outcomes = append(a.outcomes, Outcome{NotRun: true})
	case rapid.Bool().Draw(t, "complete answer"):
		a.outcomes = append(a.outcomes, Outcome{Answer: &Answer{Status: 200}})
	default:
		a.outcomes = append(a.outcomes, Outcome{})
	}
}

func (m *model) settle(t *rapid.T) {
	a := m.pickAttempt(t)
	if len(a.outcomes) == 0 {
		t.Skip("the attempt has not ended")
	}
	o := rapid.SampledFrom(a.outcomes).Draw(t, "outcome")
	n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")]
	n.table.Settle(m.clock(n), modelSlot, a.key.digest, a.attemptID, o)
}

func (m *model) moveSlot(t *rapid.T) {
	old := m.nodes[m.holder]
	content, _ := old.table.EndTenure(m.clock(old), modelSlot)
	m.now += rapid.SampledFrom([]time.Duration{0, 9 * time.Second}).Draw(t, "gap")
	m.holder = rapid.IntRange(0, len(m.nodes)-1).Draw(t, "holder")
	m.tenureID++
	m.handovers = append(m.handovers, modelHandover{m.tenureID, content})
	n := m.nodes[m.holder]
	n.table.BeginTenure(m.clock(n), modelSlot, false, time.Second)
}

func (m *model) handOver(t *rapid.T) {
	i := len(m.handovers) - 1
	if i < 0 || m.handovers[i].tenureID != m.tenureID {
		t.Skip("no content to hand over")
	}
	n := m.nodes[m.holder]
	n.table.ApplyHandover(m.clock(n), modelSlot, m.handovers[i].content)
	if !rapid.Bool().Draw(t, "duplicate") {
		m.handovers = m.handovers[:i]
	}
}

// TestKeyRunsAtMostOnce checks that no key runs twice and that a key refused as
// not run has not run.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t}
		for range 3 {
			n := &modelNode{table: NewTable()}
			n.table.MaxBytes = 20 * bytesPerEntry
			n.clockSkew = time.Duration(rapid.Int64Range(int64(-modelMaxSkew), int64(modelMaxSkew)).Draw(t, "skew"))
			m.nodes = append(m.nodes, n)
		}
		m.nodes[0].table.BeginTenure(m.clock(m.nodes[0]), modelSlot, true, 0)
		t.Repeat(map[string]func(*rapid.T){
			"attempt":        m.sendAndRun,
			"send":           m.send,
			"claim":          m.claim,
			"run":            m.run,
			"end":            m.endAttempt,
			"settle":         m.settle,
			"move":           m.moveSlot,
			"take over":      m.handOver,
			"lose claimants": func(*rapid.T) { m.nodes[m.holder].table.AbandonClaims(func(string) bool { return false }) },
			"advance": func(t *rapid.T) {
				m.now += rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 11 * time.Second, modelReplayWindow}).Draw(t, "time")
			},
		})
	})
}

func TestClaimVerdicts(t *testing.T) {
	start := time.Unix(1e9, 0)
	key := KeyDigest("bookdesk", "pond-a", "k")
	newClaim := func(key Digest, request, id byte, born time.Time) Claim {
		return Claim{
			KeyDigest: key, RequestDigest: Digest{request}, AttemptID: uuid.UUID{id}, Claimant: "n1", KeyTime: born,
			Deadline: start.Add(modelRequestTimeout), ReplayWindow: modelReplayWindow,
		}
	}
	answer := &Answer{Status: 201, Body: []byte("done")}
	for _, test := range []struct {
		name        string
		firstTenure bool
		prepare     func(t *Table)
		elapsed     time.Duration
		claim       Claim
		want        Verdict
	}{
		{"new key", true, nil, 0, newClaim(key, 1, 2, time.Time{}), VerdictRun},
		{"running", true, func(*Table) {}, 0, newClaim(key, 1, 2, time.Time{}), VerdictRunning},
		{"same attempt", true, func(*Table) {}, 0, newClaim(key, 1, 1, time.Time{}), VerdictRun},
		{"other body", true, func(*Table) {}, 0, newClaim(key, 2, 2, time.Time{}), VerdictConflict},
		{"other customer", true, func(*Table) {}, 0, newClaim(KeyDigest("bookdesk", "pond-b", "k"), 1, 2, time.Time{}), VerdictRun},
		{"answered", true, func(t *Table) { t.Settle(start, modelSlot, key, uuid.UUID{1}, Outcome{Answer: answer}) }, 0, newClaim(key, 1, 2, time.Time{}), VerdictAnswered},
		{"not run", true, func(t *Table) { t.Settle(start, modelSlot, key, uuid.UUID{1}, Outcome{NotRun: true}) }, 0, newClaim(key, 1, 2, time.Time{}), VerdictRun},
		{"not run, by another attempt", true, func(t *Table) { t.Settle(start, modelSlot, key, uuid.UUID{9}, Outcome{NotRun: true}) }, 0, newClaim(key, 1, 2, time.Time{}), VerdictRunning},
		{"claimant is not alive", true, func(t *Table) { t.AbandonClaims(func(string) bool { return false }) }, 0, newClaim(key, 1, 2, time.Time{}), VerdictUnknown},
		{"never settled", true, func(*Table) {}, modelRequestTimeout + settleMargin, newClaim(key, 1, 2, time.Time{}), VerdictUnknown},
		{"expired, with a time in the key", true, func(*Table) {}, 2 * modelReplayWindow, newClaim(key, 1, 2, start), VerdictUnknown},
		{"full", true, func(t *Table) { t.MaxBytes = bytesPerEntry }, 0, newClaim(Digest{7}, 1, 2, time.Time{}), VerdictTableFull},
		{"full, known key", true, func(t *Table) { t.MaxBytes = bytesPerEntry }, 0, newClaim(key, 1, 2, time.Time{}), VerdictRunning},
		{"later holder, during the handover window", false, nil, 0, newClaim(key, 1, 2, time.Time{}), VerdictNotHolder},
		{"later holder", false, nil, 2 * time.Second, newClaim(key, 1, 2, time.Time{}), VerdictUnknown},
		{"later holder, old time in the key", false, nil, 20 * time.Second, newClaim(key, 1, 2, start), VerdictUnknown},
		{"later holder, new time in the key", false, nil, 20 * time.Second, newClaim(key, 1, 2, start.Add(11*time.Second)), VerdictRun},
		{"later holder, after the replay window", false, nil, modelReplayWindow + settleMargin, newClaim(key, 1, 2, time.Time{}), VerdictRun},
	} {
		table := NewTable()
		table.BeginTenure(start, modelSlot, test.firstTenure, time.Second)
		if test.prepare != nil {
			table.Claim(start, modelSlot, newClaim(key, 1, 1, time.Time{}))
			test.prepare(table)
		}
		if got, _ := table.Claim(start.Add(test.elapsed), modelSlot, test.claim); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestExpiredKeysFreeMemory(t *testing.T) {
	start := time.Unix(1e9, 0)
	table := NewTable()
	table.BeginTenure(start, modelSlot, true, 0)
	for i := range byte(100) {
		c := Claim{KeyDigest: Digest{i}, AttemptID: uuid.UUID{i}, Deadline: start, ReplayWindow: modelReplayWindow}
		table.Claim(start, modelSlot, c)
		table.Settle(start, modelSlot, c.KeyDigest, c.AttemptID, Outcome{Answer: &Answer{Body: make([]byte, 1000)}})
	}
	if got, want := table.Bytes(), 100*(bytesPerEntry+1000); got != want {
		t.Errorf("got %d bytes, want %d", got, want)
	}
	table.Expire(start.Add(2 * modelReplayWindow))
	if got := table.Bytes(); got != 0 {
		t.Errorf("got %d bytes after the replay window, want 0", got)
	}
}

// BenchmarkKeyMemory reports the memory of a key without its answer.
func BenchmarkKeyMemory(b *testing.B) {
	now := time.Unix(1e9, 0)
	table := NewTable()
	table.MaxBytes = 1 << 40
	table.BeginTenure(now, modelSlot, true, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := Digest{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}
		c := Claim{KeyDigest: key, AttemptID: uuid.UUID{1}, Claimant: "n", Deadline: now, ReplayWindow: modelReplayWindow}
		table.Claim(now, modelSlot, c)
	}
}
