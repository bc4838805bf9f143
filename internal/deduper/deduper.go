// Package deduper remembers the idempotency keys of requests that must not run
// twice. It is a table without input, output or clock; the node that holds a
// slot of keys asks it before each run.
//
// A key runs at most once as long as
//
//   - the tenures of two holders of a slot do not overlap;
//   - the wall clocks of callers that put the time into their keys (UUID
//     version 7) and those of nodes differ by less than Skew;
//   - other keys are not used again after the replay window.
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
	// MaxAnswer is the largest body of an answer that is kept, in bytes.
	MaxAnswerBytes = 64 << 10
	// MaxBytes bounds the memory of a table.
	MaxTableBytes = 24 << 20
	// Skew bounds the difference between two wall clocks.
	MaxClockSkew = 10 * time.Second
	// Slots is the number of slots that the keys of a service fall into.
	SlotCount = 64

	// claimMargin is how long after its deadline a claim may still be
	// settled before it counts as unknown.
	claimMargin = 2 * time.Second
	// entryBytes is the memory of a kept key without its answer.
	entryBytes = 512
)

// What a holder says to a claim.
const (
	// VerdictConflict says that the key stands for another request.
	VerdictConflict Verdict = "conflict"
	// VerdictFull says that the table is full; the request has not run.
	VerdictTableFull Verdict = "full"
	// VerdictJoin says that the request runs.
	VerdictRunning Verdict = "join"
	// VerdictKept says that the request was answered.
	VerdictAnswered Verdict = "kept"
	// VerdictMoved says that the node does not hold the slot.
	VerdictNotHolder Verdict = "moved"
	// VerdictRun says that the claimant shall run the request, once.
	VerdictRun Verdict = "run"
	// VerdictUnknown says that the request may have run.
	VerdictUnknown Verdict = "unknown"
)

// The states of an entry.
const (
	stateRunning state = iota
	stateAnswered
	stateUnknown
)

type (
	// Answer is a kept answer.
	Answer struct {
		// Status is the HTTP status code.
		Status int
		// Header holds the end-to-end header fields.
		Header http.Header
		// Body is whole.
		Body []byte
	}

	// Claim asks for the right to run a request.
	Claim struct {
		// Key is the digest of the idempotency key.
		KeyDigest Digest
		// Request is the digest of what is asked.
		RequestDigest Digest
		// ID names this attempt. Only its own claimant settles it.
		AttemptID uuid.UUID
		// Claimant is the incarnation of the claiming node.
		Claimant string
		// Born is the time in the idempotency key; zero without one.
		KeyTime time.Time
		// Deadline is when the request has ended.
		Deadline time.Time
		// Replay is how long the key is kept.
		ReplayWindow time.Duration
	}

	// Digest is a SHA-256 digest.
	Digest [sha256.Size]byte

	// Outcome is how a claimed request ended.
	Outcome struct {
		// Released says that it has not run: the key is free again.
		NotRun bool
		// Answer is nil when it may have run but has no whole answer.
		Answer *Answer
	}

	// Slot names a part of a service's keys.
	Slot struct {
		// Service is the name of the service.
		Service string
		// Number is 0 to Slots-1.
		Number int
	}

	// Verdict is what a holder says to a claim.
	Verdict string

	state int
)

// KeyDigest returns the digest of a customer's idempotency key for a service.
// Equal keys of two customers or services have different digests.
func KeyDigest(service, customer, key string) Digest {
	return digest(service, customer, key)
}

// RequestDigest returns the digest of what a request asks for.
func RequestDigest(r *exchanger.Request) Digest {
	return digest(r.Method, r.Path, r.Query, string(r.Body))
}

// SlotOf returns the slot of a key.
func SlotForKey(service string, key Digest) Slot {
	return Slot{Service: service, Number: int(key[0]) % SlotCount}
}

// Born returns the time in an idempotency key that is a UUID of version 7;
// zero for any other key and for a time that lies ahead of now.
func KeyTime(key string, now time.Time) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	born := time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
	if born.After(now.Add(MaxClockSkew)) {
		return time.Time{}
	}
	return born
}

// digest returns the digest of texts, each with its length.
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
