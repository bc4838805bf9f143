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

// shiftClock is the system's clock, which a test can put forward as if the
// process had been paused.
type shiftClock struct {
	timekeeper.SystemClock

	shift atomic.Int64
}

// Now returns the shifted time.
func (c *shiftClock) Now() time.Time {
	return c.SystemClock.Now().Add(time.Duration(c.shift.Load()))
}

// newSharedFleet starts three nodes of one service with a short freshness.
func newSharedFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(t, testManifest())
	f.tune = func(s *parser.Settings) { s.Freshness = testFreshness }
	for _, domain := range []string{"ahmedabad", "rajkot", "vadodara"} {
		f.add("slotboard-"+domain, "slotboard", domain)
	}
	f.ready()
	return f
}

// serves reports whether n answers a request with a key, and how it refuses.
func serves(t *testing.T, n *Node) (ok bool, problem string) {
	t.Helper()
	status, body := send(t, request(t, n, "GET", "/slotboard/slots", testKey, ""))
	return status == http.StatusOK, string(body)
}

func awaitServing(t *testing.T, n *Node) {
	t.Helper()
	await(t, n.self.Name+" serves", func() bool {
		ok, _ := serves(t, n)
		return ok
	})
}

func awaitStale(t *testing.T, n *Node) {
	t.Helper()
	await(t, n.self.Name+" refuses as stale", func() bool {
		ok, problem := serves(t, n)
		return !ok && strings.Contains(problem, string(exchanger.ReasonStale))
	})
}

func readAge(n *Node) time.Duration {
	return n.membership.tenure.Freshness().Proof(n.edges.Clock.Now()).ReadAge
}

// ownedBy returns a resource that n owns in its view.
func ownedBy(n *Node) holder.Resource {
	for i := 0; ; i++ {
		r := holder.Resource{Name: fmt.Sprint("resource", i)}
		if owner, _ := n.membership.tenure.Owner(r); owner.Self {
			return r
		}
	}
}

func TestOutageOfTheLogStopsNothing(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(t)
	awaitServing(t, f.nodes[0])
	f.log.SetOutage(emulator.OutageHang)
	await(t, "the log is long down", func() bool {
		for _, n := range f.nodes {
			if ok, problem := serves(t, n); !ok {
				t.Fatalf("%s refused in the outage: %s", n.self.Name, problem)
			}
		}
		return readAge(f.nodes[0]) > 3*testFreshness.Std()
	})
	f.tune = func(s *parser.Settings) {
		s.Freshness = testFreshness
		s.Peers = []string{f.nodes[0].settings.Peer, f.nodes[1].settings.Peer}
	}
	late := f.add("slotboard-late", "slotboard", "rajkot")
	awaitServing(t, late)
	if late.membership.tenure.MayUse(time.Now(), holder.Resource{Name: "any"}) {
		t.Error("a node outside the view holds a resource, want none")
	}
	f.log.SetOutage(emulator.OutageNone)
	f.ready()
}

func TestNodeWithoutLogAndPeersRefuses(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(t)
	last := f.nodes[2]
	awaitServing(t, last)
	f.log.SetOutage(emulator.OutageRefuse)
	f.stops[0]()
	f.stops[1]()
	awaitStale(t, last)
	f.log.SetOutage(emulator.OutageNone)
	await(t, "the node is fresh again", last.fresh)
}

func TestPausedNodeFindsOutBeforeItsNextDispatch(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, testManifest())
	f.add("slotboard-2", "slotboard", "rajkot")
	clock := &shiftClock{}
	f.clock = clock
	n := f.add("slotboard-1", "slotboard", "ahmedabad")
	f.ready()
	awaitServing(t, n)
	f.log.SetOutage(emulator.OutageHang)
	f.stops[0]()
	clock.shift.Add(int64(time.Hour))
	if _, err := n.guard.Handle(t.Context(), &exchanger.Request{Service: "slotboard"}); exchanger.AsRefusal(err).Reason != exchanger.ReasonStale {
		t.Errorf("guard after a pause: got %v, want a refusal as stale", err)
	}
	f.log.SetOutage(emulator.OutageNone)
	awaitServing(t, n)
}

func TestSilentNodeIsEvicted(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(t)
	f.log.SetOutage(emulator.OutageRefuse)
	f.stops[1]()
	f.log.SetOutage(emulator.OutageNone)
	await(t, "the silent node is out of the view", func() bool {
		_, found := f.nodes[0].index.Load().State.Member(f.nodes[1].self.Name)
		return !found
	})
	await(t, "its resources have a holder", func() bool {
		for _, n := range []*Node{f.nodes[0], f.nodes[2]} {
			if n.membership.tenure.MayUse(n.edges.Clock.Now(), holder.Resource{Name: "any", Service: "slotboard"}) {
				return true
			}
		}
		return false
	})
}

func TestEvictedNodeJoinsAgain(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(t)
	victim := f.nodes[1]
	record := folder.NewRecord(folder.KindEvict)
	record.Member = &folder.Member{Name: victim.self.Name, Incarnation: victim.self.Incarnation}
	before, _ := f.nodes[0].index.Load().State.Member(victim.self.Name)
	if _, err := f.nodes[0].membership.appender.Append(t.Context(), record); err != nil {
		t.Fatal(err)
	}
	await(t, "the node is a member again", func() bool {
		m, found := f.nodes[0].index.Load().State.Member(victim.self.Name)
		return found && m.Since > before.Since
	})
}

func TestNodeStartsFromSnapshot(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(t)
	f.log.SetRetention(30)
	for i := range 100 {
		record := folder.NewRecord(folder.KindServer)
		record.Base = f.nodes[0].version()
		record.Outage = &folder.Outage{Name: "elsewhere", Out: i%2 == 0}
		if _, err := f.nodes[0].membership.appender.Append(t.Context(), record); err != nil {
			t.Fatal(err)
		}
	}
	late := f.add("slotboard-late", "slotboard", "rajkot")
	f.ready()
	awaitServing(t, late)
	if got, want := late.version(), f.nodes[0].version(); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
	await(t, "the late node may hold something", func() bool {
		return late.membership.tenure.MayUse(time.Now(), ownedBy(late))
	})
}

func TestUnreadableRecordsAreSkipped(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(t)
	for _, data := range []string{"no JSON", `{"format":99,"kind":"manifest","id":"x","manifest":{}}`} {
		if _, err := f.log.MemoryLog().Append(t.Context(), []byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range f.nodes {
		await(t, "the records are skipped", func() bool { return n.membership.tailer.Counts.Skipped.Load() == 2 })
		awaitServing(t, n)
	}
}

func TestLostAnswersOfAppendsAreRepeated(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(t)
	f.log.LoseAppendAnswers(3)
	record := folder.NewRecord(folder.KindDomain)
	record.Base = f.nodes[0].version()
	record.Outage = &folder.Outage{Name: "elsewhere", Out: true}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	seen, err := f.nodes[0].membership.appender.Append(ctx, record)
	if err != nil || seen.Outcome != folder.OutcomeAccepted {
		t.Errorf("outcome: got %q, %v, want %q", seen.Outcome, err, folder.OutcomeAccepted)
	}
}
