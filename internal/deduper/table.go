package deduper

import (
	"time"

	"github.com/google/uuid"
)

type (
	// Entry is a key that a holder passes on.
	HandoverEntry struct {
		// Key, Request, ID and Claimant are those of the claim.
		KeyDigest     Digest
		RequestDigest Digest
		AttemptID     uuid.UUID
		Claimant      string
		// Running says that the request has not been settled.
		Running bool
		// Answer is nil without a whole answer.
		Answer *Answer
		// Ends is how long the claim may still be settled.
		ClaimTimeLeft time.Duration
		// Keep is how long the key is still kept.
		KeepFor time.Duration
		// Replay is how long the key is kept after it was settled.
		ReplayWindow time.Duration
	}

	// Keys are a slot's content.
	SlotContent struct {
		// Known is when the content begins, by the wall clock: a key that was claimed since
		// then, and is still to be kept, is among Entries. Zero for ever.
		CompleteSince time.Time
		// Entries are the keys in no order.
		Entries []HandoverEntry
	}

	// Table keeps the keys of the slots that a node holds. It is not safe for
	// concurrent use.
	Table struct {
		// Limit bounds the memory of the kept keys, in bytes.
		MaxBytes int

		slots map[Slot]*slot
		bytes int
	}

	entry struct {
		request  Digest
		id       uuid.UUID
		claimant string
		state    state
		answer   *Answer
		// deadline is when a claim that was not settled is unknown.
		deadline time.Time
		// until is when the key is forgotten.
		until  time.Time
		replay time.Duration
	}

	slot struct {
		// known is when the content begins.
		known time.Time
		// expect is until when the holder before this one may still pass on
		// its content.
		expect time.Time
		// taken says that it has.
		taken   bool
		entries map[Digest]*entry
	}
)

// NewTable returns a table without slots.
func NewTable() *Table {
	return &Table{MaxBytes: MaxTableBytes, slots: map[Slot]*slot{}}
}

// Begin starts the tenure of a slot. first says that nobody held it before.
// For as long as expect, the holder before this one may pass on its content,
// so keys that the slot can't know are not decided.
func (t *Table) BeginTenure(now time.Time, s Slot, first bool, expect time.Duration) {
	t.EndTenure(now, s)
	fresh := &slot{entries: map[Digest]*entry{}}
	if !first {
		fresh.known = now
		fresh.expect = now.Add(expect)
	}
	t.slots[s] = fresh
}

// Bytes returns the memory of the kept keys.
func (t *Table) Bytes() int {
	return t.bytes
}

// Claim decides whether a request may run. kept is the answer with
// VerdictKept, else nil.
func (t *Table) Claim(now time.Time, s Slot, c Claim) (v Verdict, kept *Answer) {
	held := t.slots[s]
	if held == nil {
		return VerdictNotHolder, nil
	}
	if e := t.find(now, held, c.KeyDigest); e != nil {
		return e.verdict(c), e.answer
	}
	if !held.covers(now, c) {
		if now.Before(held.expect) {
			return VerdictNotHolder, nil
		}
		return VerdictUnknown, nil
	}
	if t.bytes+entryBytes > t.MaxBytes {
		return VerdictTableFull, nil
	}
	t.bytes += entryBytes
	held.entries[c.KeyDigest] = &entry{
		request:  c.RequestDigest,
		id:       c.AttemptID,
		claimant: c.Claimant,
		deadline: c.Deadline.Add(claimMargin),
		until:    c.Deadline.Add(claimMargin + c.ReplayWindow + MaxClockSkew),
		replay:   c.ReplayWindow,
	}
	return VerdictRun, nil
}

// End ends the tenure of a slot and returns its content; false when the node
// does not hold it.
func (t *Table) EndTenure(now time.Time, s Slot) (keys SlotContent, held bool) {
	ending := t.slots[s]
	if ending == nil {
		return SlotContent{}, false
	}
	keys.CompleteSince = ending.known
	for key := range ending.entries {
		e := t.find(now, ending, key)
		if e == nil {
			continue
		}
		keys.Entries = append(keys.Entries, HandoverEntry{
			KeyDigest:     key,
			RequestDigest: e.request,
			AttemptID:     e.id,
			Claimant:      e.claimant,
			Running:       e.state == stateRunning,
			Answer:        e.answer,
			ClaimTimeLeft: e.deadline.Sub(now),
			KeepFor:       e.until.Sub(now),
			ReplayWindow:  e.replay,
		})
		t.bytes -= e.size()
	}
	delete(t.slots, s)
	return keys, true
}

// Expire forgets what need not be kept any more.
func (t *Table) Expire(now time.Time) {
	for _, s := range t.slots {
		for key := range s.entries {
			t.find(now, s, key)
		}
	}
}

// Gone notes that a claimant has ended: what it had not settled is unknown.
func (t *Table) AbandonClaims(alive func(claimant string) bool) {
	for _, s := range t.slots {
		for _, e := range s.entries {
			if e.state == stateRunning && !alive(e.claimant) {
				e.state = stateUnknown
			}
		}
	}
}

// Holds reports whether the node holds a slot.
func (t *Table) IsHolder(s Slot) bool {
	return t.slots[s] != nil
}

// Settle notes how a claimed request ended; false when the node does not hold
// the slot. A claim that is not known, or another's, changes nothing.
func (t *Table) Settle(now time.Time, s Slot, key Digest, id uuid.UUID, o Outcome) (held bool) {
	holding := t.slots[s]
	if holding == nil {
		return false
	}
	e := t.find(now, holding, key)
	if e == nil || e.id != id || e.state == stateAnswered {
		return true
	}
	if o.NotRun {
		t.forget(holding, key, e)
		return true
	}
	e.state = stateUnknown
	e.until = later(e.until, now.Add(e.replay+MaxClockSkew))
	if o.Answer != nil && len(o.Answer.Body) <= MaxAnswerBytes && t.bytes+answerBytes(o.Answer) <= t.MaxBytes {
		e.state = stateAnswered
		e.answer = o.Answer
		t.bytes += answerBytes(o.Answer)
	}
	return true
}

// Take adds the content that the holder before this one passed on. Only the
// first content of a tenure counts.
func (t *Table) ApplyHandover(now time.Time, s Slot, keys SlotContent) {
	taking := t.slots[s]
	if taking == nil || taking.taken {
		return
	}
	taking.taken = true
	taking.known = keys.CompleteSince
	taking.expect = time.Time{}
	for _, k := range keys.Entries {
		if known := taking.entries[k.KeyDigest]; known != nil {
			known.state = stateUnknown
			continue
		}
		e := &entry{
			request:  k.RequestDigest,
			id:       k.AttemptID,
			claimant: k.Claimant,
			state:    stateUnknown,
			answer:   k.Answer,
			deadline: now.Add(k.ClaimTimeLeft),
			until:    now.Add(k.KeepFor),
			replay:   k.ReplayWindow,
		}
		switch {
		case k.Running:
			e.state = stateRunning
		case k.Answer != nil:
			e.state = stateAnswered
		}
		taking.entries[k.KeyDigest] = e
		t.bytes += e.size()
	}
}

// find returns the entry of a key; nil when there is none or it has expired.
func (t *Table) find(now time.Time, s *slot, key Digest) *entry {
	e := s.entries[key]
	if e == nil {
		return nil
	}
	if !now.Before(e.until) {
		t.forget(s, key, e)
		return nil
	}
	if e.state == stateRunning && !now.Before(e.deadline) {
		e.state = stateUnknown
	}
	return e
}

func (t *Table) forget(s *slot, key Digest, e *entry) {
	t.bytes -= e.size()
	delete(s.entries, key)
}

// size returns the memory of e.
func (e *entry) size() int {
	return entryBytes + answerBytes(e.answer)
}

// verdict returns what another claim of the entry's key gets.
func (e *entry) verdict(c Claim) Verdict {
	switch {
	case e.request != c.RequestDigest:
		return VerdictConflict
	case e.state == stateAnswered:
		return VerdictAnswered
	case e.state == stateUnknown:
		return VerdictUnknown
	case e.id == c.AttemptID:
		return VerdictRun
	default:
		return VerdictRunning
	}
}

// covers reports whether a key without an entry has surely not been claimed.
func (s *slot) covers(now time.Time, c Claim) bool {
	if c.KeyTime.IsZero() {
		return s.known.IsZero() || !now.Before(s.known.Add(c.ReplayWindow+claimMargin))
	}
	if !now.Before(c.KeyTime.Add(c.ReplayWindow)) {
		return false
	}
	return s.known.IsZero() || c.KeyTime.After(s.known.Add(MaxClockSkew))
}

// answerBytes returns the memory of a kept answer.
func answerBytes(a *Answer) int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
