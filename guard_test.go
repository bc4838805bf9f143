package flamingotack

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/receiver"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// reason sends a request and returns the reason of its refusal; empty for an
// answer.
func reason(t *testing.T, n *Node, method, path, body string) (found exchanger.Reason, ran exchanger.Ran) {
	t.Helper()
	status, data := send(t, request(t, n, method, path, testKey, body))
	if status == http.StatusOK {
		return "", ""
	}
	var p receiver.Problem
	if err := json.Unmarshal(data, &p); err != nil {
		t.Fatalf("status %d, answer %q: %v", status, data, err)
	}
	return p.Reason, p.Ran
}

// TestCrashRequestIsRefusedEverywhere sends a request that crashes its backend
// server through one node after the other.
func TestCrashRequestIsRefusedEverywhere(t *testing.T) {
	f := newTestFleet(t, testManifest())
	for _, name := range []string{"bookdesk-1", "bookdesk-2", "bookdesk-3"} {
		f.add(name, "bookdesk", name)
	}
	f.ready()
	body := emulator.CrashBody + " of a pond"
	deaths := 0
	await(t, "the crash request is refused", func() bool {
		got, _ := reason(t, f.nodes[deaths%3], "POST", "/bookdesk/book", body)
		if got == exchanger.ReasonBroken {
			deaths++
		}
		return got == exchanger.ReasonCrashRequest
	})
	for _, n := range f.nodes {
		await(t, n.self.Name+" refuses it too", func() bool {
			got, ran := reason(t, n, "POST", "/bookdesk/book", body)
			return got == exchanger.ReasonCrashRequest && ran == exchanger.RanNo
		})
		await(t, n.self.Name+" answers others", func() bool {
			got, _ := reason(t, n, "POST", "/bookdesk/book", "two boats")
			return got == ""
		})
	}
	crashes := 0
	for _, e := range f.recorder.History().Executions {
		if e.Outcome == recorder.ExecutionCrashed {
			crashes++
		}
	}
	if crashes > 2 {
		t.Errorf("got %d backend servers crashed, want at most 2", crashes)
	}
}

func TestDrainingBackendServerGetsNoNewWork(t *testing.T) {
	f := newTestFleet(t, testManifest())
	for _, name := range []string{"bookdesk-1", "bookdesk-2"} {
		f.add(name, "bookdesk", "paarl")
	}
	f.ready()
	f.backends[0].Drain()
	await(t, "the node knows it", func() bool { return f.nodes[0].guard.said().Draining })
	for i := range 20 {
		n := f.nodes[i%2]
		status, answer := send(t, request(t, n, "POST", "/bookdesk/book", testKey, "two boats"))
		if status != http.StatusOK {
			t.Fatalf("got status %d, want %d: %s", status, http.StatusOK, answer)
		}
	}
	for _, e := range f.recorder.History().Executions {
		if e.Server == "bookdesk-1" {
			t.Errorf("got execution %+v on the draining backend server, want none", e)
		}
	}
}
