package deduper

import (
	"time"

	"github.com/google/uuid"
)

type (
	// HandoverEntry is a key that a holder hands over to the next one.
	HandoverEntry struct {
		// KeyDigest, RequestDigest, AttemptID and Claimant are those of the
		// claim.
		KeyDigest     Digest
		RequestDigest Digest
		AttemptID     uuid.UUID
		Claimant      string
		// Running reports whether the claim has not been settled.
		Running bool
		// Answer is nil without a complete answer.
		Answer *Answer
		// ClaimTimeLeft is how long the claim may still be settled.
		ClaimTimeLeft time.Duration
		// KeepFor is how long the key is still kept.
		KeepFor time.Duration
		// ReplayWindow is how long the key is kept after it was settled.
		ReplayWindow time.Duration
	}

	// SlotContent holds the keys of a slot.
	SlotContent struct {
		// CompleteSince is the wall-clock time since which the content is
		// complete: Entries contains each unexpired key claimed since then. Zero
		// if no key is missing.
		CompleteSince time.Time
		// Entries are the keys in no particular order.
		Entries []HandoverEntry
	}

	// Table keeps the keys of the slots that a node holds. It is not safe for
	// concurrent use.
	Table struct {
		// MaxBytes bounds the memory of the keys.
		MaxBytes int

		slots       map[Slot]*heldSlot
		memoryBytes int
	}

	entry struct {
		requestDigest Digest
		attemptID     uuid.UUID
		claimant      string
		state         state
		answer        *Answer
		// settleBy is when the outcome of an unsettled claim becomes unknown.
		settleBy time.Time
		// expiresAt is when the key is removed.
		expiresAt    time.Time
		replayWindow time.Duration
	}

	heldSlot struct {
		// completeSince is like SlotContent.CompleteSince.
		completeSince time.Time
		// handoverUntil is the time until which the previous holder may still
		// hand over its content.
		handoverUntil time.Time
		// handoverApplied reports whether the content was handed over.
		handoverApplied bool
		entries         map[Digest]*entry
	}
)

// NewTable returns a table without slots.
func NewTable() *Table {
	return &Table{MaxBytes: MaxTableBytes, slots: map[Slot]*heldSlot{}}
}

// BeginTenure starts the tenure of a slot. isFirst reports whether no node has
// held the slot before. During handoverWindow the previous holder may hand over
// its content, so claims of keys that it may contain get VerdictNotHolder.
func (t *Table) BeginTenure(now time.Time, s Slot, isFirst bool, handoverWindow time.Duration) {
	t.EndTenure(now, s)
	slot := &heldSlot{entries: map[Digest]*entry{}}
	if !isFirst {
		slot.completeSince = now
		slot.handoverUntil = now.Add(handoverWindow)
	}
	t.slots[s] = slot
}

// Bytes returns the memory of the keys.
func (t *Table) Bytes() int {
	return t.memoryBytes
}

// Claim decides whether a request may run. stored is the answer with
// VerdictAnswered, else nil.
func (t *Table) Claim(now time.Time, s Slot, c Claim) (v Verdict, stored *Answer) {
	slot := t.slots[s]
	if slot == nil {
		return VerdictNotHolder, nil
	}
	if e := t.find(now, slot, c.KeyDigest); e != nil {
		return e.verdict(c), e.answer
	}
	if !slot.provesUnclaimed(now, c) {
		if now.Before(slot.handoverUntil) {
			return VerdictNotHolder, nil
		}
		return VerdictUnknown, nil
	}
	if t.memoryBytes+bytesPerEntry > t.MaxBytes {
		return VerdictTableFull, nil
	}
	t.memoryBytes += bytesPerEntry
	slot.entries[c.KeyDigest] = &entry{
		requestDigest: c.RequestDigest,
		attemptID:     c.AttemptID,
		claimant:      c.Claimant,
		settleBy:      c.Deadline.Add(settleMargin),
		expiresAt:     c.Deadline.Add(settleMargin + c.ReplayWindow + MaxClockSkew),
		replayWindow:  c.ReplayWindow,
	}
	return VerdictRun, nil
}

// EndTenure ends the tenure of a slot and returns its content; false when the node
// does not hold it.
func (t *Table) EndTenure(now time.Time, s Slot) (content SlotContent, held bool) {
	slot := t.slots[s]
	if slot == nil {
		return SlotContent{}, false
	}
	content.CompleteSince = slot.completeSince
	for key := range slot.entries {
		e := t.find(now, slot, key)
		if e == nil {
			continue
		}
		content.Entries = append(content.Entries, HandoverEntry{
			KeyDigest:     key,
			RequestDigest: e.requestDigest,
			AttemptID:     e.attemptID,
			Claimant:      e.claimant,
			Running:       e.state == stateRunning,
			Answer:        e.answer,
			ClaimTimeLeft: e.settleBy.Sub(now),
			KeepFor:       e.expiresAt.Sub(now),
			ReplayWindow:  e.replayWindow,
		})
		t.memoryBytes -= e.memoryBytes()
	}
	delete(t.slots, s)
	return content, true
}

// Expire removes expired keys.
func (t *Table) Expire(now time.Time) {
	for _, s := range t.slots {
		for key := range s.entries {
			t.find(now, s, key)
		}
	}
}

// AbandonClaims marks the unsettled claims of claimants that are not alive as
// unknown.
func (t *Table) AbandonClaims(isAlive func(claimant string) bool) {
	for _, s := range t.slots {
		for _, e := range s.entries {
			if e.state == stateRunning && !isAlive(e.claimant) {
				e.state = stateUnknown
			}
		}
	}
}

// IsHolder reports whether the node holds a slot.
func (t *Table) IsHolder(s Slot) bool {
	return t.slots[s] != nil
}

// Settle records how a claimed request ended; false when the node does not hold
// the slot. An unknown claim, or one of another attempt, is ignored.
func (t *Table) Settle(now time.Time, s Slot, key Digest, attemptID uuid.UUID, o Outcome) (held bool) {
	slot := t.slots[s]
	if slot == nil {
		return false
	}
	e := t.find(now, slot, key)
	if e == nil || e.attemptID != attemptID || e.state == stateAnswered {
		return true
	}
	if o.NotRun {
		t.remove(slot, key, e)
		return true
	}
	e.state = stateUnknown
	e.expiresAt = later(e.expiresAt, now.Add(e.replayWindow+MaxClockSkew))
	if o.Answer != nil && len(o.Answer.Body) <= MaxAnswerBytes && t.memoryBytes+answerBytes(o.Answer) <= t.MaxBytes {
		e.state = stateAnswered
		e.answer = o.Answer
		t.memoryBytes += answerBytes(o.Answer)
	}
	return true
}

// ApplyHandover adds the content handed over by the previous holder. Only the
// first handover of a tenure is used.
func (t *Table) ApplyHandover(now time.Time, s Slot, content SlotContent) {
	slot := t.slots[s]
	if slot == nil || slot.handoverApplied {
		return
	}
	slot.handoverApplied = true
	slot.completeSince = content.CompleteSince
	slot.handoverUntil = time.Time{}
	for _, k := range content.Entries {
		if existing := slot.entries[k.KeyDigest]; existing != nil {
			existing.state = stateUnknown
			continue
		}
		e := &entry{
			requestDigest: k.RequestDigest,
			attemptID:     k.AttemptID,
			claimant:      k.Claimant,
			state:         stateUnknown,
			answer:        k.Answer,
			settleBy:      now.Add(k.ClaimTimeLeft),
			expiresAt:     now.Add(k.KeepFor),
			replayWindow:  k.ReplayWindow,
		}
		switch {
		case k.Running:
			e.state = stateRunning
		case k.Answer != nil:
			e.state = stateAnswered
		}
		slot.entries[k.KeyDigest] = e
		t.memoryBytes += e.memoryBytes()
	}
}

// find returns the entry of a key; nil when there is none or it has expired.
func (t *Table) find(now time.Time, s *heldSlot, key Digest) *entry {
	e := s.entries[key]
	if e == nil {
		return nil
	}
	if !now.Before(e.expiresAt) {
		t.remove(s, key, e)
		return nil
	}
	if e.state == stateRunning && !now.Before(e.settleBy) {
		e.state = stateUnknown
	}
	return e
}

func (t *Table) remove(s *heldSlot, key Digest, e *entry) {
	t.memoryBytes -= e.memoryBytes()
	delete(s.entries, key)
}

// memoryBytes returns the memory of e.
func (e *entry) memoryBytes() int {
	return bytesPerEntry + answerBytes(e.answer)
}

// verdict returns the result of another claim of the entry's key.
func (e *entry) verdict(c Claim) Verdict {
	switch {
	case e.requestDigest != c.RequestDigest:
		return VerdictConflict
	case e.state == stateAnswered:
		return VerdictAnswered
	case e.state == stateUnknown:
		return VerdictUnknown
	case e.attemptID == c.AttemptID:
		return VerdictRun
	default:
		return VerdictRunning
	}
}

// provesUnclaimed reports whether a key without an entry has certainly not been
// claimed.
func (s *heldSlot) provesUnclaimed(now time.Time, c Claim) bool {
	if c.KeyTime.IsZero() {
		return s.completeSince.IsZero() || !now.Before(s.completeSince.Add(c.ReplayWindow+settleMargin))
	}
	if !now.Before(c.KeyTime.Add(c.ReplayWindow)) {
		return false
	}
	return s.completeSince.IsZero() || c.KeyTime.After(s.completeSince.Add(MaxClockSkew))
}

// answerBytes returns the memory of a stored answer.
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
