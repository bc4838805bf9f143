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

	maxPageBytes  = 64 << 20
	maxErrorBytes = 4 << 10
)

type (
	// Appended is the answer to an append.
	AppendResponse struct {
		// Offset is where the record stands.
		Offset uint64 `json:"offset"`
	}

	// HTTP is the Log of the platform's service.
	HTTPLog struct {
		// Client sends the requests. It is never nil.
		Client *http.Client
		// URL is the service's address without a trailing slash.
		URL string
	}

	// StatusError says that the service answered with an unexpected status.
	StatusError struct {
		// Status is the HTTP status code.
		Status int
		// Text is the start of the answer's body.
		Text string
	}
)

// NewHTTP returns an HTTP log at that URL. Deadlines come with each call's
// context.
func NewHTTPLog(url string) *HTTPLog {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &HTTPLog{Client: &http.Client{Transport: transport}, URL: url}
}

// Append adds a record and returns its offset.
func (h *HTTPLog) Append(ctx context.Context, data []byte) (offset uint64, err error) {
	defer func() { err = errors.Wrap(err, "append to log") }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL+RecordsPath, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	var answer AppendResponse
	if err := h.do(request, http.StatusCreated, &answer); err != nil {
		return 0, err
	}
	return answer.Offset, nil
}

// Read returns entries from an offset on.
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
	err = h.do(request, http.StatusOK, &page)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		trimmed := &TrimmedError{WantedOffset: from}
		_ = json.Unmarshal([]byte(status.Text), &page)
		trimmed.OldestOffset = page.OldestOffset
		return page, trimmed
	}
	return page, err
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log answered %d: %s", e.Status, e.Text)
}

func (h *HTTPLog) do(request *http.Request, want int, target any) (err error) {
	response, err := h.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != want {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &StatusError{Status: response.StatusCode, Text: string(text)}
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxPageBytes)).Decode(target)
}
