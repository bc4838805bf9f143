package flamingotack

import (
	"fmt"
	"time"

	"github.com/flamingotack/flamingotack/internal/deduper"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/tracker"
)

const (
	// maxHandoverWait is how long a new holder of a slot waits for the keys of
	// the previous holder.
	maxHandoverWait = time.Second
)

// slotState records whether the node holds a slot of keys, and the keys that it
// has to hand over.
type slotState struct {
	// held reports whether the node holds the slot, in the period that began at
	// periodStartOffset in the log.
	held              bool
	periodStartOffset uint64
	// handovers holds the keys of the periods that are not in use.
	handovers handovers[deduper.SlotContent]
	// receivedKeys are the keys received so far from the previous holder.
	receivedKeys deduper.SlotContent
}

func slotResource(s deduper.Slot) holder.Resource {
	return holder.Resource{Name: fmt.Sprintf("key/%s/%d", s.Service, s.Number), Service: s.Service}
}

func (f *dedupeFilter) slotState(s deduper.Slot) *slotState {
	slot := f.slots[s]
	if slot == nil {
		slot = &slotState{}
		f.slots[s] = slot
	}
	return slot
}

// syncOwnership starts or ends the node's tenure of a slot according to the
// current ownership and returns the time of this check. It must be called before
// each use of the slot. The caller holds the lock.
func (f *dedupeFilter) syncOwnership(s deduper.Slot) (now time.Time) {
	now = f.node.dependencies.Clock.Now()
	state := f.slotState(s)
	resource := slotResource(s)
	current, owned := f.node.tracker.CurrentPeriod(resource)
	if !owned || !f.node.membership.ownership.MayUse(now, resource) {
		f.endTenure(now, s, state)
		return now
	}
	if !state.held || state.periodStartOffset != current.StartOffset {
		f.beginTenure(now, s, state, current)
	}
	return now
}

func (f *dedupeFilter) maintainSlots() {
	own := f.node.self.Service
	for i := range deduper.SlotCount {
		s := deduper.Slot{Service: own, Number: i}
		f.syncOwnership(s)
		f.startHandovers(s, f.slotState(s))
	}
}

// beginTenure starts a tenure in an ownership period. An earlier tenure in the
// same period is resumed, because no other node held the slot in between.
func (f *dedupeFilter) beginTenure(now time.Time, s deduper.Slot, state *slotState, current tracker.OwnershipPeriod) {
	f.endTenure(now, s, state)
	f.updateHandovers(s, state)
	state.held = true
	state.periodStartOffset = current.StartOffset
	handoverWindow := time.Duration(0)
	if current.PreviousOwner.Name != "" {
		handoverWindow = maxHandoverWait
	}
	f.table.BeginTenure(now, s, false, handoverWindow)
	period := state.handovers.find(current.StartOffset)
	if period == nil || period.content == nil {
		return
	}
	f.table.ApplyHandover(now, s, *period.content)
	period.content = nil
	period.received = true
}

func (f *dedupeFilter) endTenure(now time.Time, s deduper.Slot, state *slotState) {
	keys, held := f.table.EndTenure(now, s)
	state.held = false
	if !held {
		return
	}
	f.updateHandovers(s, state)
	if period := state.handovers.find(state.periodStartOffset); period != nil {
		period.content = &keys
		period.received = true
	}
}

func (f *dedupeFilter) updateHandovers(s deduper.Slot, state *slotState) {
	state.handovers.update(f.node.tracker.OwnershipPeriods(slotResource(s)), deduper.SlotContent{})
}

// receiveHandover accepts a part of the keys from the holder before the period
// that began at startOffset in the log. It returns false while the node does
// not know that it is that holder's successor.
func (f *dedupeFilter) receiveHandover(s deduper.Slot, startOffset uint64, sender holder.Identity, part deduper.SlotContent, first, last bool) (accepted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.syncOwnership(s)
	state := f.slotState(s)
	f.updateHandovers(s, state)
	period := state.handovers.findFrom(startOffset, sender)
	if period == nil {
		return false
	}
	if first {
		state.receivedKeys = deduper.SlotContent{CompleteSince: part.CompleteSince}
	}
	state.receivedKeys.Entries = append(state.receivedKeys.Entries, part.Entries...)
	if !last || period.received {
		return true
	}
	period.received = true
	whole := state.receivedKeys
	state.receivedKeys = deduper.SlotContent{}
	if state.held && state.periodStartOffset == startOffset {
		f.table.ApplyHandover(now, s, whole)
		return true
	}
	period.content = &whole
	return true
}

// startHandovers sends the keys of ended periods to the next holders.
func (f *dedupeFilter) startHandovers(s deduper.Slot, state *slotState) {
	f.updateHandovers(s, state)
	for _, period := range state.handovers.startDue() {
		endedPeriod, keys := period.OwnershipPeriod, *period.content
		go func() {
			accepted := f.node.sendKeyHandover(endedPeriod, s, keys)
			f.mu.Lock()
			defer f.mu.Unlock()
			period.sending = false
			period.sent = accepted
			if accepted {
				period.content = nil
			}
		}()
	}
}
