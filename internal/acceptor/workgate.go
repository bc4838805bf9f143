package acceptor

import (
	"errors"
	"runtime"
	"sync"
	"time"
)

const (
	// maxOrdinaryLines is the number of header lines from which the rest of a head counts as
	// laborious input.
	maxOrdinaryLines = 128
	// maxOrdinaryChunkedBytes is the number of bytes from which the rest of a body in chunks
	// counts as laborious input.
	maxOrdinaryChunkedBytes = 128 << 10
	// maxWorkWait is how long a connection waits for its turn to process laborious input.
	maxWorkWait = time.Second
	// workSlotDivisor determines how many connections process laborious input at once: the
	// number of processors divided by it, but at least one.
	workSlotDivisor = 2
)

var errTooLaborious = errors.New("too many heads of many lines or bodies in chunks at once")

type (
	// workGate bounds how many connections process laborious input at once, so that other
	// requests find few of them before theirs at the processor. A head of thousands of lines
	// takes a hundred times as long as an ordinary request. Waiting connections take turns
	// after each read. The zero value is ready for use.
	workGate struct {
		once  sync.Once
		slots chan struct{}
	}

	// inputWork tells how laborious the request is that a connection reads. Only the
	// goroutine that reads uses it.
	inputWork struct {
		gate *workGate
		// lines and chunkedBytes are what was read of the head and of a body in chunks.
		lines, chunkedBytes int
		// inGate says that the connection has a slot of the gate.
		inGate bool
	}
)

// enter waits for a slot, at most maxWorkWait, and reports whether there is one.
func (g *workGate) enter() bool {
	g.once.Do(func() { g.slots = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/workSlotDivisor)) })
	select {
	case g.slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(maxWorkWait)
	defer timer.Stop()
	select {
	case g.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// leave gives a slot back.
func (g *workGate) leave() {
	<-g.slots
}

// addLines counts lines of a head that were read and are about to be parsed.
func (w *inputWork) addLines(lines int) error {
	w.lines += lines
	return w.enterIfLaborious()
}

// addChunked counts bytes of a body in chunks that were read and are about to be parsed.
func (w *inputWork) addChunked(data []byte) error {
	w.chunkedBytes += len(data)
	return w.enterIfLaborious()
}

// enterIfLaborious waits for a slot of the gate if what was read is laborious. The error is
// errTooLaborious if others have all slots for too long.
func (w *inputWork) enterIfLaborious() error {
	if w.inGate || w.lines <= maxOrdinaryLines && w.chunkedBytes <= maxOrdinaryChunkedBytes {
		return nil
	}
	if w.inGate = w.gate.enter(); !w.inGate {
		return errTooLaborious
	}
	// A slot that passes from goroutine to goroutine would keep the scheduler from those that
	// wait for the network.
	runtime.Gosched()
	return nil
}

// pause gives the slot back once what was read is parsed.
func (w *inputWork) pause() {
	if w.inGate {
		w.inGate = false
		w.gate.leave()
	}
}

// reset prepares for the next request.
func (w *inputWork) reset() {
	w.pause()
	w.lines, w.chunkedBytes = 0, 0
}
