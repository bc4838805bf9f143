package accountant

const (
	// RequestBytes is the memory that a request needs beside its head and body while it is in
	// progress on a node: goroutines with their stacks, contexts, timers and messages.
	RequestBytes = 16 << 10
	// accountFraction is the share of the instance's memory that requests and answers may hold.
	// On the smallest instance, 184 MB, a body of 64 MiB fits beside the share for small
	// requests, and 64 MB are left for the process, its links and garbage.
	accountFraction = 0.52
	// runtimeLimitFraction is the share of the instance's memory that the Go runtime may use,
	// beyond which garbage is collected without regard to its cost. The rest is for the
	// program itself and for what the runtime allocates before a collection ends.
	runtimeLimitFraction = 0.85
	// minSizeBytes is the size of the account on an instance with very little memory.
	minSizeBytes = 4 << 20
	// fieldBytes is the memory that a header field needs beside its name and value: a map
	// entry, strings, a slice of values and the same once more as the fields of a message
	// to another node. The test TestHeadCost measures it.
	fieldBytes = 320
	// headByteCopies is how often the bytes of a head are held: as read and as sent on.
	headByteCopies = 2
)

// HeadBytes returns the memory that a head of the given number of bytes and lines needs.
func HeadBytes(headBytes, lines int) int64 {
	return int64(headBytes)*headByteCopies + int64(lines)*fieldBytes
}

// NewForInstance returns the account of a node on an instance with the given memory in bytes.
// It returns nil, which grants everything, if the memory is not known.
func NewForInstance(instanceBytes int64) *Account {
	if instanceBytes <= 0 {
		return nil
	}
	return New(SizeBytes(instanceBytes))
}

// SizeBytes returns the size of the account on an instance with the given memory in bytes.
func SizeBytes(instanceBytes int64) int64 {
	return max(minSizeBytes, int64(accountFraction*float64(instanceBytes)))
}

// InstanceBytes returns the memory in bytes of an instance on which the Go runtime has the given
// memory limit.
func InstanceBytes(runtimeLimitBytes int64) int64 {
	return int64(float64(runtimeLimitBytes) / runtimeLimitFraction)
}

// RuntimeLimitBytes returns the memory limit of the Go runtime on an instance with the given
// memory in bytes.
func RuntimeLimitBytes(instanceBytes int64) int64 {
	return int64(runtimeLimitFraction * float64(instanceBytes))
}
