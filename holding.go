package flamingotack

import (
	"fmt"
	"time"

	"github.com/flamingotack/flamingotack/internal/deduper"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/tracker"
)

const (
	// handoverTime is how long a new holder of a slot waits for the keys of
	// the one before.
	handoverTime = time.Second
)

// holding is the node's hold on a slot of keys.
type holding struct {
	// held says that a tenure lasts, the one that began at the record since.
	held  bool
	since uint64
	// keys are those of tenures that are not in use.
	keys succession[deduper.SlotContent]
	// parts are those of the holder before that have come so far.
	parts deduper.SlotContent
}

func slotResource(s deduper.Slot) holder.Resource {
	return holder.Resource{Name: fmt.Sprintf("key/%s/%d", s.Service, s.Number), Service: s.Service}
}

func (d *dedupe) holding(s deduper.Slot) *holding {
	h := d.holdings[s]
	if h == nil {
		h = &holding{}
		d.holdings[s] = h
	}
	return h
}

// sync brings a slot in line with the tenure and returns the time for which
// that holds. It comes before each use of the slot. The caller holds the lock.
func (d *dedupe) sync(s deduper.Slot) (now time.Time) {
	now = d.node.edges.Clock.Now()
	h := d.holding(s)
	resource := slotResource(s)
	present, owned := d.node.tracker.Owned(resource)
	if !owned || !d.node.membership.tenure.MayUse(now, resource) {
		d.end(now, s, h)
		return now
	}
	if !h.held || h.since != present.Since {
		d.begin(now, s, h, present)
	}
	return now
}

func (d *dedupe) syncAll() {
	own := d.node.self.Service
	for i := range deduper.SlotCount {
		s := deduper.Slot{Service: own, Number: i}
		d.sync(s)
		d.pass(s, d.holding(s))
	}
}

// begin starts a tenure, or goes on with one in which nobody else held the
// slot.
func (d *dedupe) begin(now time.Time, s deduper.Slot, h *holding, present tracker.Tenure) {
	d.end(now, s, h)
	d.follow(s, h)
	h.held = true
	h.since = present.Since
	expect := time.Duration(0)
	if present.Previous.Name != "" {
		expect = handoverTime
	}
	d.table.BeginTenure(now, s, false, expect)
	r := h.keys.find(present.Since)
	if r == nil || r.content == nil {
		return
	}
	d.table.ApplyHandover(now, s, *r.content)
	r.content = nil
	r.given = true
}

func (d *dedupe) end(now time.Time, s deduper.Slot, h *holding) {
	keys, held := d.table.EndTenure(now, s)
	h.held = false
	if !held {
		return
	}
	d.follow(s, h)
	if r := h.keys.find(h.since); r != nil {
		r.content = &keys
		r.given = true
	}
}

func (d *dedupe) follow(s deduper.Slot, h *holding) {
	h.keys.follow(d.node.tracker.Tenures(slotResource(s)), deduper.SlotContent{})
}

// inherit takes a part of the keys of the holder before the tenure that began
// at since; false while the node does not know that it is its successor.
func (d *dedupe) inherit(s deduper.Slot, since uint64, sender holder.Identity, part deduper.SlotContent, first, last bool) (taken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.sync(s)
	h := d.holding(s)
	d.follow(s, h)
	r := h.keys.accept(since, sender)
	if r == nil {
		return false
	}
	if first {
		h.parts = deduper.SlotContent{CompleteSince: part.CompleteSince}
	}
	h.parts.Entries = append(h.parts.Entries, part.Entries...)
	if !last || r.given {
		return true
	}
	r.given = true
	whole := h.parts
	h.parts = deduper.SlotContent{}
	if h.held && h.since == since {
		d.table.ApplyHandover(now, s, whole)
		return true
	}
	r.content = &whole
	return true
}

// pass hands the keys of ended tenures to the next holders.
func (d *dedupe) pass(s deduper.Slot, h *holding) {
	d.follow(s, h)
	for _, r := range h.keys.due() {
		tenure, keys := r.Tenure, *r.content
		go func() {
			taken := d.node.handOver(tenure, s, keys)
			d.mu.Lock()
			defer d.mu.Unlock()
			r.passing = false
			r.passed = taken
			if taken {
				r.content = nil
			}
		}()
	}
}
