package flamingotack

import (
	"slices"

	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/tracker"
)

// maxPasses bounds how often a next holder is offered the content.
const maxPasses = 50

type (
	// succession passes the content of a resource from each holder to the
	// next one, also through nodes that owned it too shortly to use it.
	succession[T any] struct {
		reigns []*reign[T]
	}

	// reign is a tenure of the node with the content that it has to pass on.
	reign[T any] struct {
		tracker.OwnershipPeriod
		// content is what the holder knows, while it does not use it; nil
		// when that is not known or in use.
		content *T
		// given says that the content of the holder before has come.
		given   bool
		passing bool
		passed  bool
		passes  int
	}
)

// follow takes the tenures of the resource. The content of the first tenure of
// all is untouched.
func (s *succession[T]) follow(tenures []tracker.OwnershipPeriod, untouched T) {
	kept := make([]*reign[T], 0, len(tenures))
	for _, t := range tenures {
		r := s.find(t.StartOffset)
		if r == nil {
			r = &reign[T]{}
			if t.IsFirst {
				first := untouched
				r.content = &first
			}
		}
		r.OwnershipPeriod = t
		kept = append(kept, r)
	}
	s.reigns = kept
}

// find returns the tenure that began at a record; nil for an unknown one.
func (s *succession[T]) find(since uint64) *reign[T] {
	i := slices.IndexFunc(s.reigns, func(r *reign[T]) bool { return r.StartOffset == since })
	if i < 0 {
		return nil
	}
	return s.reigns[i]
}

// accept returns the tenure that a holder passes content to; nil when it is
// not the successor of that holder.
func (s *succession[T]) accept(since uint64, sender holder.Identity) *reign[T] {
	r := s.find(since)
	if r == nil || r.PreviousOwner.Name != sender.Name || r.PreviousOwner.Incarnation != sender.Incarnation {
		return nil
	}
	return r
}

// due returns the ended tenures whose content has to be passed on now.
func (s *succession[T]) due() (list []*reign[T]) {
	for _, r := range s.reigns {
		if !r.passing && r.waits() {
			r.passing = true
			r.passes++
			list = append(list, r)
		}
	}
	return list
}

// waiting reports whether any content still has to be passed on.
func (s *succession[T]) waiting() bool {
	return slices.ContainsFunc(s.reigns, (*reign[T]).waits)
}

// waits reports whether the content still has to be passed on.
func (r *reign[T]) waits() bool {
	return r.EndOffset != 0 && r.NextOwner.Name != "" && r.content != nil && !r.passed && r.passes < maxPasses
}
