package exchanger

import (
	"net/http"
	"strings"
)

const (
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRetry tells whether repeating a failed call may help. A node sets
	// it to RetryNo on an error whose cause lies further down the chain.
	HeaderRetry = "Flamingotack-Retry"
	// RetryNo says that repeating does not help.
	RetryNo = "no"

	ownPrefix = "Flamingotack-"
)

// hopByHop are the fields that concern one connection only, RFC 9110
// section 7.6.1.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// EndToEnd returns a copy of h without the fields that concern one connection
// only and without those that nodes set themselves.
func EndToEndHeader(h http.Header) http.Header {
	c := h.Clone()
	StripHopByHop(c)
	for name := range c {
		if strings.HasPrefix(name, ownPrefix) {
			c.Del(name)
		}
	}
	return c
}

// Strip takes the fields that concern one connection only out of h.
func StripHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
