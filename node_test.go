package flamingotack

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/receiver"
	"github.com/flamingotack/flamingotack/internal/recorder"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	testKey     = "pond-key-for-tests"
	testTimeout = 30 * time.Second
)

// testFleet is a few nodes in this process with their stand-ins.
type testFleet struct {
	t        testing.TB
	backends []*emulator.BackendServer
	log      *emulator.LogService
	logURL   string
	nodes    []*Node
	recorder *recorder.Recorder
	// clock is that of the next node; nil for the system's.
	clock timekeeper.Clock
	// stops stops the nodes and waits for them, in the order of nodes.
	stops []func()
	// tune changes the settings of the next node; nil leaves them.
	tune func(*parser.Settings)
	// slots and time are those of the backend servers added next.
	slots int
	time  time.Duration
}

func testManifest() string {
	return `{
  "services": [
    {"name": "slotboard", "slots": 20, "routes": [{"path": "/open/", "open": true, "idempotent": true}, {"path": "/", "idempotent": true}]},
    {"name": "bookdesk", "slots": 20, "routes": [{"path": "/book", "methods": ["POST"], "priority": "high"}]}
  ],
  "customers": [
    {"name": "pond-a", "rate": 1000, "burst": 1000, "keys": ["` + authenticator.Digest(testKey) + `"]}
  ]
}`
}

func newTestFleet(t testing.TB, manifest string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, log: emulator.NewLogService(), recorder: recorder.New(), slots: 20, time: time.Millisecond}
	running, err := f.log.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { running.Close() })
	f.logURL = running.URL()
	if manifest != "" {
		f.publish(manifest)
	}
	return f
}

// publish appends a manifest, made against the version in the log.
func (f *testFleet) publish(manifest string) {
	f.t.Helper()
	m, err := parser.ParseManifest("manifest", []byte(manifest))
	if err != nil {
		f.t.Fatal(err)
	}
	record := folder.NewRecord(folder.KindManifest)
	record.Manifest = m
	if len(f.nodes) > 0 {
		record.Base = f.nodes[0].version()
	}
	data, err := folder.Encode(record)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.log.MemoryLog().Append(f.t.Context(), data); err != nil {
		f.t.Fatal(err)
	}
}

// add starts a node with a backend server that calls further services.
func (f *testFleet) add(name, service, domain string, calls ...emulator.DownstreamCall) *Node {
	f.t.Helper()
	backend, err := emulator.StartBackendServer(emulator.BackendConfig{
		Name:              name,
		Service:           service,
		Domain:            domain,
		Slots:             f.slots,
		MedianServiceTime: f.time,
		StartWarm:         true,
		DownstreamCalls:   calls,
		Recorder:          f.recorder,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { backend.Close() })
	f.backends = append(f.backends, backend)
	settings := parser.Settings{
		Name:    name,
		Service: service,
		Domain:  domain,
		Caller:  "127.0.0.1:0",
		Egress:  "127.0.0.1:0",
		Peer:    "127.0.0.1:0",
		Admin:   "127.0.0.1:0",
		Backend: backend.URL(),
		Log:     f.logURL,
		Level:   "warn",
	}
	if f.tune != nil {
		f.tune(&settings)
	}
	settings.Fill()
	node, err := New(settings, Edges{Clock: f.clock, Logger: logger.New(os.Stderr, "error", name)})
	if err != nil {
		f.t.Fatal(err)
	}
	backend.SetEgressAddress(node.Settings().Egress)
	f.run(node)
	f.nodes = append(f.nodes, node)
	return node
}

func (f *testFleet) run(n *Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("run node: %v", err)
		}
	})
	f.stops = append(f.stops, stop)
	f.t.Cleanup(stop)
}

// ready waits until every node knows every node.
func (f *testFleet) ready() {
	f.t.Helper()
	await(f.t, "all nodes know all nodes", func() bool {
		for _, n := range f.nodes {
			x := n.index.Load()
			if x == nil || len(x.State.Members) < len(f.nodes) {
				return false
			}
		}
		return true
	})
}

func await(t testing.TB, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %s until %s", testTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func request(t *testing.T, n *Node, method, path, key, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.Settings().Caller+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r
}

func send(t *testing.T, r *http.Request) (status int, body []byte) {
	t.Helper()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, body
}

func TestRequestTakesWholePath(t *testing.T) {
	f := newTestFleet(t, testManifest())
	desk := f.add("bookdesk-1", "bookdesk", "ahmedabad", emulator.DownstreamCall{Service: "slotboard", Method: "GET", Path: "/slots"})
	board := f.add("slotboard-1", "slotboard", "rajkot")
	f.ready()
	for _, n := range []*Node{desk, board} {
		status, answer := send(t, request(t, n, "POST", "/bookdesk/book", testKey, "two boats"))
		if status != http.StatusOK {
			t.Errorf("status by %s: got %d, want %d: %s", n.Settings().Name, status, http.StatusOK, answer)
		}
		if _, whole := emulator.VerifyAnswer(answer, []byte("two boats")); !whole {
			t.Errorf("answer by %s is not whole: %q", n.Settings().Name, answer)
		}
	}
}

func TestBadRequestsAreRefused(t *testing.T) {
	f := newTestFleet(t, testManifest())
	n := f.add("slotboard-1", "slotboard", "rajkot")
	f.ready()
	tests := []struct {
		name   string
		path   string
		key    string
		header http.Header
		body   string
		status int
		reason exchanger.Reason
	}{
		{"unknown key", "/slotboard/slots", "some-other-key", nil, "", 401, exchanger.ReasonKeyUnknown},
		{"no key", "/slotboard/slots", "", nil, "", 401, exchanger.ReasonKeyMissing},
		{"unknown service", "/regatta/list", testKey, nil, "", 404, exchanger.ReasonServiceUnknown},
		{"unknown route", "/bookdesk/cancel", testKey, nil, "", 404, exchanger.ReasonRouteUnknown},
		{"oversized", "/slotboard/slots", testKey, nil, strings.Repeat("x", 1<<20+1), 413, exchanger.ReasonBodyTooLarge},
		{"key in the query", "/slotboard/slots?k=" + testKey, testKey, nil, "", 400, exchanger.ReasonHeaders},
		{"key in the body", "/slotboard/slots", testKey, nil, "k=" + testKey, 400, exchanger.ReasonHeaders},
		{"two keys", "/slotboard/slots", "", http.Header{"Authorization": {"Bearer aaaaaaaa", "Bearer bbbbbbbb"}}, "", 400, exchanger.ReasonHeaders},
		{"other scheme", "/slotboard/slots", "", http.Header{"Authorization": {"Basic aaaaaaaa"}}, "", 400, exchanger.ReasonHeaders},
		{"bad timeout", "/slotboard/slots", testKey, http.Header{"Flamingotack-Timeout": {"soon"}}, "", 400, exchanger.ReasonHeaders},
		{"empty idempotency key", "/slotboard/slots", testKey, http.Header{"Idempotency-Key": {" "}}, "", 400, exchanger.ReasonHeaders},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := request(t, n, "POST", tt.path, tt.key, tt.body)
			for name, values := range tt.header {
				r.Header[name] = values
			}
			status, body := send(t, r)
			var got receiver.Problem
			if err := json.Unmarshal(body, &got); err != nil {
				t.Fatalf("problem %q: %v", body, err)
			}
			want := receiver.Problem{
				Type:   "about:blank#" + string(tt.reason),
				Title:  http.StatusText(tt.status),
				Status: tt.status,
				Detail: got.Detail,
				Ran:    exchanger.RanNo,
				Reason: tt.reason,
			}
			if got != want || status != tt.status {
				t.Errorf("got %d %+v, want %d %+v", status, got, tt.status, want)
			}
		})
	}
}
