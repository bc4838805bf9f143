package measurer

import (
	"runtime/debug"
	"testing"
)

func TestRuntimeLimitBytes(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	const want = 1 << 40
	debug.SetMemoryLimit(want)
	if got := RuntimeLimitBytes(); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

func TestSystemMemoryBytes(t *testing.T) {
	totalBytes, err := SystemMemoryBytes()
	if err != nil || totalBytes < 1<<26 {
		t.Errorf("got %d bytes and error %v, want at least 64 MiB", totalBytes, err)
	}
}
