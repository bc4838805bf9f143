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

// testCluster is a few nodes in this process with emulated backend servers and
// an emulated log service.
type testCluster struct {
	t        testing.TB
	backends []*emulator.BackendServer
	log      *emulator.LogService
	logURL   string
	nodes    []*Node
	recorder *recorder.Recorder
	// clock is the clock of the next node; nil for the system clock.
	clock timekeeper.Clock
	// stopNodes stop the nodes and wait for them, in the order of nodes.
	stopNodes []func()
	// configure changes the settings of the next node; nil leaves them.
	configure func(*parser.Settings)
	// slots and serviceTime are those of the backend servers added next.
	slots       int
	serviceTime time.Duration
}

func testManifest() string {
	return `{
  "services": [
    {"name": "slotboard", "slots": 20, "routes": [{"path": "/open/", "open": true, "idempotent": true}, {"path": "/", "idempotent": true}]},
    {"name": "bookdesk", "slots": 20, "routes": [{"path": "/book", "methods": ["POST"], "priority": "high"}]}
  ],
  "customers": [
    {"name": "pond-a", "rate": 1000, "burst": 1000, "keys": ["` + authenticator.DigestKey(testKey) + `"]}
  ]
}`
}

func newTestCluster(t testing.TB, manifest string) *testCluster {
	t.Helper()
	c := &testCluster{t: t, log: emulator.NewLogService(), recorder: recorder.New(), slots: 20, serviceTime: time.Millisecond}
	running, err := c.log.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { running.Close() })
	c.logURL = running.URL()
	if manifest != "" {
		c.publish(manifest)
	}
	return c
}

// publish appends a manifest, based on the version in the log.
func (c *testCluster) publish(manifest string) {
	c.t.Helper()
	m, err := parser.ParseManifest("manifest", []byte(manifest))
	if err != nil {
		c.t.Fatal(err)
	}
	record := folder.NewRecord(folder.KindManifest)
	record.Manifest = m
	if len(c.nodes) > 0 {
		record.BaseVersion = c.nodes[0].configVersion()
	}
	data, err := folder.Encode(record)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.log.MemoryLog().Append(c.t.Context(), data); err != nil {
		c.t.Fatal(err)
	}
}

// add starts a node with a backend server that calls downstream services.
func (c *testCluster) add(name, service, domain string, downstream ...emulator.DownstreamCall) *Node {
	c.t.Helper()
	backend, err := emulator.StartBackendServer(emulator.BackendConfig{
		Name:              name,
		Service:           service,
		Domain:            domain,
		Slots:             c.slots,
		MedianServiceTime: c.serviceTime,
		StartWarm:         true,
		DownstreamCalls:   downstream,
		Recorder:          c.recorder,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { backend.Close() })
	c.backends = append(c.backends, backend)
	settings := parser.Settings{
		Name:          name,
		Service:       service,
		Domain:        domain,
		CallerAddress: "127.0.0.1:0",
		EgressAddress: "127.0.0.1:0",
		PeerAddress:   "127.0.0.1:0",
		AdminAddress:  "127.0.0.1:0",
		BackendURL:    backend.URL(),
		LogURL:        c.logURL,
		LogLevel:      "warn",
	}
	if c.configure != nil {
		c.configure(&settings)
	}
	settings.SetDefaults()
	node, err := New(settings, Dependencies{Clock: c.clock, Logger: logger.New(os.Stderr, "error", name)})
	if err != nil {
		c.t.Fatal(err)
	}
	backend.SetEgressAddress(node.Settings().EgressAddress)
	c.runNode(node)
	c.nodes = append(c.nodes, node)
	return node
}

func (c *testCluster) runNode(n *Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			c.t.Errorf("run node: %v", err)
		}
	})
	c.stopNodes = append(c.stopNodes, stop)
	c.t.Cleanup(stop)
}

// awaitMembership waits until every node knows every node.
func (c *testCluster) awaitMembership() {
	c.t.Helper()
	await(c.t, "all nodes know all nodes", func() bool {
		for _, n := range c.nodes {
			index := n.index.Load()
			if index == nil || len(index.State.Members) < len(c.nodes) {
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
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.Settings().CallerAddress+path, strings.NewReader(body))
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

func TestCallChainAcrossServices(t *testing.T) {
	c := newTestCluster(t, testManifest())
	desk := c.add("bookdesk-1", "bookdesk", "ahmedabad", emulator.DownstreamCall{Service: "slotboard", Method: "GET", Path: "/slots"})
	board := c.add("slotboard-1", "slotboard", "rajkot")
	c.awaitMembership()
	for _, n := range []*Node{desk, board} {
		status, answer := send(t, request(t, n, "POST", "/bookdesk/book", testKey, "two boats"))
		if status != http.StatusOK {
			t.Errorf("status through %s: got %d, want %d: %s", n.Settings().Name, status, http.StatusOK, answer)
		}
		if _, whole := emulator.VerifyAnswer(answer, []byte("two boats")); !whole {
			t.Errorf("answer through %s is incomplete: %q", n.Settings().Name, answer)
		}
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	c := newTestCluster(t, testManifest())
	n := c.add("slotboard-1", "slotboard", "rajkot")
	c.awaitMembership()
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
			var got receiver.ProblemDetails
			if err := json.Unmarshal(body, &got); err != nil {
				t.Fatalf("problem %q: %v", body, err)
			}
			want := receiver.ProblemDetails{
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
