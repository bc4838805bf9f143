package linker

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/suspecter"
	"github.com/flamingotack/flamingotack/internal/validator"
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

// handleSuspects passes suspects that a node reports on to the other nodes if they are news. It
// leaves out those that are invalid.
func (l *Linker) handleSuspects(m Member, list []*framer.Suspect) {
	now := l.clock.Now()
	suspects := make([]suspecter.Suspect, 0, len(list))
	for _, message := range list {
		suspect, err := toSuspect(message, now)
		if err != nil {
			l.logger.Warnf("suspect from node %s discarded: %v", m.Name, err)
			continue
		}
		suspects = append(suspects, suspect)
	}
	l.SpreadSuspects(l.handlers.ReceiveSuspects(suspects))
}

// toSuspect returns an error if the digest is not whole or the time left is no duration.
func toSuspect(m *framer.Suspect, now time.Time) (suspect suspecter.Suspect, err error) {
	if got, want := len(m.GetDigest()), len(suspect.Digest); got != want {
		return suspect, errors.Newf("digest has %d bytes, expected %d", got, want)
	}
	left, err := validator.Duration(float64(m.GetLeftMicros()), time.Microsecond)
	if err != nil {
		return suspect, err
	}
	return suspecter.Suspect{Digest: suspecter.Digest(m.GetDigest()), CrashedIncarnations: m.GetCrashed(), ExpiresAt: now.Add(left)}, nil
}
