// Package measurer reads what a process of this machine has used.
package measurer

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// Usage is what a process has used since its start.
type Usage struct {
	// Read and Written are bytes, sockets included.
	ReadBytes, WrittenBytes uint64
	// Calls are system calls that read or write.
	IOCalls uint64
	// Processor is the time on processors.
	CPUTime time.Duration
	// Resident is the memory in use now, in bytes.
	ResidentBytes uint64
}

// Read returns the usage of the process with that id, from /proc.
func ReadUsage(pid int) (u Usage, err error) {
	defer func() { err = errors.Wrapf(err, "usage of process %d", pid) }()
	io, err := fields(pid, "io")
	if err != nil {
		return Usage{}, err
	}
	u.ReadBytes, u.WrittenBytes = io["rchar"], io["wchar"]
	u.IOCalls = io["syscr"] + io["syscw"]
	status, err := fields(pid, "status")
	if err != nil {
		return Usage{}, err
	}
	u.ResidentBytes = status["VmRSS"] << 10
	u.CPUTime, err = processor(pid)
	return u, err
}

// fields reads a file of lines such as "name: 12 kB".
func fields(pid int, file string) (values map[string]uint64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil, err
	}
	values = map[string]uint64{}
	for line := range strings.Lines(string(data)) {
		name, rest, _ := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		if n, err := strconv.ParseUint(words[0], 10, 64); err == nil {
			values[name] = n
		}
	}
	return values, nil
}

// processor adds user and system time, the 14th and 15th field of stat.
func processor(pid int) (d time.Duration, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	words := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(words) < 13 {
		return 0, errors.New("stat is too short")
	}
	for _, w := range words[11:13] {
		ticks, err := strconv.ParseInt(w, 10, 64)
		if err != nil {
			return 0, err
		}
		d += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	return d, nil
}
