package receiver

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const problemType = "application/problem+json"

// Problem is the body of a refusal, RFC 9457 problem details.
type ProblemDetails struct {
	// Type is a URI reference that identifies the reason.
	Type string `json:"type"`
	// Title is the text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail explains the refusal to a person.
	Detail string `json:"detail"`
	// Ran is "no" when the request has not run, else "unknown".
	Ran exchanger.Ran `json:"ran"`
	// Reason is the cause in one word.
	Reason exchanger.Reason `json:"reason"`
}

// writeAnswer writes a whole answer. The first piece of the body is read
// before the head is written, so that an answer that breaks off at once can
// still be refused. status is 0 while nothing was written.
func writeAnswer(w *echo.Response, a *exchanger.Answer) (status int, err error) {
	first := make([]byte, copyBytes)
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
		return a.Status, callerGone()
	}
	if ended {
		return a.Status, nil
	}
	return a.Status, copyBody(w, a.Body, first)
}

func callerGone() error {
	return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCanceled, "the caller is gone")
}

func copyBody(w *echo.Response, body io.Reader, buffer []byte) error {
	for {
		n, err := body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return callerGone()
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
