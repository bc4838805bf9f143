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

// sendForReason sends a request and returns the reason of its refusal; empty
// for an answer.
func sendForReason(t *testing.T, n *Node, method, path, body string) (reason exchanger.Reason, ran exchanger.Ran) {
	t.Helper()
	status, data := send(t, request(t, n, method, path, testKey, body))
	if status == http.StatusOK {
		return "", ""
	}
	var p receiver.ProblemDetails
	if err := json.Unmarshal(data, &p); err != nil {
		t.Fatalf("status %d, answer %q: %v", status, data, err)
	}
	return p.Reason, p.Ran
}

// TestCrashRequestIsRefusedByAllNodes sends a request that crashes its backend
// server through one node after the other.
func TestCrashRequestIsRefusedByAllNodes(t *testing.T) {
	c := newTestCluster(t, testManifest())
	for _, name := range []string{"bookdesk-1", "bookdesk-2", "bookdesk-3"} {
		c.add(name, "bookdesk", name)
	}
	c.awaitMembership()
	body := emulator.CrashBodyPrefix + " of a pond"
	brokenAnswers := 0
	await(t, "the crash request is refused", func() bool {
		got, _ := sendForReason(t, c.nodes[brokenAnswers%3], "POST", "/bookdesk/book", body)
		if got == exchanger.ReasonBroken {
			brokenAnswers++
		}
		return got == exchanger.ReasonCrashRequest
	})
	for _, n := range c.nodes {
		await(t, n.self.Name+" refuses it too", func() bool {
			got, ran := sendForReason(t, n, "POST", "/bookdesk/book", body)
			return got == exchanger.ReasonCrashRequest && ran == exchanger.RanNo
		})
		await(t, n.self.Name+" answers other requests", func() bool {
			got, _ := sendForReason(t, n, "POST", "/bookdesk/book", "two boats")
			return got == ""
		})
	}
	crashes := 0
	for _, e := range c.recorder.History().Executions {
		if e.Outcome == recorder.ExecutionCrashed {
			crashes++
		}
	}
	if crashes > 2 {
		t.Errorf("got %d backend servers crashed, want at most 2", crashes)
	}
}

func TestDrainingBackendServerGetsNoRequests(t *testing.T) {
	c := newTestCluster(t, testManifest())
	for _, name := range []string{"bookdesk-1", "bookdesk-2"} {
		c.add(name, "bookdesk", "paarl")
	}
	c.awaitMembership()
	c.backends[0].Drain()
	await(t, "the node knows that its backend server drains", func() bool { return c.nodes[0].guard.lastHealth().Draining })
	for i := range 20 {
		n := c.nodes[i%2]
		status, answer := send(t, request(t, n, "POST", "/bookdesk/book", testKey, "two boats"))
		if status != http.StatusOK {
			t.Fatalf("got status %d, want %d: %s", status, http.StatusOK, answer)
		}
	}
	for _, e := range c.recorder.History().Executions {
		if e.Server == "bookdesk-1" {
			t.Errorf("got execution %+v on the draining backend server, want none", e)
		}
	}
}
