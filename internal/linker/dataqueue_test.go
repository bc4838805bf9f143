package linker

import (
	"runtime"
	"testing"
	"weak"

	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// TestSmallCallsOvertakeBodies guards against small calls that wait until the large bodies that
// were queued before them are sent, and against bodies whose parts change their order or wait for
// each other.
func TestSmallCallsOvertakeBodies(t *testing.T) {
	const parts = 40
	s := newSession(timekeeper.SystemClock{}, nil, func() {})
	for number := uint64(1); number <= 2; number++ {
		frames := []*framer.Frame{{Number: number, Run: &framer.Run{Body: make([]byte, maxFrameBodyBytes)}, More: true}}
		for i := range parts {
			data := make([]byte, maxFrameBodyBytes)
			data[0] = byte(i)
			frames = append(frames, &framer.Frame{Number: number, Data: data, More: i < parts-1})
		}
		s.enqueue(frames...)
	}
	s.enqueue(&framer.Frame{Number: 3, Run: &framer.Run{}})
	received := map[uint64]int{}
	for batch := 1; !s.allSent(); batch++ {
		// A steady load of calls of 64 KiB must not keep the bodies back.
		s.enqueue(&framer.Frame{Number: 100, Run: &framer.Run{Body: make([]byte, maxFrameBodyBytes)}})
		size, data := 0, 0
		begun := received[1] > 0 && received[1] <= parts || received[2] > 0 && received[2] <= parts
		for _, f := range s.nextBatch() {
			number := f.GetNumber()
			size += len(f.GetRun().GetBody()) + len(f.GetData())
			switch {
			case f.GetData() != nil:
				if int(f.GetData()[0]) != received[number]-1 {
					t.Fatalf("call %d: got part %d after %d frames, want its parts in order", number, f.GetData()[0], received[number])
				}
				data++
			case number <= 2 && received[number] != 0:
				t.Fatalf("call %d: got its first frame after %d others, want it first", number, received[number])
			case number == 3 && batch > 3:
				t.Errorf("got the small call in batch %d, want it before the bodies", batch)
			}
			received[number]++
		}
		if max(received[1], received[2])-min(received[1], received[2]) > 1 {
			t.Errorf("got %d and %d frames of two bodies, want them to take turns", received[1], received[2])
		}
		if size >= maxBatchBytes+maxFrameBodyBytes {
			t.Errorf("got a batch of %d bytes, want less than %d", size, maxBatchBytes+maxFrameBodyBytes)
		}
		if begun && data == 0 {
			t.Errorf("batch %d: got no part of a body, want one at least", batch)
		}
		if received[1] > parts && received[2] > parts {
			break
		}
	}
	if received[1] != parts+1 || received[2] != parts+1 || received[3] != 1 {
		t.Errorf("got frames %v, want all", received)
	}
}

// TestSentBodiesAreNotKept guards against queues that keep the parts of a body that was sent or
// dropped, although nobody has reserved memory for it any more.
func TestSentBodiesAreNotKept(t *testing.T) {
	const parts = 4
	tests := []struct {
		name string
		end  func(q *dataQueue)
	}{
		{"sent", func(q *dataQueue) {
			for range parts {
				q.take()
			}
		}},
		{"dropped halfway", func(q *dataQueue) {
			q.take()
			q.remove(1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q dataQueue
			var bodies []weak.Pointer[framer.Frame]
			for range parts {
				f := &framer.Frame{Number: 1, Data: make([]byte, maxFrameBodyBytes)}
				bodies = append(bodies, weak.Make(f))
				q.add(f)
			}
			tt.end(&q)
			runtime.GC()
			for i, f := range bodies {
				if f.Value() != nil {
					t.Errorf("part %d is still kept", i)
				}
			}
			runtime.KeepAlive(&q)
		})
	}
}
