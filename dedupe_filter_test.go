package flamingotack

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/deduper"
	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const otherKey = "other-pond-key-for-tests"

func bookdeskManifest() string {
	return `{
  "services": [{"name": "bookdesk", "slots": 20, "routes": [{"path": "/book", "methods": ["POST"], "deadline": "10s"}]}],
  "customers": [
    {"name": "pond-a", "rate": 1000, "burst": 1000, "keys": ["` + authenticator.DigestKey(testKey) + `"]},
    {"name": "pond-b", "rate": 1000, "burst": 1000, "keys": ["` + authenticator.DigestKey(otherKey) + `"]}
  ]
}`
}

// newBookdeskCluster starts three nodes of one service and waits until every
// key slot has a holder.
func newBookdeskCluster(t *testing.T) *testCluster {
	c := newTestCluster(t, bookdeskManifest())
	for _, domain := range []string{"ahmedabad", "rajkot", "vadodara"} {
		c.add("bookdesk-"+domain, "bookdesk", domain)
	}
	c.awaitMembership()
	c.awaitSlotHolders()
	return c
}

// awaitSlotHolders waits until every key slot has a holder.
func (c *testCluster) awaitSlotHolders() {
	c.t.Helper()
	await(c.t, "every slot has a holder", func() bool {
		holders := 0
		for i := range deduper.SlotCount {
			for _, n := range c.nodes {
				if n.holdsSlot(deduper.Slot{Service: "bookdesk", Number: i}) {
					holders++
				}
			}
		}
		return holders == deduper.SlotCount
	})
}

func (n *Node) holdsSlot(s deduper.Slot) bool {
	n.dedupe.mu.Lock()
	defer n.dedupe.mu.Unlock()
	n.dedupe.syncOwnership(s)
	return n.dedupe.table.IsHolder(s)
}

// sendBooking sends a request with an idempotency key.
func sendBooking(t *testing.T, n *Node, customerKey, key, body string) (status int, answer string) {
	t.Helper()
	r := request(t, n, "POST", "/bookdesk/book", customerKey, body)
	r.Header.Set(exchanger.HeaderIdempotencyKey, key)
	status, data := send(t, r)
	return status, string(data)
}

func (c *testCluster) checkExecutions(want int) {
	c.t.Helper()
	if got := len(c.recorder.History().Executions); got != want {
		c.t.Errorf("got %d executions, want %d", got, want)
	}
}

func TestConcurrentResendsRunOnce(t *testing.T) {
	c := newBookdeskCluster(t)
	const keys = 8
	var wg sync.WaitGroup
	answers := make([][3]string, keys)
	for i := range keys {
		for j, n := range c.nodes {
			wg.Go(func() {
				status, answer := sendBooking(t, n, testKey, fmt.Sprintf("key-%d", i), "two boats")
				answers[i][j] = fmt.Sprint(status, answer)
			})
		}
	}
	wg.Wait()
	for i, a := range answers {
		if a[0] != a[1] || a[1] != a[2] {
			t.Errorf("answers to key %d differ: %q", i, a)
		}
	}
	c.checkExecutions(keys)
}

func TestResendWithDifferentBodyOrCustomer(t *testing.T) {
	c := newBookdeskCluster(t)
	key := uuid.Must(uuid.NewV7()).String()
	tests := []struct {
		name        string
		customerKey string
		body        string
		status      int
		executions  int
	}{
		{"first", testKey, "two boats", http.StatusOK, 1},
		{"same", testKey, "two boats", http.StatusOK, 1},
		{"other body", testKey, "three boats", http.StatusUnprocessableEntity, 1},
		{"other customer", otherKey, "two boats", http.StatusOK, 2},
	}
	for i, tt := range tests {
		status, answer := sendBooking(t, c.nodes[i%len(c.nodes)], tt.customerKey, key, tt.body)
		if status != tt.status {
			t.Errorf("%s: got status %d, want %d: %s", tt.name, status, tt.status, answer)
		}
		c.checkExecutions(tt.executions)
	}
}

func TestResendAfterPlannedStop(t *testing.T) {
	c := newBookdeskCluster(t)
	const keys = 20
	first := make([]string, keys)
	for i := range keys {
		_, first[i] = sendBooking(t, c.nodes[i%3], testKey, fmt.Sprintf("key-%d", i), "two boats")
	}
	c.stopNodes[0]()
	c.nodes = c.nodes[1:]
	c.awaitSlotHolders()
	for i := range keys {
		status, resent := sendBooking(t, c.nodes[i%2], testKey, fmt.Sprintf("key-%d", i), "two boats")
		if status != http.StatusOK || resent != first[i] {
			t.Errorf("key %d: got status %d and answer %q, want the first answer %q", i, status, resent, first[i])
		}
	}
	status, answer := sendBooking(t, c.nodes[0], testKey, "new-key", "two boats")
	if status != http.StatusOK {
		t.Errorf("new key: got status %d: %s", status, answer)
	}
	c.checkExecutions(keys + 1)
}

func TestResendAfterJoin(t *testing.T) {
	c := newBookdeskCluster(t)
	const keys = 20
	first := make([]string, keys)
	for i := range keys {
		_, first[i] = sendBooking(t, c.nodes[i%3], testKey, fmt.Sprintf("key-%d", i), "two boats")
	}
	c.add("bookdesk-new", "bookdesk", "rajkot")
	c.awaitMembership()
	c.awaitSlotHolders()
	for i := range keys {
		status, resent := sendBooking(t, c.nodes[3], testKey, fmt.Sprintf("key-%d", i), "two boats")
		if status != http.StatusOK || resent != first[i] {
			t.Errorf("key %d: got status %d and answer %q, want the first answer %q", i, status, resent, first[i])
		}
	}
	c.checkExecutions(keys)
}
