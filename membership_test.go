package flamingotack

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const testFreshness = parser.Duration(2 * time.Second)

// shiftedClock is the system clock, which a test can set forward as if the
// process had been paused.
type shiftedClock struct {
	timekeeper.SystemClock

	shift atomic.Int64
}

// Now returns the shifted time.
func (c *shiftedClock) Now() time.Time {
	return c.SystemClock.Now().Add(time.Duration(c.shift.Load()))
}

// newFreshnessCluster starts three nodes of one service with a short freshness
// bound.
func newFreshnessCluster(t *testing.T) *testCluster {
	t.Helper()
	c := newTestCluster(t, testManifest())
	c.configure = func(s *parser.Settings) { s.MaxStateAge = testFreshness }
	for _, domain := range []string{"ahmedabad", "rajkot", "vadodara"} {
		c.add("slotboard-"+domain, "slotboard", domain)
	}
	c.awaitMembership()
	return c
}

// sendAuthorized sends a request with a key and reports whether n answers it,
// or how n refuses it.
func sendAuthorized(t *testing.T, n *Node) (ok bool, problem string) {
	t.Helper()
	status, body := send(t, request(t, n, "GET", "/slotboard/slots", testKey, ""))
	return status == http.StatusOK, string(body)
}

func awaitServing(t *testing.T, n *Node) {
	t.Helper()
	await(t, n.self.Name+" answers requests", func() bool {
		ok, _ := sendAuthorized(t, n)
		return ok
	})
}

func awaitStale(t *testing.T, n *Node) {
	t.Helper()
	await(t, n.self.Name+" refuses requests as stale", func() bool {
		ok, problem := sendAuthorized(t, n)
		return !ok && strings.Contains(problem, string(exchanger.ReasonStale))
	})
}

func logReadAge(n *Node) time.Duration {
	return n.membership.ownership.Freshness().Proof(n.dependencies.Clock.Now()).LogReadAge
}

// ownedBy returns a resource that n owns in its view.
func ownedBy(n *Node) holder.Resource {
	for i := 0; ; i++ {
		r := holder.Resource{Name: fmt.Sprint("resource", i)}
		if owner, _ := n.membership.ownership.Owner(r); owner.IsSelf {
			return r
		}
	}
}

func TestRequestsRunDuringLogOutage(t *testing.T) {
	t.Parallel()
	c := newFreshnessCluster(t)
	awaitServing(t, c.nodes[0])
	c.log.SetOutage(emulator.OutageHang)
	await(t, "the log has been down for three freshness bounds", func() bool {
		for _, n := range c.nodes {
			if ok, problem := sendAuthorized(t, n); !ok {
				t.Fatalf("%s refused a request during the log outage: %s", n.self.Name, problem)
			}
		}
		return logReadAge(c.nodes[0]) > 3*testFreshness.Std()
	})
	c.configure = func(s *parser.Settings) {
		s.MaxStateAge = testFreshness
		s.FallbackPeers = []string{c.nodes[0].settings.PeerAddress, c.nodes[1].settings.PeerAddress}
	}
	late := c.add("slotboard-late", "slotboard", "rajkot")
	awaitServing(t, late)
	if late.membership.ownership.MayUse(time.Now(), holder.Resource{Name: "any"}) {
		t.Error("a node outside the view may use a resource, want none")
	}
	c.log.SetOutage(emulator.OutageNone)
	c.awaitMembership()
}

func TestNodeWithoutLogAndPeersRefusesRequests(t *testing.T) {
	t.Parallel()
	c := newFreshnessCluster(t)
	last := c.nodes[2]
	awaitServing(t, last)
	c.log.SetOutage(emulator.OutageRefuse)
	c.stopNodes[0]()
	c.stopNodes[1]()
	awaitStale(t, last)
	c.log.SetOutage(emulator.OutageNone)
	await(t, "the node is fresh again", last.isFresh)
}

func TestPausedNodeRefusesRequestsAsStale(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, testManifest())
	c.add("slotboard-2", "slotboard", "rajkot")
	clock := &shiftedClock{}
	c.clock = clock
	n := c.add("slotboard-1", "slotboard", "ahmedabad")
	c.awaitMembership()
	awaitServing(t, n)
	c.log.SetOutage(emulator.OutageHang)
	c.stopNodes[0]()
	clock.shift.Add(int64(time.Hour))
	if _, err := n.guard.Handle(t.Context(), &exchanger.Request{Service: "slotboard"}); exchanger.AsRefusal(err).Reason != exchanger.ReasonStale {
		t.Errorf("guard after a pause: got %v, want a refusal as stale", err)
	}
	c.log.SetOutage(emulator.OutageNone)
	awaitServing(t, n)
}

func TestUnresponsiveNodeIsEvicted(t *testing.T) {
	t.Parallel()
	c := newFreshnessCluster(t)
	c.log.SetOutage(emulator.OutageRefuse)
	c.stopNodes[1]()
	c.log.SetOutage(emulator.OutageNone)
	await(t, "the unresponsive node is evicted", func() bool {
		_, found := c.nodes[0].index.Load().State.Member(c.nodes[1].self.Name)
		return !found
	})
	await(t, "another node holds its resources", func() bool {
		for _, n := range []*Node{c.nodes[0], c.nodes[2]} {
			if n.membership.ownership.MayUse(n.dependencies.Clock.Now(), holder.Resource{Name: "any", Service: "slotboard"}) {
				return true
			}
		}
		return false
	})
}

func TestEvictedNodeRejoins(t *testing.T) {
	t.Parallel()
	c := newFreshnessCluster(t)
	victim := c.nodes[1]
	record := folder.NewRecord(folder.KindEvict)
	record.Member = &folder.Member{Name: victim.self.Name, Incarnation: victim.self.Incarnation}
	before, _ := c.nodes[0].index.Load().State.Member(victim.self.Name)
	if _, err := c.nodes[0].membership.appender.Append(t.Context(), record); err != nil {
		t.Fatal(err)
	}
	await(t, "the node is a member again", func() bool {
		m, found := c.nodes[0].index.Load().State.Member(victim.self.Name)
		return found && m.JoinOffset > before.JoinOffset
	})
}

func TestNodeStartsFromSnapshot(t *testing.T) {
	t.Parallel()
	c := newFreshnessCluster(t)
	c.log.SetRetention(30)
	for i := range 100 {
		record := folder.NewRecord(folder.KindServer)
		record.BaseVersion = c.nodes[0].configVersion()
		record.OutOfServiceChange = &folder.OutOfServiceChange{Name: "elsewhere", OutOfService: i%2 == 0}
		if _, err := c.nodes[0].membership.appender.Append(t.Context(), record); err != nil {
			t.Fatal(err)
		}
	}
	late := c.add("slotboard-late", "slotboard", "rajkot")
	c.awaitMembership()
	awaitServing(t, late)
	if got, want := late.configVersion(), c.nodes[0].configVersion(); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
	await(t, "the late node may use a resource that it owns", func() bool {
		return late.membership.ownership.MayUse(time.Now(), ownedBy(late))
	})
}

func TestUnreadableRecordsAreSkipped(t *testing.T) {
	t.Parallel()
	c := newFreshnessCluster(t)
	for _, data := range []string{"no JSON", `{"format":99,"kind":"manifest","id":"x","manifest":{}}`} {
		if _, err := c.log.MemoryLog().Append(t.Context(), []byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range c.nodes {
		await(t, "the records are skipped", func() bool { return n.membership.tailer.Counters.SkippedRecords.Load() == 2 })
		awaitServing(t, n)
	}
}

func TestAppendIsRetriedAfterLostAnswer(t *testing.T) {
	t.Parallel()
	c := newFreshnessCluster(t)
	c.log.LoseAppendResponses(3)
	record := folder.NewRecord(folder.KindDomain)
	record.BaseVersion = c.nodes[0].configVersion()
	record.OutOfServiceChange = &folder.OutOfServiceChange{Name: "elsewhere", OutOfService: true}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	seen, err := c.nodes[0].membership.appender.Append(ctx, record)
	if err != nil || seen.Outcome != folder.OutcomeAccepted {
		t.Errorf("outcome: got %q, %v, want %q", seen.Outcome, err, folder.OutcomeAccepted)
	}
}
