package journaler

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// RecordsPath is the path of the log's records.
	RecordsPath = "/records"

	maxPageBytes      = 64 << 20
	maxErrorBodyBytes = 4 << 10
)

type (
	// AppendResponse is the response to an append.
	AppendResponse struct {
		// Offset is the offset of the new record.
		Offset uint64 `json:"offset"`
	}

	// HTTPLog is a Log that uses the HTTP API of the platform's log service.
	HTTPLog struct {
		// Client sends the requests. It must not be nil.
		Client *http.Client
		// URL is the base URL of the service, without a trailing slash.
		URL string
	}

	// StatusError reports a response with an unexpected status.
	StatusError struct {
		// Status is the HTTP status code.
		Status int
		// Text is the start of the response's body.
		Text string
	}
)

// NewHTTPLog returns the HTTPLog at url. It sets no timeouts: the context of
// each call has the deadline.
func NewHTTPLog(url string) *HTTPLog {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &HTTPLog{Client: &http.Client{Transport: transport}, URL: url}
}

// Append appends a record and returns its offset. The error can be a
// *StatusError.
func (h *HTTPLog) Append(ctx context.Context, data []byte) (offset uint64, err error) {
	defer func() { err = errors.Wrap(err, "append to log") }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL+RecordsPath, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	var response AppendResponse
	if err := h.doJSON(request, http.StatusCreated, &response); err != nil {
		return 0, err
	}
	return response.Offset, nil
}

// Read returns entries as Log describes. The error can be a *TrimmedError or a
// *StatusError.
func (h *HTTPLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (page Page, err error) {
	defer func() { err = errors.Wrapf(err, "read log from offset %d", from) }()
	query := url.Values{
		"from":  {strconv.FormatUint(from, 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.URL+RecordsPath+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return Page{}, err
	}
	err = h.doJSON(request, http.StatusOK, &page)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		trimmed := &TrimmedError{WantedOffset: from}
		_ = json.Unmarshal([]byte(status.Text), &page)
		trimmed.OldestOffset = page.OldestOffset
		return page, trimmed
	}
	return page, err
}

// Error names the status and the start of the response's body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log responded with status %d: %s", e.Status, e.Text)
}

// doJSON sends the request and decodes the JSON response into target. The error
// is a *StatusError when the status is not want.
func (h *HTTPLog) doJSON(request *http.Request, want int, target any) (err error) {
	response, err := h.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != want {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
		return &StatusError{Status: response.StatusCode, Text: string(text)}
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxPageBytes)).Decode(target)
}
