package receiver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/issuer"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	fuzzKey = "kutch-sample-key"

	fuzzManifest = `{"services": [{"name": "desk", "routes": [{"path": "/"}, {"path": "/open/", "open": true}]}],
"customers": [{"name": "kutch", "rate": 1, "keys": ["KEY"]}]}`

	// tokenMark stands in a request for a call token that holds.
	tokenMark = "TOKEN"
)

// sink answers each request and keeps the last one.
type sink struct {
	last *exchanger.Request
}

func (s *sink) Handle(_ context.Context, r *exchanger.Request) (*exchanger.Answer, error) {
	s.last = r
	return &exchanger.Answer{
		Status:        http.StatusOK,
		Body:          io.NopCloser(strings.NewReader("whole")),
		UnusedRetries: func() int { return 0 },
	}, nil
}

func newFuzzReceiver(t testing.TB, s *sink) (v *Receiver, token string) {
	t.Helper()
	m, err := parser.ParseManifest("m", []byte(strings.Replace(fuzzManifest, "KEY", authenticator.DigestKey(fuzzKey), 1)))
	if err != nil {
		t.Fatal(err)
	}
	x := indexer.New(&folder.State{Offset: 1, Version: 1, Manifest: m})
	clock := timekeeper.NewManualClock(time.Now())
	v = &Receiver{
		Body:     1 << 10,
		Clock:    clock,
		Draining: func() bool { return false },
		Handler:  s,
		Index:    func() *indexer.Index { return x },
		Issuer:   issuer.New(),
		Observe:  func(Outcome) {},
		Running:  NewRunning(),
	}
	token, _ = v.Issuer.Issue(&exchanger.Request{Customer: "kutch", Deadline: clock.Now().Add(time.Minute)})
	return v, token
}

// FuzzRequest sends hostile requests to callers' and the backend server's
// handler. Each is answered or refused as not run, and what is passed on holds
// neither key nor token.
func FuzzRequest(f *testing.F) {
	s := &sink{}
	v, token := newFuzzReceiver(f, s)
	handlers := []http.Handler{v.Caller(), v.Egress()}
	f.Fuzz(func(t *testing.T, raw []byte) {
		raw = bytes.ReplaceAll(raw, []byte(tokenMark), []byte(token))
		for _, handler := range handlers {
			h, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
			if err != nil {
				return
			}
			s.last = nil
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, h)
			if s.last == nil {
				checkProblem(t, w)
				continue
			}
			checkPassed(t, s.last, token)
		}
	})
}

func checkPassed(t *testing.T, r *exchanger.Request, token string) {
	t.Helper()
	for name, values := range r.Header {
		text := strings.Join(values, ",")
		own := strings.HasPrefix(name, "Flamingotack-") || name == "Authorization" || name == exchanger.HeaderIdempotencyKey
		if own || strings.Contains(text, token) || r.KeyDigest != "" && r.Depth == 0 && strings.Contains(text, fuzzKey) {
			t.Errorf("header %s: got %q, want it removed", name, text)
		}
	}
	if (r.Customer == "") != (r.KeyDigest == "") && r.Depth == 0 {
		t.Errorf("got customer %q with key digest %q, want both or none", r.Customer, r.KeyDigest)
	}
}

func checkProblem(t *testing.T, w *httptest.ResponseRecorder) {
	t.Helper()
	var p Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		t.Fatalf("status %d: got %q, want problem details", w.Code, w.Body)
	}
	if got := w.Header().Get("Content-Type"); got != problemType {
		t.Errorf("got content type %q, want %q", got, problemType)
	}
	if p.Status != w.Code || p.Status < http.StatusBadRequest || p.Reason == "" || p.Ran != exchanger.RanNo {
		t.Errorf("status %d: got %+v, want the same status, a reason and not run", w.Code, p)
	}
}

func TestMethodsBeyondTheUsual(t *testing.T) {
	tests := []struct {
		method string
		path   string
		status int
	}{
		{"PURGE", "/desk/open/", http.StatusOK},
		{"PURGE", "/desk/", http.StatusUnauthorized},
		{"PURGE", "/nowhere/", http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.path, func(t *testing.T) {
			s := &sink{}
			v, _ := newFuzzReceiver(t, s)
			w := httptest.NewRecorder()
			v.Caller().ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, nil))
			if w.Code != tt.status {
				t.Errorf("got status %d, want %d", w.Code, tt.status)
			}
			if s.last == nil {
				checkProblem(t, w)
			}
		})
	}
}
