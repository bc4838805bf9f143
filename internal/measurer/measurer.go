// Package measurer reads the resource usage of a process on this machine.
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

// Usage is the resource usage of a process since its start.
type Usage struct {
	// ReadBytes and WrittenBytes include sockets.
	ReadBytes, WrittenBytes uint64
	// IOCalls is the number of system calls that read or write.
	IOCalls uint64
	// CPUTime is the user and system time.
	CPUTime time.Duration
	// ResidentBytes is the resident memory now, not since the start.
	ResidentBytes uint64
}

// ReadUsage reads the usage of the process with the given id from /proc.
func ReadUsage(pid int) (u Usage, err error) {
	defer func() { err = errors.Wrapf(err, "read usage of process %d", pid) }()
	io, err := readFields(pid, "io")
	if err != nil {
		return Usage{}, err
	}
	u.ReadBytes, u.WrittenBytes = io["rchar"], io["wchar"]
	u.IOCalls = io["syscr"] + io["syscw"]
	status, err := readFields(pid, "status")
	if err != nil {
		return Usage{}, err
	}
	u.ResidentBytes = status["VmRSS"] << 10
	u.CPUTime, err = readCPUTime(pid)
	return u, err
}

// readFields reads a file of /proc with lines such as "name: 12 kB". It skips
// lines without a number.
func readFields(pid int, file string) (values map[string]uint64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil, err
	}
	values = map[string]uint64{}
	for line := range strings.Lines(string(data)) {
		name, rest, _ := strings.Cut(line, ":")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		if n, err := strconv.ParseUint(fields[0], 10, 64); err == nil {
			values[name] = n
		}
	}
	return values, nil
}

// readCPUTime returns the sum of user and system time, the 14th and 15th field
// of stat.
func readCPUTime(pid int) (d time.Duration, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.Newf("stat has %d fields after the command, expected at least 13", len(fields))
	}
	for _, w := range fields[11:13] {
		ticks, err := strconv.ParseInt(w, 10, 64)
		if err != nil {
			return 0, err
		}
		d += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	return d, nil
}
