package acceptor

import (
	"errors"
	"runtime"
	"sync"
	"time"
)

const (
	// maxOrdinaryLines is the number of header lines after which the rest of a head counts as
	// expensive to parse.
	maxOrdinaryLines = 128
	// maxOrdinaryChunkedBytes is the number of bytes after which the rest of a body in chunks
	// counts as expensive to parse.
	maxOrdinaryChunkedBytes = 128 << 10
	// maxParseWait is how long a connection waits for its turn to parse expensive input.
	maxParseWait = time.Second
	// parseSlotDivisor determines how many connections parse expensive input at once: the
	// number of processors divided by it, but at least one.
	parseSlotDivisor = 2
)

var errParserBusy = errors.New("too many heads of many lines or bodies in chunks are being read")

type (
	// parseLimiter bounds how many connections parse expensive input at once, so that ordinary
	// requests wait for few of them. Connections take turns after each read. The zero value
	// is ready for use.
	parseLimiter struct {
		once  sync.Once
		slots chan struct{}
	}

	// parseCost tells how expensive it is to parse the request that a connection reads. Only
	// the goroutine that reads uses it.
	parseCost struct {
		limiter *parseLimiter
		// lines and chunkedBytes are what was read of the head and of a body in chunks.
		lines, chunkedBytes int
		// hasSlot says that the connection has a slot of the limiter.
		hasSlot bool
	}
)

// acquire waits for a slot, at most maxParseWait, and reports whether there is one.
func (l *parseLimiter) acquire() bool {
	l.once.Do(func() { l.slots = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/parseSlotDivisor)) })
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(maxParseWait)
	defer timer.Stop()
	select {
	case l.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// release gives a slot back.
func (l *parseLimiter) release() {
	<-l.slots
}

// addLines counts lines of a head that were read and are about to be parsed.
func (p *parseCost) addLines(lines int) error {
	p.lines += lines
	return p.acquireIfExpensive()
}

// addChunked counts bytes of a body in chunks that were read and are about to be parsed.
func (p *parseCost) addChunked(data []byte) error {
	p.chunkedBytes += len(data)
	return p.acquireIfExpensive()
}

// acquireIfExpensive waits for a slot if the request is expensive to parse. The error is
// errParserBusy if other connections have all slots for maxParseWait.
func (p *parseCost) acquireIfExpensive() error {
	if p.hasSlot || p.lines <= maxOrdinaryLines && p.chunkedBytes <= maxOrdinaryChunkedBytes {
		return nil
	}
	if p.hasSlot = p.limiter.acquire(); !p.hasSlot {
		return errParserBusy
	}
	// The scheduler runs a goroutine that gets a slot within the time slice of the one that
	// released it. Without a yield, the others would hardly run.
	runtime.Gosched()
	return nil
}

// releaseSlot gives the slot back, if there is one, once what was read is parsed.
func (p *parseCost) releaseSlot() {
	if p.hasSlot {
		p.hasSlot = false
		p.limiter.release()
	}
}

// reset prepares for the next request.
func (p *parseCost) reset() {
	p.releaseSlot()
	p.lines, p.chunkedBytes = 0, 0
}
