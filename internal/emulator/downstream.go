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

// downstreamError says that a call to a further service failed.
type downstreamError struct {
	service string
	status  int
}

// Error names the service and the status.
func (e *downstreamError) Error() string {
	return fmt.Sprintf("call to service %q ended with status %d", e.service, e.status)
}

// answerStatus is what the server answers after the failed call.
func (e *downstreamError) answerStatus() int {
	if e.status == http.StatusTooManyRequests || e.status == http.StatusServiceUnavailable {
		return http.StatusServiceUnavailable
	}
	if e.status == http.StatusGatewayTimeout {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// call makes the calls to further services, one after the other.
func (x *run) call(ctx context.Context) error {
	x.server.mu.Lock()
	egress := x.server.egress
	x.server.mu.Unlock()
	if egress == "" {
		return nil
	}
	for i, d := range x.calls() {
		if err := x.callOne(ctx, egress, d, i); err != nil {
			return err
		}
	}
	return nil
}

func (x *run) callOne(ctx context.Context, egress string, d Downstream, index int) error {
	var call recorder.Call
	for try := range x.server.config.Retries + 1 {
		call = x.send(ctx, egress, d, index, try)
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

func (x *run) send(ctx context.Context, egress string, d Downstream, index, try int) (call recorder.Call) {
	call = recorder.Call{
		AttemptID:  fmt.Sprintf("%s/%d!%d.%d", x.chain, index, x.serial, try),
		ChainPath:  fmt.Sprintf("%s/%d", x.chain, index),
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
	request.Header.Set(HeaderChain, call.ChainPath)
	request.Header.Set(HeaderSend, call.AttemptID)
	request.Header.Set(headerToken, x.request.Header.Get(headerToken))
	if hops, err := strconv.Atoi(x.request.Header.Get(HeaderHops)); err == nil && index == 0 && hops > 0 {
		request.Header.Set(HeaderHops, strconv.Itoa(hops-1))
	}
	Perform(x.server.client, request, x.body, &call)
	return call
}

// Perform sends a request once and fills in how the call ended.
func Perform(client *http.Client, request *http.Request, body []byte, call *recorder.Call) {
	// Without GetBody the client can't send the request again by itself.
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		call.Finish = time.Now()
		call.Outcome = failure(request.Context(), err)
		return
	}
	defer response.Body.Close()
	call.Status = response.StatusCode
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	call.Finish = time.Now()
	if err != nil {
		call.Outcome = failure(request.Context(), err)
		if call.Outcome == recorder.CallUnreachable {
			call.Outcome = recorder.CallConnectionLost
		}
		return
	}
	call.Outcome = recorder.CallAnswered
	if response.Header.Get("Content-Type") == problemType {
		readProblem(response, answer, call)
		return
	}
	call.AnswerChainPath, call.AnswerComplete = VerifyAnswer(answer, body)
}

// readProblem takes a refusal's details over.
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
