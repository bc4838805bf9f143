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

func deskManifest() string {
	return `{
  "services": [{"name": "bookdesk", "slots": 20, "routes": [{"path": "/book", "methods": ["POST"], "deadline": "10s"}]}],
  "customers": [
    {"name": "pond-a", "rate": 1000, "burst": 1000, "keys": ["` + authenticator.Digest(testKey) + `"]},
    {"name": "pond-b", "rate": 1000, "burst": 1000, "keys": ["` + authenticator.Digest(otherKey) + `"]}
  ]
}`
}

// deskFleet starts three nodes of one service and waits until every slot of
// keys has a holder.
func deskFleet(t *testing.T) *testFleet {
	f := newTestFleet(t, deskManifest())
	for _, domain := range []string{"ahmedabad", "rajkot", "vadodara"} {
		f.add("bookdesk-"+domain, "bookdesk", domain)
	}
	f.ready()
	f.held()
	return f
}

// held waits until every slot of keys has a holder.
func (f *testFleet) held() {
	f.t.Helper()
	await(f.t, "every slot has a holder", func() bool {
		holders := 0
		for i := range deduper.SlotCount {
			for _, n := range f.nodes {
				if n.holds(deduper.Slot{Service: "bookdesk", Number: i}) {
					holders++
				}
			}
		}
		return holders == deduper.SlotCount
	})
}

func (n *Node) holds(s deduper.Slot) bool {
	n.dedupe.mu.Lock()
	defer n.dedupe.mu.Unlock()
	n.dedupe.sync(s)
	return n.dedupe.table.IsHolder(s)
}

// book sends a request with an idempotency key.
func book(t *testing.T, n *Node, customerKey, key, body string) (status int, answer string) {
	t.Helper()
	r := request(t, n, "POST", "/bookdesk/book", customerKey, body)
	r.Header.Set(exchanger.HeaderIdempotencyKey, key)
	status, data := send(t, r)
	return status, string(data)
}

func (f *testFleet) executions(want int) {
	f.t.Helper()
	if got := len(f.recorder.History().Executions); got != want {
		f.t.Errorf("got %d executions, want %d", got, want)
	}
}

func TestResendAtOnceThroughTwoNodes(t *testing.T) {
	f := deskFleet(t)
	const keys = 8
	var wg sync.WaitGroup
	answers := make([][3]string, keys)
	for i := range keys {
		for j, n := range f.nodes {
			wg.Go(func() {
				status, answer := book(t, n, testKey, fmt.Sprintf("key-%d", i), "two boats")
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
	f.executions(keys)
}

func TestResendWithOtherBodyOrCustomer(t *testing.T) {
	f := deskFleet(t)
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
		status, answer := book(t, f.nodes[i%len(f.nodes)], tt.customerKey, key, tt.body)
		if status != tt.status {
			t.Errorf("%s: got status %d, want %d: %s", tt.name, status, tt.status, answer)
		}
		f.executions(tt.executions)
	}
}

func TestResendAfterPlannedStop(t *testing.T) {
	f := deskFleet(t)
	const keys = 20
	first := make([]string, keys)
	for i := range keys {
		_, first[i] = book(t, f.nodes[i%3], testKey, fmt.Sprintf("key-%d", i), "two boats")
	}
	f.stops[0]()
	f.nodes = f.nodes[1:]
	f.held()
	for i := range keys {
		status, again := book(t, f.nodes[i%2], testKey, fmt.Sprintf("key-%d", i), "two boats")
		if status != http.StatusOK || again != first[i] {
			t.Errorf("key %d: got status %d and answer %q, want the first answer %q", i, status, again, first[i])
		}
	}
	status, answer := book(t, f.nodes[0], testKey, "new-key", "two boats")
	if status != http.StatusOK {
		t.Errorf("new key: got status %d: %s", status, answer)
	}
	f.executions(keys + 1)
}

func TestResendAfterJoin(t *testing.T) {
	f := deskFleet(t)
	const keys = 20
	first := make([]string, keys)
	for i := range keys {
		_, first[i] = book(t, f.nodes[i%3], testKey, fmt.Sprintf("key-%d", i), "two boats")
	}
	f.add("bookdesk-new", "bookdesk", "rajkot")
	f.ready()
	f.held()
	for i := range keys {
		status, again := book(t, f.nodes[3], testKey, fmt.Sprintf("key-%d", i), "two boats")
		if status != http.StatusOK || again != first[i] {
			t.Errorf("key %d: got status %d and answer %q, want the first answer %q", i, status, again, first[i])
		}
	}
	f.executions(keys)
}
