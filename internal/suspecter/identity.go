package suspecter

import (
	"crypto/sha256"
	"encoding/binary"
)

type (
	// Digest identifies a request by customer, calling service, service, route, method,
	// path, query and body, so that a resend through another node is the same request.
	Digest [sha256.Size]byte

	// RequestIdentity holds the properties by which two requests are the same.
	RequestIdentity struct {
		// Customer is the name of the customer; empty for anonymous requests.
		Customer string
		// CallerService is the service where the request started, if it is known.
		CallerService string
		// Service and Route determine the backend server.
		Service, Route string
		// Method, Path and Query are those of the request.
		Method, Path, Query string
		// Body is the complete body, or its first part if MoreBody has further parts.
		Body []byte
		// MoreBody holds the parts of the body that follow Body, in order.
		MoreBody [][]byte

		// digest is the digest if it was computed before.
		digest *Digest
	}
)

// NewDigest returns the digest of i. It reads the whole body, unless WithDigest has done so.
func NewDigest(i RequestIdentity) (d Digest) {
	if i.digest != nil {
		return *i.digest
	}
	h := sha256.New()
	for _, part := range []string{i.Customer, i.CallerService, i.Service, i.Route, i.Method, i.Path, i.Query} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(i.Body)
	for _, part := range i.MoreBody {
		h.Write(part)
	}
	h.Sum(d[:0])
	return d
}

// WithDigest returns i with its digest computed, so that a tracker does not read the body while
// its caller holds a lock.
func (i RequestIdentity) WithDigest() RequestIdentity {
	d := NewDigest(i)
	i.digest = &d
	return i
}
