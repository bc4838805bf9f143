package accountant

import (
	"runtime"
	"testing"
	"time"
)

const testPartBytes = 1 << 20

// newPartHolder returns a holder of an account whose parts may occupy ten test parts.
func newPartHolder() (a *Account, h *Holder) {
	a, h = New(8*testPartBytes), &Holder{}
	a.Register(h, nil)
	return a, h
}

// allocateParts allocates test parts until it fails or there are count.
func allocateParts(h *Holder, count int) (parts [][]byte) {
	for range count {
		part, allocated := h.AllocatePart(testPartBytes)
		if !allocated {
			break
		}
		parts = append(parts, part)
	}
	return parts
}

// TestReleasedPartsMakeRoomOnlyOnceCollected guards against parts that nobody holds any more and
// that occupy memory beside new ones, and against refusals while a collection would free them.
func TestReleasedPartsMakeRoomOnlyOnceCollected(t *testing.T) {
	a, h := newPartHolder()
	for range 100 {
		part, allocated := h.AllocatePart(testPartBytes)
		if !allocated {
			t.Fatal("got no part while all earlier ones are garbage")
		}
		if got, want := a.PartBytes(), a.parts.limitBytes; got > want {
			t.Fatalf("got %d bytes of parts, want at most %d", got, want)
		}
		runtime.KeepAlive(part)
	}
	if a.Collections() == 0 {
		t.Error("got no collection, want some for parts of ten times the limit")
	}
}

// TestHeldPartsAreNotExceeded guards against parts beyond the limit while all are in use, and
// against waits without end.
func TestHeldPartsAreNotExceeded(t *testing.T) {
	a, h := newPartHolder()
	parts := allocateParts(h, 100)
	if got, want := len(parts), int(a.parts.limitBytes/testPartBytes); got != want {
		t.Errorf("got %d parts, want %d", got, want)
	}
	if a.Refusals() != 1 {
		t.Errorf("got %d refusals, want 1", a.Refusals())
	}
	runtime.KeepAlive(parts)
}

// TestPartsAreCountedUntilCollected guards against parts of any origin that are not counted, or
// that stay counted once they are freed.
func TestPartsAreCountedUntilCollected(t *testing.T) {
	tests := []struct {
		name string
		add  func(a *Account, h *Holder) []byte
		want int64
	}{
		{"allocated", func(_ *Account, h *Holder) []byte { return allocateParts(h, 1)[0] }, testPartBytes},
		{"received", func(a *Account, _ *Holder) []byte {
			part := make([]byte, testPartBytes)
			a.AddPart(part)
			return part
		}, testPartBytes},
		{"trimmed", func(_ *Account, h *Holder) []byte {
			part, _ := h.TrimPart(make([]byte, testPartBytes, 2*testPartBytes), testPartBytes)
			return part
		}, testPartBytes},
		{"small", func(a *Account, h *Holder) []byte {
			part, _ := h.AllocatePart(minPartBytes - 1)
			a.AddPart(part)
			part, _ = h.TrimPart(part[:1], 1)
			return part
		}, 0},
		{"none", func(a *Account, _ *Holder) []byte {
			a.AddPart(nil)
			return nil
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, h := newPartHolder()
			part := tt.add(a, h)
			if got := a.PartBytes(); got != tt.want {
				t.Errorf("got %d bytes of parts, want %d", got, tt.want)
			}
			runtime.KeepAlive(part)
			for deadline := time.Now().Add(30 * time.Second); a.PartBytes() > 0; time.Sleep(time.Millisecond) {
				runtime.GC()
				if time.Now().After(deadline) {
					t.Fatalf("got %d bytes of parts, want 0 after a collection", a.PartBytes())
				}
			}
		})
	}
}

// TestPartsWithoutAccount guards against bounds on parts where the memory is not known.
func TestPartsWithoutAccount(t *testing.T) {
	var a *Account
	var h Holder
	a.AddPart(make([]byte, testPartBytes))
	part, allocated := h.AllocatePart(testPartBytes)
	trimmed, savedBytes := h.TrimPart(part[:1], 1)
	if !allocated || len(trimmed) != 1 || savedBytes != testPartBytes-1 {
		t.Errorf("got a part: %t, trimmed to %d bytes, %d saved; want 1 and %d", allocated, len(trimmed), savedBytes, testPartBytes-1)
	}
	if a.PartBytes() != 0 || a.Collections() != 0 {
		t.Errorf("got %d bytes and %d collections, want none", a.PartBytes(), a.Collections())
	}
}
