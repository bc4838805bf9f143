package suspecter

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

const (
	// answeredSlots is the number of requests that an answeredCache keeps. Each takes 8 bytes.
	answeredSlots = 4096
	// maxFingerprintBytes is the largest body that is read for a fingerprint.
	maxFingerprintBytes = 64 << 10
)

// answeredCache keeps fingerprints of requests that the present incarnation of the backend server
// has answered, in a hash table in which a later request takes the place of an earlier one. The zero
// value is empty.
type answeredCache struct {
	// fingerprints is nil or has answeredSlots elements; 0 stands for none.
	fingerprints []uint64
}

func (c *answeredCache) add(i RequestIdentity) {
	f := fingerprint(i)
	if f == 0 {
		return
	}
	if c.fingerprints == nil {
		c.fingerprints = make([]uint64, answeredSlots)
	}
	c.fingerprints[f%answeredSlots] = f
}

// contains reports whether the cache has the request with that fingerprint.
func (c *answeredCache) contains(fingerprint uint64) bool {
	return fingerprint != 0 && c.fingerprints != nil && c.fingerprints[fingerprint%answeredSlots] == fingerprint
}

func (c *answeredCache) clear() {
	clear(c.fingerprints)
}

// fingerprint returns a short hash of what Digest identifies; 0 if the body is large.
func fingerprint(i RequestIdentity) uint64 {
	if len(i.MoreBody) > 0 || len(i.Body) > maxFingerprintBytes {
		return 0
	}
	sums := [...]uint64{
		xxh3.HashString(i.Customer), xxh3.HashString(i.CallerService), xxh3.HashString(i.Service), xxh3.HashString(i.Route),
		xxh3.HashString(i.Method), xxh3.HashString(i.Path), xxh3.HashString(i.Query), xxh3.Hash(i.Body),
	}
	var buffer [8 * len(sums)]byte
	for n, sum := range sums {
		binary.LittleEndian.PutUint64(buffer[8*n:], sum)
	}
	return xxh3.Hash(buffer[:])
}
