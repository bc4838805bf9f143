package emulator

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/recorder"
)

const patience = 20 * time.Second

func TestBackendServerAnswers(t *testing.T) {
	b, r := startTest(t, BackendConfig{Slots: 4, StartWarm: true})
	r.AddSecret("sesame")
	call := post(t, b, "c1#0", "hello sesame", nil)
	if call.Outcome != recorder.CallAnswered || !call.AnswerComplete || call.AnswerChainPath != "c1#0" {
		t.Errorf("got %+v, want a whole answer to c1#0", call)
	}
	e := r.History().Executions[0]
	if !e.ContainsCallerKey || e.Outcome != recorder.ExecutionAnswered || e.Concurrency != 1 || e.State != recorder.ServerStateWarm {
		t.Errorf("got %+v, want an answered execution that showed a key", e)
	}
}

func TestBackendServerCrashes(t *testing.T) {
	b, r := startTest(t, BackendConfig{Slots: 4, StartWarm: true})
	if got := post(t, b, "c1#0", CrashBody, nil).Outcome; got != recorder.CallConnectionLost {
		t.Errorf("got outcome %q, want %q", got, recorder.CallConnectionLost)
	}
	await(t, func() bool { return post(t, b, "c2#0", "x", nil).Outcome == recorder.CallAnswered })
	executions := r.History().Executions
	last := executions[len(executions)-1]
	if executions[0].Outcome != recorder.ExecutionCrashed || last.Incarnation != 2 || last.State != recorder.ServerStateCold {
		t.Errorf("got %+v, want a crash and a cold second incarnation", executions)
	}
}

func TestBackendServerFallsOverWhenCold(t *testing.T) {
	b, r := startTest(t, BackendConfig{Slots: 10, ColdSlots: 1, Time: 200 * time.Millisecond, WarmUp: time.Hour})
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { post(t, b, "c1#0", "x", nil) })
	}
	group.Wait()
	rejected := 0
	for _, e := range r.History().Executions {
		if e.Outcome == recorder.ExecutionRefused {
			rejected++
		}
	}
	if rejected == 0 {
		t.Error("got no rejection, want the cold server to fall over")
	}
}

func TestBackendServerHeedsCancellation(t *testing.T) {
	b, r := startTest(t, BackendConfig{Slots: 1, Time: time.Hour, StartWarm: true})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		await(t, func() bool { return len(r.History().Executions) == 1 })
		cancel()
	}()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.URL()+"/x", strings.NewReader("x"))
	var call recorder.Call
	Perform(http.DefaultClient, request, []byte("x"), &call)
	await(t, func() bool { return r.History().Executions[0].Outcome == recorder.ExecutionCanceled })
	late := post(t, b, "c2#0", "x", http.Header{headerTimeout: {"10"}})
	if late.Status != http.StatusGatewayTimeout {
		t.Errorf("got status %d, want the freed slot used until the deadline", late.Status)
	}
}

func TestVerifyAnswer(t *testing.T) {
	whole := EncodeAnswer("c1#0", []byte("q"), 300)
	tests := []struct {
		name    string
		answer  []byte
		request string
		want    bool
	}{
		{"whole", whole, "q", true},
		{"short", whole[:len(whole)-1], "q", false},
		{"another request's", whole, "p", false},
		{"empty", nil, "q", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, got := VerifyAnswer(tt.answer, []byte(tt.request)); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Error("condition did not come about")
}

func post(t *testing.T, b *BackendServer, send, body string, h http.Header) (call recorder.Call) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, b.URL()+"/x", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return call
	}
	for name, values := range h {
		request.Header[name] = values
	}
	request.Header.Set(HeaderChain, send)
	request.Header.Set(HeaderSend, send)
	Perform(http.DefaultClient, request, []byte(body), &call)
	return call
}

func startTest(t *testing.T, c BackendConfig) (b *BackendServer, r *recorder.Recorder) {
	t.Helper()
	r = recorder.New()
	c.Name, c.Service, c.Domain, c.Recorder = "a1", "a", "north", r
	b, err := StartBackendServer(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.Close() })
	return b, r
}
