package flamingotack

import (
	"slices"

	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/tracker"
)

// maxHandoverAttempts bounds how often content is offered to the next holder.
const maxHandoverAttempts = 50

type (
	// handovers passes the content of a resource from each holder to the next
	// one, also through nodes that owned it for too short a time to use it.
	handovers[T any] struct {
		periods []*handoverPeriod[T]
	}

	// handoverPeriod is a period in which the node owns the resource, with the
	// content that it has to hand over.
	handoverPeriod[T any] struct {
		tracker.OwnershipPeriod
		// content is the content of the resource while the node does not use it;
		// nil if it is unknown or in use.
		content *T
		// received reports whether the content of the previous holder has arrived.
		received bool
		sending  bool
		sent     bool
		attempts int
	}
)

// update sets the periods of the resource. unused is the content of a period
// before which no node owned the resource.
func (h *handovers[T]) update(tracked []tracker.OwnershipPeriod, unused T) {
	kept := make([]*handoverPeriod[T], 0, len(tracked))
	for _, trackedPeriod := range tracked {
		period := h.find(trackedPeriod.StartOffset)
		if period == nil {
			period = &handoverPeriod[T]{}
			if trackedPeriod.IsFirst {
				first := unused
				period.content = &first
			}
		}
		period.OwnershipPeriod = trackedPeriod
		kept = append(kept, period)
	}
	h.periods = kept
}

// find returns the period that began at a log offset; nil if it is unknown.
func (h *handovers[T]) find(startOffset uint64) *handoverPeriod[T] {
	i := slices.IndexFunc(h.periods, func(p *handoverPeriod[T]) bool { return p.StartOffset == startOffset })
	if i < 0 {
		return nil
	}
	return h.periods[i]
}

// findFrom returns the period whose previous holder is the sender; nil if the
// node is not the successor of that holder.
func (h *handovers[T]) findFrom(startOffset uint64, sender holder.Identity) *handoverPeriod[T] {
	period := h.find(startOffset)
	if period == nil || period.PreviousOwner.Name != sender.Name || period.PreviousOwner.Incarnation != sender.Incarnation {
		return nil
	}
	return period
}

// startDue returns the ended periods whose content has to be sent now and
// marks them as being sent.
func (h *handovers[T]) startDue() (list []*handoverPeriod[T]) {
	for _, period := range h.periods {
		if !period.sending && period.isPending() {
			period.sending = true
			period.attempts++
			list = append(list, period)
		}
	}
	return list
}

// pending reports whether any content still has to be handed over.
func (h *handovers[T]) pending() bool {
	return slices.ContainsFunc(h.periods, (*handoverPeriod[T]).isPending)
}

// isPending reports whether the content still has to be handed over.
func (p *handoverPeriod[T]) isPending() bool {
	return p.EndOffset != 0 && p.NextOwner.Name != "" && p.content != nil && !p.sent && p.attempts < maxHandoverAttempts
}
