// Package assessor judges by its latest runs how likely a call ends well on a backend
// server. It knows no clock and does no input or output; an Assessor is not safe for
// concurrent use.
package assessor

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/averager"
)

// How a run ended, as far as that tells about the server.
const (
	// EndWell says that the server answered.
	EndWell End = iota
	// EndBadly says that the server turned the call away, failed or broke off.
	EndBadly
	// EndUnclear says nothing about the server, such as a failure of one that it
	// calls in turn.
	EndUnclear
)

const (
	// memory is the time after which a run counts a third. A server that gets no
	// calls is so tried again after some seconds.
	memory = time.Second
	// presumed is the number of runs that are presumed to have ended well before
	// the first one.
	presumed = 4
	// SoundBelow is the part of the runs that end badly from which on a server is
	// not sound: others go first as long as they have room.
	SoundBelow = 0.2
)

type (
	// End is how a run ended.
	End int

	// Assessor keeps the latest runs. The zero Assessor has seen none.
	Assessor struct {
		badly, all averager.Sum
	}
)

// Take takes the end of a run.
func (a *Assessor) Take(now time.Time, e End) {
	if e == EndUnclear {
		return
	}
	a.all.Add(now, memory, 1)
	if e == EndBadly {
		a.badly.Add(now, memory, 1)
	}
}

// Failing returns the part of the runs that end badly, from 0 to below 1.
func (a *Assessor) Failing(now time.Time) float64 {
	return a.badly.At(now, memory) / (a.all.At(now, memory) + presumed)
}

// Sound reports whether a server of which a part of the runs ends badly is sound.
func Sound(failing float64) bool {
	return failing < SoundBelow
}
