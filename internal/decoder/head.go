// Package decoder decides which bytes of a server are a response of HTTP/1.1 or HTTP/1.0. It
// accepts only what every recipient reads alike, unlike the readers of the standard library.
package decoder

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// UnknownLength is the length of a body that ends with the connection.
	UnknownLength = -1
	// usualFields is the usual number of fields of a response.
	usualFields = 8
)

type (
	// Head is the status line and the header of a response.
	Head struct {
		// Status is the HTTP status code, one that exchanger.IsAnswerStatus accepts.
		Status int
		// Header holds all header fields.
		Header http.Header
		// Length is the announced length of the body in bytes, or UnknownLength.
		Length int64
		// Chunked says that the body consists of chunks. Length is UnknownLength then.
		Chunked bool
		// Close says that the server closes the connection after the response.
		Close bool
	}

	// InvalidResponseError reports that a server sent bytes that are no response.
	InvalidResponseError struct {
		// Detail says what is wrong with them.
		Detail string
	}
)

// Error returns what is wrong with the response.
func (e *InvalidResponseError) Error() string {
	return "bytes that are no response: " + e.Detail
}

// ReadHead reads the head of a response and skips interim (1xx) ones before it. A 101 is none of
// them, as no request asks for another protocol. The error is an *InvalidResponseError or that
// of r; it is io.ErrUnexpectedEOF if r ends within a line.
func ReadHead(r *bufio.Reader) (h *Head, err error) {
	for {
		h, err = readOneHead(r)
		switch {
		case err != nil:
			return nil, err
		case exchanger.IsAnswerStatus(h.Status):
			return h, nil
		case h.Status < http.StatusContinue || h.Status >= http.StatusOK || h.Status == http.StatusSwitchingProtocols:
			return nil, &InvalidResponseError{Detail: "status " + strconv.Itoa(h.Status)}
		}
	}
}

// ReadFields reads the fields of a header or a trailer up to the empty line behind them. The
// errors are those of ReadHead. It does not use net/textproto, which accepts blanks in names and
// joins folded lines, so that the server may have meant other fields.
func ReadFields(r *bufio.Reader) (fields http.Header, err error) {
	fields = make(http.Header, usualFields)
	for {
		line, err := readLine(r)
		if err != nil || line == "" {
			return fields, err
		}
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, &InvalidResponseError{Detail: "line of the head that is no field"}
		}
		fields.Add(name, value)
	}
}

// CheckBody returns an *InvalidResponseError if the head announces a body and its status allows
// none. A 304 may give the length of what it does not send.
func (h *Head) CheckBody() error {
	switch {
	case h.Status == http.StatusNoContent && (h.Chunked || h.Length > 0), h.Status == http.StatusNotModified && h.Chunked:
		return &InvalidResponseError{Detail: "body of a response with status " + strconv.Itoa(h.Status)}
	}
	return nil
}

// readOneHead reads and checks one status line and header. It does not use http.ReadResponse,
// which takes each version and number for one of a response and ignores a length beside
// chunks.
func readOneHead(r *bufio.Reader) (h *Head, err error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	h = &Head{Length: UnknownLength}
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, &InvalidResponseError{Detail: "no status line of HTTP/1.1 or HTTP/1.0"}
	}
	if h.Status, err = parseStatus(rest); err != nil {
		return nil, err
	}
	if h.Header, err = ReadFields(r); err != nil {
		return nil, err
	}
	h.Close = hasToken(h.Header, "Connection", "close") || version == "HTTP/1.0" && !hasToken(h.Header, "Connection", "keep-alive")
	if h.Status < http.StatusOK {
		return h, nil
	}
	return h, h.parseFraming(version)
}

// readLine reads a line of a head up to the CRLF behind it and returns it without that. A
// recipient may end a line at a line feed alone or not (RFC 9112, section 2.2), so such a line
// is an *InvalidResponseError.
func readLine(r *bufio.Reader) (line string, err error) {
	line, err = r.ReadString('\n')
	switch {
	case errors.Is(err, io.EOF) && line != "":
		return "", io.ErrUnexpectedEOF
	case err != nil:
		return "", err
	}
	line, ended := strings.CutSuffix(line, "\r\n")
	if !ended {
		return "", &InvalidResponseError{Detail: "line of the head that ends with a line feed alone"}
	}
	return line, nil
}

// parseStatus parses the three digits of a status code, which a blank and a reason may follow.
func parseStatus(text string) (status int, err error) {
	digits, _, _ := strings.Cut(strings.TrimLeft(text, " "), " ")
	if len(digits) != 3 || strings.Trim(digits, "0123456789") != "" {
		return 0, &InvalidResponseError{Detail: "status is not a number of three digits"}
	}
	return strconv.Atoi(digits)
}

// parseFraming sets how the body ends. At most one field may say so, and only once.
func (h *Head) parseFraming(version string) (err error) {
	lengths, codings := h.Header["Content-Length"], h.Header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(codings) > 1:
		return &InvalidResponseError{Detail: "more than one length or coding of the body"}
	case len(lengths) == 1:
		length, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return &InvalidResponseError{Detail: "length of the body is not a number"}
		}
		h.Length = int64(length)
	case len(codings) == 1:
		h.Chunked = strings.EqualFold(codings[0], "chunked")
		if !h.Chunked || version != "HTTP/1.1" {
			return &InvalidResponseError{Detail: "unknown coding of the body"}
		}
	}
	return nil
}

// hasToken reports whether the fields of that name list the token.
func hasToken(h http.Header, name, token string) bool {
	for _, value := range h[name] {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}
