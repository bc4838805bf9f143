package linker

import (
	"slices"

	"github.com/flamingotack/flamingotack/internal/framer"
)

type (
	// dataQueue queues the frames with further parts of large bodies. Those of one call keep
	// their order, and the calls take turns. The zero value is empty.
	dataQueue struct {
		// calls holds the calls with queued frames, the next one first.
		calls []*callData
		// held holds the calls whose first frame is still queued elsewhere. Their frames
		// must not overtake it.
		held map[uint64]*callData
	}

	// callData holds the queued frames of one call; at least one unless it is held.
	callData struct {
		number uint64
		frames []*framer.Frame
	}
)

// isEmpty reports whether no frame may be sent.
func (q *dataQueue) isEmpty() bool {
	return len(q.calls) == 0
}

// hold keeps the frames of a call that are added from now on until unhold is called.
func (q *dataQueue) hold(number uint64) {
	if q.held == nil {
		q.held = map[uint64]*callData{}
	}
	q.held[number] = &callData{number: number}
}

// unhold lets the frames of a call be sent.
func (q *dataQueue) unhold(number uint64) {
	c := q.held[number]
	delete(q.held, number)
	if c != nil && len(c.frames) > 0 {
		q.calls = append(q.calls, c)
	}
}

// add appends a frame to those of its call.
func (q *dataQueue) add(f *framer.Frame) {
	if c := q.held[f.GetNumber()]; c != nil {
		c.frames = append(c.frames, f)
		return
	}
	// The frames of a call are mostly added one after the other.
	for _, c := range slices.Backward(q.calls) {
		if c.number == f.GetNumber() {
			c.frames = append(c.frames, f)
			return
		}
	}
	q.calls = append(q.calls, &callData{number: f.GetNumber(), frames: []*framer.Frame{f}})
}

// remove drops the frames of a call.
func (q *dataQueue) remove(number uint64) {
	delete(q.held, number)
	q.calls = slices.DeleteFunc(q.calls, func(c *callData) bool { return c.number == number })
}

// take removes and returns the next frame of the call whose turn it is. The queue must not be
// empty.
func (q *dataQueue) take() *framer.Frame {
	c := q.calls[0]
	f := c.frames[0]
	// The arrays behind the slices stay, so they must not keep a sent body.
	c.frames[0], q.calls[0] = nil, nil
	c.frames = c.frames[1:]
	q.calls = q.calls[1:]
	if len(c.frames) > 0 {
		q.calls = append(q.calls, c)
	}
	return f
}
