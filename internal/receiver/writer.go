package receiver

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const problemType = "application/problem+json"

// ProblemDetails is the body of a refusal, in the format of RFC 9457.
type ProblemDetails struct {
	// Type is a URI reference that identifies the reason.
	Type string `json:"type"`
	// Title is the standard text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail explains the refusal in human-readable form.
	Detail string `json:"detail"`
	// Ran is "no" when the request has not run, otherwise "unknown".
	Ran exchanger.Ran `json:"ran"`
	// Reason is the machine-readable cause.
	Reason exchanger.Reason `json:"reason"`
}

// writeAnswer writes an answer. It reads the first part of the body before it
// writes the header, so that a request whose answer fails at once can still be
// refused. status is the HTTP status written, or 0 when nothing was written.
func writeAnswer(w *echo.Response, a *exchanger.Answer) (status int, err error) {
	first := make([]byte, copyBufferBytes)
	n, err := a.Body.Read(first)
	ended := errors.Is(err, io.EOF)
	if err != nil && !ended {
		return 0, err
	}
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	if _, writeErr := w.Write(first[:n]); writeErr != nil {
		return a.Status, callerGoneRefusal()
	}
	if ended {
		return a.Status, nil
	}
	return a.Status, copyBody(w, a.Body, first)
}

// abortAnswer ends the connection to a caller that has part of an answer, so that the caller
// sees that the answer is incomplete. It panics with http.ErrAbortHandler.
func abortAnswer(c echo.Context) {
	if !c.Request().ProtoAtLeast(1, 1) {
		// An answer without a length ends with the connection in HTTP/1.0, so a caller would
		// take an ordinary end for that of the answer.
		resetConnection(c.Response())
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the connection of a request. It does nothing if the server does not
// hand the connection over.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if secure, ok := conn.(*tls.Conn); ok {
		// Close of a TLS connection would announce an ordinary end.
		conn = secure.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func callerGoneRefusal() error {
	return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCanceled, "the caller is gone")
}

func copyBody(w *echo.Response, body io.Reader, buffer []byte) error {
	for {
		n, err := body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return callerGoneRefusal()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		w.Flush()
	}
}

func writeProblem(w *echo.Response, r *exchanger.Refusal) {
	w.Header().Set(echo.HeaderContentType, problemType)
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if r.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(ProblemDetails{
		Type:   "about:blank#" + string(r.Reason),
		Title:  http.StatusText(r.Status),
		Status: r.Status,
		Detail: r.Detail,
		Ran:    r.Ran,
		Reason: r.Reason,
	})
}
