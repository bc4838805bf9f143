// Package dispatcher forwards requests from the node that admitted them to the
// node that runs them.
package dispatcher

import (
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/messenger"
)

// EncodeHeader returns the fields of a header as messages, sorted by name.
func EncodeHeader(h http.Header) []*messenger.Field {
	fields := make([]*messenger.Field, 0, len(h))
	for name, values := range h {
		fields = append(fields, &messenger.Field{Name: name, Values: values})
	}
	slices.SortFunc(fields, func(a, b *messenger.Field) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return fields
}

// EncodeRefusal returns a refusal as a message.
func EncodeRefusal(r *exchanger.Refusal) *messenger.RunRefusal {
	return &messenger.RunRefusal{
		Status:           int32(r.Status),
		Ran:              string(r.Ran),
		Reason:           string(r.Reason),
		Detail:           r.Detail,
		RetryAfterMicros: uint64(max(0, r.RetryAfter.Microseconds())),
		Unused:           uint32(max(0, r.UnusedRetries)),
	}
}

// EncodeRequest returns a request as a message that is sent at now.
func EncodeRequest(r *exchanger.Request, now time.Time) *messenger.RunRequest {
	return &messenger.RunRequest{
		Id:             r.ID[:],
		Root:           r.RootID[:],
		Service:        r.Service,
		Route:          r.Route,
		Method:         r.Method,
		Path:           r.Path,
		Query:          r.Query,
		Header:         EncodeHeader(r.Header),
		Body:           r.Body,
		Customer:       r.Customer,
		KeyDigest:      r.KeyDigest,
		Priority:       int32(r.Priority),
		TimeoutMicros:  uint64(max(0, r.Deadline.Sub(now).Microseconds())),
		Depth:          uint32(r.Depth),
		Budget:         uint32(r.RetriesLeft),
		Attempt:        uint32(r.AttemptNumber),
		Idempotent:     r.Idempotent,
		IdempotencyKey: r.IdempotencyKey,
	}
}

// DecodeHeader returns the header in a message.
func DecodeHeader(fields []*messenger.Field) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

// DecodeRefusal returns the refusal in a message.
func DecodeRefusal(m *messenger.RunRefusal) *exchanger.Refusal {
	ran := exchanger.RanUnknown
	if m.GetRan() == string(exchanger.RanNo) {
		ran = exchanger.RanNo
	}
	return &exchanger.Refusal{
		Status:        int(m.GetStatus()),
		Ran:           ran,
		Reason:        exchanger.Reason(m.GetReason()),
		Detail:        m.GetDetail(),
		RetryAfter:    time.Duration(m.GetRetryAfterMicros()) * time.Microsecond,
		UnusedRetries: int(m.GetUnused()),
	}
}

// DecodeRequest returns the request in a message that was received at now. It
// returns an error if an ID or the priority is invalid.
func DecodeRequest(m *messenger.RunRequest, now time.Time) (r *exchanger.Request, err error) {
	defer func() { err = errors.Wrap(err, "read request message") }()
	id, err := uuid.FromBytes(m.GetId())
	if err != nil {
		return nil, err
	}
	root, err := uuid.FromBytes(m.GetRoot())
	if err != nil {
		return nil, err
	}
	priority := exchanger.Priority(m.GetPriority())
	if priority < 0 || priority >= exchanger.PriorityCount {
		return nil, errors.Newf("priority %d is out of range", priority)
	}
	return &exchanger.Request{
		ID:             id,
		RootID:         root,
		Service:        m.GetService(),
		Route:          m.GetRoute(),
		Method:         m.GetMethod(),
		Path:           m.GetPath(),
		Query:          m.GetQuery(),
		Header:         DecodeHeader(m.GetHeader()),
		Body:           m.GetBody(),
		Customer:       m.GetCustomer(),
		KeyDigest:      m.GetKeyDigest(),
		Priority:       priority,
		Deadline:       now.Add(time.Duration(m.GetTimeoutMicros()) * time.Microsecond),
		Depth:          int(m.GetDepth()),
		RetriesLeft:    int(m.GetBudget()),
		AttemptNumber:  int(m.GetAttempt()),
		Idempotent:     m.GetIdempotent(),
		IdempotencyKey: m.GetIdempotencyKey(),
	}, nil
}
