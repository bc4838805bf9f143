package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// downstreamError is returned when a call to another service failed.
type downstreamError struct {
	service string
	status  int
}

// Error returns the service and the status.
func (e *downstreamError) Error() string {
	return fmt.Sprintf("call to service %q ended with status %d", e.service, e.status)
}

// statusForCaller returns the status that the server answers after the failed
// call.
func (e *downstreamError) statusForCaller() int {
	if e.status == http.StatusTooManyRequests || e.status == http.StatusServiceUnavailable {
		return http.StatusServiceUnavailable
	}
	if e.status == http.StatusGatewayTimeout {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// callDownstreams makes the calls to other services sequentially.
func (x *requestExecution) callDownstreams(ctx context.Context) error {
	x.server.mu.Lock()
	egress := x.server.egressAddress
	x.server.mu.Unlock()
	if egress == "" {
		return nil
	}
	for i, d := range x.downstreamCalls() {
		if err := x.callWithRetries(ctx, egress, d, i); err != nil {
			return err
		}
	}
	return nil
}

func (x *requestExecution) callWithRetries(ctx context.Context, egress string, d DownstreamCall, index int) error {
	var call recorder.Call
	for attempt := range x.server.config.MaxRetries + 1 {
		call = x.send(ctx, egress, d, index, attempt)
		x.server.config.Recorder.RecordCall(call)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if call.Outcome == recorder.CallAnswered && call.Status < http.StatusBadRequest {
			return nil
		}
	}
	return &downstreamError{service: d.Service, status: call.Status}
}

func (x *requestExecution) send(ctx context.Context, egress string, d DownstreamCall, index, attempt int) (call recorder.Call) {
	call = recorder.Call{
		AttemptID:  fmt.Sprintf("%s/%d!%d.%d", x.chainPath, index, x.serial, attempt),
		ChainPath:  fmt.Sprintf("%s/%d", x.chainPath, index),
		Customer:   x.request.Header.Get(headerCustomer),
		Service:    d.Service,
		Node:       x.server.config.Name,
		Idempotent: d.Method == http.MethodGet,
		Start:      time.Now(),
	}
	request, err := http.NewRequestWithContext(ctx, d.Method, "http://"+egress+"/"+d.Service+d.Path, bytes.NewReader(x.body))
	if err != nil {
		call.Outcome = recorder.CallUnreachable
		return call
	}
	request.Header.Set(HeaderChainPath, call.ChainPath)
	request.Header.Set(HeaderAttempt, call.AttemptID)
	request.Header.Set(headerToken, x.request.Header.Get(headerToken))
	if depth, err := strconv.Atoi(x.request.Header.Get(HeaderSelfCallDepth)); err == nil && index == 0 && depth > 0 {
		request.Header.Set(HeaderSelfCallDepth, strconv.Itoa(depth-1))
	}
	SendOnce(x.server.client, request, x.body, &call)
	return call
}

// SendOnce sends a request once and records in call how it ended.
func SendOnce(client *http.Client, request *http.Request, body []byte, call *recorder.Call) {
	// Without GetBody the client can't retry the request itself.
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		call.Finish = time.Now()
		call.Outcome = outcomeOfError(request.Context(), err)
		return
	}
	defer response.Body.Close()
	call.Status = response.StatusCode
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	call.Finish = time.Now()
	if err != nil {
		call.Outcome = outcomeOfError(request.Context(), err)
		if call.Outcome == recorder.CallUnreachable {
			call.Outcome = recorder.CallConnectionLost
		}
		return
	}
	call.Outcome = recorder.CallAnswered
	if response.Header.Get("Content-Type") == problemContentType {
		readProblem(response, answer, call)
		return
	}
	call.AnswerChainPath, call.AnswerComplete = VerifyAnswer(answer, body)
}

// readProblem copies the details of a refusal into call.
func readProblem(response *http.Response, answer []byte, call *recorder.Call) {
	var problem struct {
		Ran    exchanger.Ran    `json:"ran"`
		Reason exchanger.Reason `json:"reason"`
	}
	if json.Unmarshal(answer, &problem) != nil || problem.Ran == "" {
		return
	}
	call.Outcome = recorder.CallRefused
	call.Ran, call.Reason = problem.Ran, problem.Reason
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		call.RetryAfter = time.Duration(seconds) * time.Second
	}
}
