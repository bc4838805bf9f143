package measurer

import (
	"math"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
)

// RuntimeLimitBytes returns the memory limit that the Go runtime of this process got from its
// environment (GOMEMLIMIT) or from debug.SetMemoryLimit, in bytes; 0 if it got none.
func RuntimeLimitBytes() int64 {
	limitBytes := debug.SetMemoryLimit(-1)
	if limitBytes == math.MaxInt64 {
		return 0
	}
	return limitBytes
}

// SystemMemoryBytes returns the memory of this machine in bytes, as the operating system reports
// it.
func SystemMemoryBytes() (totalBytes int64, err error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0, errors.Wrap(err, "read the memory of the machine")
	}
	return int64(info.Totalram * uint64(info.Unit)), nil
}
