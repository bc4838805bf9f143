package exchanger

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRetry says whether retrying a failed call may help. A node sets it to
	// RetryNo on an error that was caused further down the call chain.
	HeaderRetry = "Flamingotack-Retry"
	// RetryNo says that retrying does not help.
	RetryNo = "no"

	// maxStatus is the highest HTTP status code.
	maxStatus = 599

	// nodeHeaderPrefix is the prefix of the fields that nodes set themselves.
	nodeHeaderPrefix = "Flamingotack-"
)

// hopByHopFields are the fields that apply to one connection only (RFC 9110,
// section 7.6.1).
var hopByHopFields = []string{
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

// IsAnswerStatus reports whether status is that of an answer: 200 to 599. A lower one is
// interim or none, a higher one is none (RFC 9110, section 15).
func IsAnswerStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// EndToEndHeader returns a copy of h without the hop-by-hop fields and without the fields
// that nodes set themselves.
func EndToEndHeader(h http.Header) http.Header {
	c := h.Clone()
	StripHopByHop(c)
	for name := range c {
		if strings.HasPrefix(name, nodeHeaderPrefix) {
			c.Del(name)
		}
	}
	return c
}

// CheckFieldNames returns an error if the name of a field holds a byte that none may hold, such
// as a blank before the colon. net/http accepts blanks, so that a recipient may read another
// field than this process.
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("name of header field %q is invalid", name)
		}
	}
	return nil
}

// StripHopByHop deletes from h the fields that apply to one connection only, including
// those that its Connection field lists.
func StripHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
}
