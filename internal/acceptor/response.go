package acceptor

import (
	"net/http"
	"strconv"

	"github.com/flamingotack/flamingotack/internal/accountant"
)

// maxCopiedBodyBytes is the size up to which a body is written together with its head.
const maxCopiedBodyBytes = 16 << 10

// appendHead appends the encoded status line and header of an exchange's response to out.
func appendHead(out []byte, e *exchange) []byte {
	r := e.response
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(r.Status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(r.Status)...)
	out = append(out, "\r\n"...)
	for name, values := range r.Header {
		if name == "Content-Length" {
			continue
		}
		for _, v := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, v...)
			out = append(out, "\r\n"...)
		}
	}
	if e.closeAfter {
		out = append(out, "Connection: close\r\n"...)
	}
	if length := r.Header.Get("Content-Length"); e.head && length != "" {
		out = append(out, "Content-Length: "+length+"\r\n"...)
	} else if bodyAllowed(r.Status) {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, r.bodyBytes(), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}

// bodyBytes returns the size of the whole body.
func (r *Response) bodyBytes() (size int64) {
	size = int64(len(r.Body))
	for _, part := range r.MoreBody {
		size += int64(len(part))
	}
	return size
}

// bodyParts returns the parts of the body that are sent. head says that the request's method
// is HEAD.
func (r *Response) bodyParts(head bool) (parts [][]byte) {
	if head || !bodyAllowed(r.Status) || len(r.Body) == 0 {
		return nil
	}
	return append([][]byte{r.Body}, r.MoreBody...)
}

// heldBytes returns the memory that the response holds.
func (r *Response) heldBytes() int64 {
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	return accountant.HeadBytes(0, lines) + r.bodyBytes()
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
