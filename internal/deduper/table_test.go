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
	modelReplay  = 2 * time.Minute
	modelTimeout = 5 * time.Second
	modelSkew    = MaxClockSkew/2 - time.Millisecond
)

var modelSlot = Slot{Service: "bookdesk"}

type (
	// model has nodes with skewed clocks, one of which holds the slot, and
	// callers that send a key again until its replay window is over.
	model struct {
		t      *rapid.T
		now    time.Duration
		nodes  []*modelNode
		holder int
		keys   []*modelKey
		calls  []*modelCall
		passed []modelKeys
		tenure int
		count  uint64
	}

	modelNode struct {
		table *Table
		skew  time.Duration
	}

	modelKey struct {
		digest Digest
		born   time.Duration
		timed  bool
		skew   time.Duration
		runs   int
	}

	// modelCall is one attempt: a claim, its run and its settlement.
	modelCall struct {
		key      *modelKey
		id       uuid.UUID
		deadline time.Duration
		granted  bool
		ran      bool
		settled  []Outcome
	}

	modelKeys struct {
		tenure int
		keys   SlotContent
	}
)

func TestMain(m *testing.M) {
	seeder.Run(m, seeder.Setting{Flag: "rapid.checks", Value: "400"}, seeder.Setting{Flag: "rapid.steps", Value: "200"})
}

func (m *model) clock(n *modelNode) time.Time {
	return time.Unix(1e9, 0).Add(m.now + n.skew)
}

func (m *model) call(t *rapid.T) *modelCall {
	if len(m.calls) == 0 {
		t.Skip("no call")
	}
	return m.calls[rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")]
}

// send makes a caller send a key, a new one or one within its window.
func (m *model) send(t *rapid.T) {
	i := rapid.IntRange(0, len(m.keys)).Draw(t, "key")
	if i == len(m.keys) {
		k := &modelKey{
			born:  m.now,
			timed: rapid.Bool().Draw(t, "timed"),
			skew:  time.Duration(rapid.Int64Range(int64(-modelSkew), int64(modelSkew)).Draw(t, "skew")),
		}
		k.digest = KeyDigest("bookdesk", "pond-a", fmt.Sprint(i))
		m.keys = append(m.keys, k)
	}
	k := m.keys[i]
	if !k.timed && m.now >= k.born+modelReplay {
		t.Skip("the window is over")
	}
	m.count++
	c := &modelCall{key: k, deadline: m.now + modelTimeout}
	c.id[0], c.id[1] = byte(m.count>>8), byte(m.count)
	m.calls = append(m.calls, c)
}

// claim delivers a call's claim, perhaps for the second time, perhaps late.
func (m *model) claim(t *rapid.T) {
	c := m.call(t)
	n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")]
	m.deliver(t, c, n, rapid.Bool().Draw(t, "answer arrives"))
}

func (m *model) deliver(t *rapid.T, c *modelCall, n *modelNode, arrives bool) {
	now := m.clock(n)
	claim := Claim{KeyDigest: c.key.digest, AttemptID: c.id, Claimant: "n", Deadline: now.Add(modelTimeout), ReplayWindow: modelReplay}
	if c.key.timed {
		claim.KeyTime = time.Unix(1e9, 0).Add(c.key.born + c.key.skew)
	}
	v, _ := n.table.Claim(now, modelSlot, claim)
	switch v {
	case VerdictRun:
		c.granted = arrives
	case VerdictTableFull:
		if c.key.runs > 0 {
			t.Fatalf("got %q for a key that has run", v)
		}
	}
}

func (m *model) run(t *rapid.T) {
	c := m.call(t)
	if !c.granted || c.ran || len(c.settled) > 0 || m.now >= c.deadline {
		t.Skip("may not run")
	}
	m.execute(t, c)
}

func (m *model) execute(t *rapid.T, c *modelCall) {
	c.ran = true
	c.key.runs++
	if c.key.runs > 1 {
		t.Fatalf("got %d runs of one key, want at most 1", c.key.runs)
	}
}

// attempt sends a key, claims it at the holder and runs it if it may.
func (m *model) attempt(t *rapid.T) {
	m.send(t)
	c := m.calls[len(m.calls)-1]
	m.deliver(t, c, m.nodes[m.holder], true)
	if c.granted {
		m.execute(t, c)
	}
}

// end settles a call in one of the ways that are true of it.
func (m *model) end(t *rapid.T) {
	c := m.call(t)
	switch {
	case !c.ran:
		c.settled = append(c.settled, Outcome{NotRun: true})
	case rapid.Bool().Draw(t, "whole"):
		c.settled = append(c.settled, Outcome{Answer: &Answer{Status: 200}})
	default:
		c.settled = append(c.settled, Outcome{})
	}
}

func (m *model) settle(t *rapid.T) {
	c := m.call(t)
	if len(c.settled) == 0 {
		t.Skip("not ended")
	}
	o := rapid.SampledFrom(c.settled).Draw(t, "outcome")
	n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")]
	n.table.Settle(m.clock(n), modelSlot, c.key.digest, c.id, o)
}

func (m *model) move(t *rapid.T) {
	before := m.nodes[m.holder]
	keys, _ := before.table.EndTenure(m.clock(before), modelSlot)
	m.now += rapid.SampledFrom([]time.Duration{0, 9 * time.Second}).Draw(t, "gap")
	m.holder = rapid.IntRange(0, len(m.nodes)-1).Draw(t, "holder")
	m.tenure++
	m.passed = append(m.passed, modelKeys{m.tenure, keys})
	n := m.nodes[m.holder]
	n.table.BeginTenure(m.clock(n), modelSlot, false, time.Second)
}

func (m *model) take(t *rapid.T) {
	i := len(m.passed) - 1
	if i < 0 || m.passed[i].tenure != m.tenure {
		t.Skip("nothing to pass on")
	}
	n := m.nodes[m.holder]
	n.table.ApplyHandover(m.clock(n), modelSlot, m.passed[i].keys)
	if !rapid.Bool().Draw(t, "again") {
		m.passed = m.passed[:i]
	}
}

// TestTableOnce checks that no key runs twice and that a key refused as not
// run has not run.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t}
		for range 3 {
			n := &modelNode{table: NewTable()}
			n.table.MaxBytes = 20 * entryBytes
			n.skew = time.Duration(rapid.Int64Range(int64(-modelSkew), int64(modelSkew)).Draw(t, "skew"))
			m.nodes = append(m.nodes, n)
		}
		m.nodes[0].table.BeginTenure(m.clock(m.nodes[0]), modelSlot, true, 0)
		t.Repeat(map[string]func(*rapid.T){
			"attempt": m.attempt,
			"send":    m.send,
			"claim":   m.claim,
			"run":     m.run,
			"end":     m.end,
			"settle":  m.settle,
			"move":    m.move,
			"take":    m.take,
			"gone":    func(*rapid.T) { m.nodes[m.holder].table.AbandonClaims(func(string) bool { return false }) },
			"advance": func(t *rapid.T) {
				m.now += rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 11 * time.Second, modelReplay}).Draw(t, "time")
			},
		})
	})
}

func TestClaimVerdicts(t *testing.T) {
	start := time.Unix(1e9, 0)
	key := KeyDigest("bookdesk", "pond-a", "k")
	claim := func(key Digest, request, id byte, born time.Time) Claim {
		return Claim{
			KeyDigest: key, RequestDigest: Digest{request}, AttemptID: uuid.UUID{id}, Claimant: "n1", KeyTime: born,
			Deadline: start.Add(modelTimeout), ReplayWindow: modelReplay,
		}
	}
	answer := &Answer{Status: 201, Body: []byte("done")}
	for _, test := range []struct {
		name  string
		first bool
		do    func(t *Table)
		at    time.Duration
		claim Claim
		want  Verdict
	}{
		{"new key", true, nil, 0, claim(key, 1, 2, time.Time{}), VerdictRun},
		{"running", true, func(*Table) {}, 0, claim(key, 1, 2, time.Time{}), VerdictRunning},
		{"same attempt", true, func(*Table) {}, 0, claim(key, 1, 1, time.Time{}), VerdictRun},
		{"other body", true, func(*Table) {}, 0, claim(key, 2, 2, time.Time{}), VerdictConflict},
		{"other customer", true, func(*Table) {}, 0, claim(KeyDigest("bookdesk", "pond-b", "k"), 1, 2, time.Time{}), VerdictRun},
		{"answered", true, func(t *Table) { t.Settle(start, modelSlot, key, uuid.UUID{1}, Outcome{Answer: answer}) }, 0, claim(key, 1, 2, time.Time{}), VerdictAnswered},
		{"released", true, func(t *Table) { t.Settle(start, modelSlot, key, uuid.UUID{1}, Outcome{NotRun: true}) }, 0, claim(key, 1, 2, time.Time{}), VerdictRun},
		{"released by another", true, func(t *Table) { t.Settle(start, modelSlot, key, uuid.UUID{9}, Outcome{NotRun: true}) }, 0, claim(key, 1, 2, time.Time{}), VerdictRunning},
		{"claimant died", true, func(t *Table) { t.AbandonClaims(func(string) bool { return false }) }, 0, claim(key, 1, 2, time.Time{}), VerdictUnknown},
		{"never settled", true, func(*Table) {}, modelTimeout + claimMargin, claim(key, 1, 2, time.Time{}), VerdictUnknown},
		{"forgotten, with its time", true, func(*Table) {}, 2 * modelReplay, claim(key, 1, 2, start), VerdictUnknown},
		{"full", true, func(t *Table) { t.MaxBytes = entryBytes }, 0, claim(Digest{7}, 1, 2, time.Time{}), VerdictTableFull},
		{"full, known key", true, func(t *Table) { t.MaxBytes = entryBytes }, 0, claim(key, 1, 2, time.Time{}), VerdictRunning},
		{"later holder waits", false, nil, 0, claim(key, 1, 2, time.Time{}), VerdictNotHolder},
		{"later holder", false, nil, 2 * time.Second, claim(key, 1, 2, time.Time{}), VerdictUnknown},
		{"later holder, old time", false, nil, 20 * time.Second, claim(key, 1, 2, start), VerdictUnknown},
		{"later holder, new time", false, nil, 20 * time.Second, claim(key, 1, 2, start.Add(11*time.Second)), VerdictRun},
		{"later holder, window over", false, nil, modelReplay + claimMargin, claim(key, 1, 2, time.Time{}), VerdictRun},
	} {
		table := NewTable()
		table.BeginTenure(start, modelSlot, test.first, time.Second)
		if test.do != nil {
			table.Claim(start, modelSlot, claim(key, 1, 1, time.Time{}))
			test.do(table)
		}
		if got, _ := table.Claim(start.Add(test.at), modelSlot, test.claim); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestExpiredKeysFreeMemory(t *testing.T) {
	start := time.Unix(1e9, 0)
	table := NewTable()
	table.BeginTenure(start, modelSlot, true, 0)
	for i := range byte(100) {
		c := Claim{KeyDigest: Digest{i}, AttemptID: uuid.UUID{i}, Deadline: start, ReplayWindow: modelReplay}
		table.Claim(start, modelSlot, c)
		table.Settle(start, modelSlot, c.KeyDigest, c.AttemptID, Outcome{Answer: &Answer{Body: make([]byte, 1000)}})
	}
	if got, want := table.Bytes(), 100*(entryBytes+1000); got != want {
		t.Errorf("got %d bytes, want %d", got, want)
	}
	table.Expire(start.Add(2 * modelReplay))
	if got := table.Bytes(); got != 0 {
		t.Errorf("got %d bytes after the window, want 0", got)
	}
}

// BenchmarkTableKey reports the memory of a kept key without its answer.
func BenchmarkKeyMemory(b *testing.B) {
	now := time.Unix(1e9, 0)
	table := NewTable()
	table.MaxBytes = 1 << 40
	table.BeginTenure(now, modelSlot, true, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := Digest{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}
		c := Claim{KeyDigest: key, AttemptID: uuid.UUID{1}, Claimant: "n", Deadline: now, ReplayWindow: modelReplay}
		table.Claim(now, modelSlot, c)
	}
}
