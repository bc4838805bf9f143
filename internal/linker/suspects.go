package linker

import (
	"math"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/suspecter"
)

// suspectList collects suspects. It has a lock of its own, so that suspects can be added by
// callers that hold locks which handlers take.
type suspectList struct {
	// changed signals that the list is not empty.
	changed chan struct{}

	mu       sync.Mutex
	suspects []suspecter.Suspect
}

// SpreadSuspects sends suspects to all nodes. It does not block.
func (l *Linker) SpreadSuspects(suspects []suspecter.Suspect) {
	if len(suspects) == 0 {
		return
	}
	l.newSuspects.add(suspects)
}

func (t *suspectList) add(suspects []suspecter.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects = append(t.suspects, suspects...)
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// take empties the list and returns what it held.
func (t *suspectList) take() (suspects []suspecter.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects, t.suspects = t.suspects, nil
	return suspects
}

func fromSuspects(suspects []suspecter.Suspect, now time.Time) (list []*framer.Suspect) {
	for _, p := range suspects {
		list = append(list, &framer.Suspect{Digest: p.Digest[:], Crashed: p.CrashedIncarnations, LeftMicros: max(0, p.ExpiresAt.Sub(now).Microseconds())})
	}
	return list
}

// toSuspects leaves out messages without a whole digest or with a time that is no duration.
func toSuspects(list []*framer.Suspect, now time.Time) (suspects []suspecter.Suspect) {
	for _, m := range list {
		left := m.GetLeftMicros()
		if len(m.GetDigest()) != len(suspecter.Digest{}) || left > math.MaxInt64/int64(time.Microsecond) || left < 0 {
			continue
		}
		suspects = append(suspects, suspecter.Suspect{
			Digest:              suspecter.Digest(m.GetDigest()),
			CrashedIncarnations: m.GetCrashed(),
			ExpiresAt:           now.Add(time.Duration(left) * time.Microsecond),
		})
	}
	return suspects
}
