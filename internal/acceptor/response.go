package acceptor

import (
	"net/http"
	"strconv"
)

// appendResponse appends the encoded response of an exchange to out.
func appendResponse(out []byte, e *exchange) []byte {
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
	isHead := e.request != nil && e.request.Method == http.MethodHead
	if length := r.Header.Get("Content-Length"); isHead && length != "" {
		out = append(out, "Content-Length: "+length+"\r\n"...)
	} else if bodyAllowed(r.Status) {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(r.Body)), 10)
		out = append(out, "\r\n"...)
	}
	out = append(out, "\r\n"...)
	if isHead || !bodyAllowed(r.Status) {
		return out
	}
	return append(out, r.Body...)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
