// Package deduper deduplicates requests by idempotency key. It keeps a table of
// keys and performs no I/O and reads no clock. The holder of a slot of keys
// consults its table before each run of a request.
//
// A request with a key runs at most once if
//
//   - the tenures of two holders of a slot do not overlap;
//   - the wall clocks of nodes and of callers whose keys contain the time (UUID
//     version 7) differ by less than MaxClockSkew;
//   - keys without a time are not reused after the replay window.
package deduper

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// MaxAnswerBytes is the largest body of an answer that is stored.
	MaxAnswerBytes = 64 << 10
	// MaxTableBytes is the default memory limit of a table.
	MaxTableBytes = 24 << 20
	// MaxClockSkew bounds the difference between two wall clocks.
	MaxClockSkew = 10 * time.Second
	// SlotCount is the number of slots that the keys of a service are divided
	// into.
	SlotCount = 64

	// settleMargin is how long after its deadline a claim may still be settled
	// before its outcome counts as unknown.
	settleMargin = 2 * time.Second
	// bytesPerEntry is the memory of a key without its answer.
	bytesPerEntry = 512
)

// Results of a claim.
const (
	// VerdictConflict means that the key belongs to a different request.
	VerdictConflict Verdict = "conflict"
	// VerdictTableFull means that the table is full; the request has not run.
	VerdictTableFull Verdict = "full"
	// VerdictRunning means that the request is running.
	VerdictRunning Verdict = "join"
	// VerdictAnswered means that the request was answered and the answer is
	// stored.
	VerdictAnswered Verdict = "kept"
	// VerdictNotHolder means that the node does not hold the slot, or is still
	// waiting for the content of the previous holder.
	VerdictNotHolder Verdict = "moved"
	// VerdictRun means that the claimant must run the request, once.
	VerdictRun Verdict = "run"
	// VerdictUnknown means that the request may have run.
	VerdictUnknown Verdict = "unknown"
)

// The states of an entry.
const (
	stateRunning state = iota
	stateAnswered
	stateUnknown
)

type (
	// Answer is a stored answer.
	Answer struct {
		// Status is the HTTP status code.
		Status int
		// Header holds the end-to-end header fields.
		Header http.Header
		// Body is the complete body.
		Body []byte
	}

	// Claim requests permission to run a request.
	Claim struct {
		// KeyDigest is the digest of the idempotency key.
		KeyDigest Digest
		// RequestDigest is the digest of the request.
		RequestDigest Digest
		// AttemptID identifies this attempt. A claim is settled only with the
		// AttemptID that made it.
		AttemptID uuid.UUID
		// Claimant is the incarnation of the claiming node.
		Claimant string
		// KeyTime is the time in the idempotency key; zero without one.
		KeyTime time.Time
		// Deadline is the time by which the request has ended.
		Deadline time.Time
		// ReplayWindow is how long the key is kept.
		ReplayWindow time.Duration
	}

	// Digest is a SHA-256 digest.
	Digest [sha256.Size]byte

	// Outcome is how a claimed request ended.
	Outcome struct {
		// NotRun reports whether the request has not run; the key can then be
		// claimed again.
		NotRun bool
		// Answer is nil when the request may have run but has no complete
		// answer.
		Answer *Answer
	}

	// Slot identifies a part of a service's keys.
	Slot struct {
		// Service is the name of the service.
		Service string
		// Number is 0 to SlotCount-1.
		Number int
	}

	// Verdict is the result of a claim.
	Verdict string

	state int
)

// KeyDigest returns the digest of a customer's idempotency key for a service.
// Equal keys of different customers or services have different digests.
func KeyDigest(service, customer, key string) Digest {
	return digest(service, customer, key)
}

// RequestDigest returns the digest of a request's method, path, query and body.
func RequestDigest(r *exchanger.Request) Digest {
	return digest(r.Method, r.Path, r.Query, string(r.Body))
}

// SlotForKey returns the slot of a key.
func SlotForKey(service string, key Digest) Slot {
	return Slot{Service: service, Number: int(key[0]) % SlotCount}
}

// KeyTime returns the time in an idempotency key that is a UUID of version 7;
// zero for any other key and for a time more than MaxClockSkew after now.
func KeyTime(key string, now time.Time) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	keyTime := time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
	if keyTime.After(now.Add(MaxClockSkew)) {
		return time.Time{}
	}
	return keyTime
}

// digest returns the digest of texts, each prefixed with its length.
func digest(texts ...string) (d Digest) {
	h := sha256.New()
	var length [8]byte
	for _, text := range texts {
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		h.Write(length[:])
		h.Write([]byte(text))
	}
	h.Sum(d[:0])
	return d
}
