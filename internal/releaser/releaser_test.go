package releaser

import (
	"slices"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/promoter"
)

// testDuration is the duration of the orders in these tests.
const testDuration = 12 * time.Second

// badAlternately makes every second run on a version fail.
func (c *cluster) badAlternately(version string) {
	count := 0
	c.bad = func(v string) bool {
		count++
		return v == version && count%2 == 0
	}
}

// startTarget starts two nodes beside servers of a version.
func (c *cluster) startTarget(version string) {
	c.add(version+"-a", version)
	c.add(version+"-b", version)
}

func (c *cluster) checkWritten(want ...string) {
	c.t.Helper()
	if !slices.Equal(c.store.written, want) {
		c.t.Errorf("got statuses %v, want %v", c.store.written, want)
	}
}

// checkExposure checks that a bad version had no more runs than the exposure allows.
func (c *cluster) checkExposure(version string) {
	c.t.Helper()
	if got, most := c.runs[version], 50+c.calls["all"]/10; got > most {
		c.t.Errorf("got %d runs on version %s, want at most %d", got, version, most)
	}
}

func (c *cluster) checkRefused(most int) {
	c.t.Helper()
	if got := c.calls["refused"]; got > most {
		c.t.Errorf("got %d of %d calls refused by all servers, want at most %d", got, c.calls["all"], most)
	}
}

// TestFaultsOfTheDecider guards against a decider whose failure stops a rollout or raises the
// exposure: it dies, is cut off from the other nodes, or is paused and resumes, in each phase.
func TestFaultsOfTheDecider(t *testing.T) {
	faults := []struct {
		name          string
		begin, resume func(c *cluster)
	}{
		{"dies", func(c *cluster) { c.nodes["d0"].down = true }, func(*cluster) {}},
		{"is cut off", func(c *cluster) { c.cut = func(a, b string) bool { return a != b && (a == "d0" || b == "d0") } }, func(c *cluster) { c.cut = func(string, string) bool { return false } }},
		{"is paused", func(c *cluster) { c.nodes["d0"].paused = true }, func(c *cluster) { c.nodes["d0"].resume() }},
	}
	for _, fault := range faults {
		for _, at := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 7600 * time.Millisecond, 8 * time.Second, 8500 * time.Millisecond} {
			for _, bad := range []bool{false, true} {
				t.Run(fault.name+" at "+at.String()+map[bool]string{true: ", bad version"}[bad], func(t *testing.T) {
					c := newCluster(t)
					if bad {
						c.badAlternately("v2")
					}
					c.order("v2", testDuration)
					c.startTarget("v2")
					c.runUntil(at)
					fault.begin(c)
					c.runUntil(at + 2500*time.Millisecond)
					fault.resume(c)
					c.runUntil(testDuration + time.Second)
					if bad {
						c.checkExposure("v2")
						c.checkWritten("running v2", "rolled_back v2")
						before := c.runs["v2"]
						c.runUntil(testDuration + 3*time.Second)
						if got := c.runs["v2"] - before; got != 0 {
							t.Errorf("got %d runs after the verdict, want none", got)
						}
						return
					}
					c.checkWritten("running v2", "completed v2")
					c.checkRefused(0)
				})
			}
		}
	}
}

// TestMessagesAreRelayed guards against nodes without a link to the decider that neither report to
// it nor learn its decisions.
func TestMessagesAreRelayed(t *testing.T) {
	c := newCluster(t)
	linked := func(name string) bool { return slices.Contains(c.ranked, name) }
	c.cut = func(a, b string) bool { return a == "d0" && !linked(b) || b == "d0" && !linked(a) }
	c.badAlternately("v2")
	c.order("v2", testDuration)
	c.startTarget("v2")
	c.runUntil(4 * time.Second)
	c.checkWritten("running v2", "rolled_back v2")
	c.bad = func(string) bool { return false }
	c.order("v3", testDuration)
	c.startTarget("v3")
	c.runUntil(4*time.Second + testDuration)
	c.checkWritten("running v2", "rolled_back v2", "running v3", "completed v3")
	c.checkRefused(0)
}

// TestNoDecisionMeansNoCalls guards against servers of the target version that run calls without
// a valid decision: before the first one, and once all deciders are gone.
func TestNoDecisionMeansNoCalls(t *testing.T) {
	c := newCluster(t)
	c.order("v2", testDuration)
	c.startTarget("v2")
	c.runUntil(collectTime - tickInterval)
	if got := c.runs["v2"]; got != 0 {
		t.Errorf("got %d runs before the first decision, want none", got)
	}
	c.runUntil(3 * time.Second)
	if c.runs["v2"] == 0 {
		t.Error("got no runs on the target version within 3 s, want some")
	}
	c.cut = func(a, b string) bool { return a != "caller" && b != "caller" }
	c.runUntil(3*time.Second + LeaseTime + tickInterval)
	before := c.runs["v2"]
	c.runUntil(6 * time.Second)
	if got := c.runs["v2"] - before; got != 0 {
		t.Errorf("got %d runs without a valid decision, want none", got)
	}
	c.checkRefused(0)
}

// TestDeciderCollectsReports guards against a decider that decides on old reports after a pause of its
// process or after it was cut off: the nodes may have run many calls meanwhile.
func TestDeciderCollectsReports(t *testing.T) {
	for name, fault := range map[string]struct{ begin, end func(c *cluster) }{
		"pause":   {func(c *cluster) { c.nodes["d0"].paused = true }, func(c *cluster) { c.nodes["d0"].resume() }},
		"cut off": {func(c *cluster) { c.cut = func(a, b string) bool { return a != b } }, func(c *cluster) { c.cut = func(string, string) bool { return false } }},
	} {
		c := newCluster(t)
		c.ranked = []string{"d0"}
		c.order("v2", testDuration)
		c.startTarget("v2")
		c.runUntil(3 * time.Second)
		fault.begin(c)
		c.runUntil(5 * time.Second)
		fault.end(c)
		c.runUntil(5*time.Second + collectTime - tickInterval)
		if share := c.nodes["caller"].Plan("shop").ShareAt(c.clock.Now()); share != 0 {
			t.Errorf("%s: got share %g while reports are collected, want 0", name, share)
		}
		c.runUntil(6 * time.Second)
		if share := c.nodes["caller"].Plan("shop").ShareAt(c.clock.Now()); share == 0 {
			t.Errorf("%s: got share 0 after reports were collected, want more", name)
		}
	}
}

// TestDecisionsCountAfterAReport guards against a server that runs calls which the decider does not
// count in the quota, as it does not know the node yet.
func TestDecisionsCountAfterAReport(t *testing.T) {
	start := time.Unix(1e6, 0)
	o := rollout{order: director.Rollout{TargetVersion: "v2"}, targetReportedAt: start, decisions: map[string]*receivedDecision{
		"d": {decision: Decision{Decider: "d", MaxRequests: 9}, validUntil: start.Add(time.Hour)},
	}}
	if g := o.gate(start.Add(settleTime-1), 1); !g.ValidUntil.IsZero() || g.MaxRequests != 0 {
		t.Errorf("got %d calls allowed shortly after the first report, want none", g.MaxRequests)
	}
	if g := o.gate(start.Add(settleTime), 1); g.MaxRequests != 9 {
		t.Errorf("got %d calls allowed, want 9", g.MaxRequests)
	}
}

// TestServersAnnouncedLater guards against servers of the target version that announce themselves
// at once to nodes that have reported for long, and run calls by a quota that was split among
// fewer.
func TestServersAnnouncedLater(t *testing.T) {
	c := newCluster(t)
	var late []*clusterNode
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		n := c.add(name, "v1")
		n.version, n.Service, n.report.Version = "", "shop", ""
		late = append(late, n)
	}
	announce := func(nodes []*clusterNode) {
		for _, n := range nodes {
			n.version, n.report.Version = "v2", "v2"
		}
	}
	c.order("v2", testDuration)
	c.runUntil(2 * time.Second)
	announce(late[:1])
	c.runUntil(3 * time.Second)
	most := late[0].gate.MaxRequests
	if most == 0 {
		t.Fatal("got no calls allowed 1 s after a server announced itself, want some")
	}
	announce(late[1:])
	for end := c.elapsed() + settleTime; c.elapsed() < end; c.runUntil(c.elapsed() + tickInterval) {
		allowed := uint64(0)
		for _, n := range late {
			if c.clock.Now().Before(n.gate.ValidUntil) {
				allowed += n.gate.MaxRequests
			}
		}
		if allowed > most+most/2 {
			t.Errorf("got %d calls allowed by all servers after more have announced themselves, want about %d", allowed, most)
		}
	}
}

// TestSecondOrder guards against a version of an earlier order that still gets calls.
func TestSecondOrder(t *testing.T) {
	c := newCluster(t)
	c.order("v2", testDuration)
	c.startTarget("v2")
	c.runUntil(4 * time.Second)
	c.order("v3", testDuration)
	before := c.runs["v2"]
	c.startTarget("v3")
	c.runUntil(4*time.Second + testDuration)
	if got := c.runs["v2"] - before; before == 0 || got != 0 {
		t.Errorf("got %d runs on the version of the first order before and %d after the second one, want some and none", before, got)
	}
	c.checkWritten("running v2", "running v3", "completed v3")
	c.checkRefused(0)
}

// TestSecondOrderOfTheSameVersion guards against a verdict of an earlier order that is taken for
// that of a later one.
func TestSecondOrderOfTheSameVersion(t *testing.T) {
	c := newCluster(t)
	c.badAlternately("v2")
	c.order("v2", testDuration)
	c.startTarget("v2")
	c.runUntil(4 * time.Second)
	c.checkWritten("running v2", "rolled_back v2")
	c.bad = func(string) bool { return false }
	c.order("v2", testDuration)
	c.runUntil(4*time.Second + testDuration)
	c.checkWritten("running v2", "rolled_back v2", "running v2", "completed v2")
}

// TestWithdrawnOrder guards against a version that gets calls after its order was deleted.
func TestWithdrawnOrder(t *testing.T) {
	c := newCluster(t)
	c.order("v2", testDuration)
	c.startTarget("v2")
	c.runUntil(4 * time.Second)
	c.setOrders(nil)
	before := c.runs["v2"]
	c.runUntil(8 * time.Second)
	if got := c.runs["v2"] - before; before == 0 || got != 0 {
		t.Errorf("got %d runs before and %d after the withdrawal, want some and none", before, got)
	}
	c.checkWritten("running v2", "rolled_back v2")
	c.checkRefused(0)
}

// TestStoreAway guards against a rollout that stops because the store is away for a time, and
// against one that is completed without a stored status.
func TestStoreAway(t *testing.T) {
	for _, tt := range []struct {
		name     string
		from, to time.Duration
		want     []string
	}{
		{"at the order", 0, 2 * time.Second, []string{"running v2", "completed v2"}},
		{"in the middle", 2 * time.Second, 6 * time.Second, []string{"running v2", "completed v2"}},
		{"at the completion", 8 * time.Second, 10500 * time.Millisecond, []string{"running v2", "completed v2"}},
		{"until after the deadline", 2 * time.Second, testDuration + 2*time.Second, []string{"running v2", "rolled_back v2"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			c.order("v2", testDuration)
			c.startTarget("v2")
			c.runUntil(tt.from)
			c.store.away = true
			c.runUntil(tt.to)
			c.store.away = false
			c.runUntil(testDuration + 4*time.Second)
			c.checkWritten(tt.want...)
			c.checkRefused(0)
		})
	}
}

// TestNodeStartsInTheMiddle guards against a new node that becomes the decider and does not know
// how old the order is, and against one that does not learn the verdict.
func TestNodeStartsInTheMiddle(t *testing.T) {
	for _, at := range []time.Duration{3 * time.Second, 7800 * time.Millisecond, 8300 * time.Millisecond} {
		c := newCluster(t)
		c.order("v2", testDuration)
		c.startTarget("v2")
		c.runUntil(at)
		c.ranked = append([]string{"new"}, c.ranked...)
		c.add("new", "v2")
		c.runUntil(testDuration)
		c.checkWritten("running v2", "completed v2")
		c.checkRefused(0)
	}
	c := newCluster(t)
	c.order("v2", testDuration)
	c.startTarget("v2")
	c.runUntil(testDuration)
	late := c.add("late", "v2")
	c.runUntil(testDuration + 2*tickInterval)
	if !late.gate.Completed {
		t.Error("node that has started after the verdict does not know it after two reports")
	}
}

// TestOrderWrittenAgain guards against a rollout that begins anew because the store has lost its
// order and the operator has written it again in a new era.
func TestOrderWrittenAgain(t *testing.T) {
	c := newCluster(t)
	c.badAlternately("v2")
	c.order("v2", testDuration)
	c.startTarget("v2")
	c.runUntil(4 * time.Second)
	c.store = clusterStore{}
	c.setOrders([]director.Rollout{{Era: 1, Revision: 2, Service: "shop", TargetVersion: "v2", Duration: testDuration}})
	before := c.runs["v2"]
	c.runUntil(8 * time.Second)
	if got := c.runs["v2"] - before; got != 0 {
		t.Errorf("got %d runs on the version that was rolled back, want none", got)
	}
	c.checkWritten("rolled_back v2")
}

// TestVersionRules guards against calls to a version that lost, and against a verdict that closes
// the winning one.
func TestVersionRules(t *testing.T) {
	for _, tt := range []struct {
		final promoter.State
		want  map[string]bool
	}{
		{"", map[string]bool{"v1": true, "v2": true, "v0": false}},
		{promoter.StateCompleted, map[string]bool{"v1": false, "v2": true, "v0": false}},
		{promoter.StateRolledBack, map[string]bool{"v1": true, "v2": false, "v0": false}},
	} {
		o := rollout{order: director.Rollout{TargetVersion: "v2"}, final: tt.final, excluded: map[string]bool{"v0": true}}
		rules := o.rules()
		for version, want := range tt.want {
			if got := rules.Allows(version); got != want {
				t.Errorf("verdict %q, version %s: got %t, want %t", tt.final, version, got, want)
			}
		}
	}
}

// TestClockIsSetBack guards against decisions that all nodes drop as old because the wall clock of
// the decider was set back.
func TestClockIsSetBack(t *testing.T) {
	c := newCluster(t)
	c.order("v2", testDuration)
	c.startTarget("v2")
	c.runUntil(3 * time.Second)
	n := c.nodes["d0"]
	o := n.rollouts["shop"]
	last := o.decisions["d0"].decision.Sequence
	got := o.decision(c.clock.Now().Add(-time.Hour), "d0", promoter.Decision{State: promoter.StateRunning}).Sequence
	if got != last+1 {
		t.Errorf("got sequence %d after the clock was set back, want %d", got, last+1)
	}
}

// TestShortOrder guards against short orders of good versions that are rolled back, as decisions,
// reports and the store take time.
func TestShortOrder(t *testing.T) {
	for _, duration := range []time.Duration{3 * time.Second, 4 * time.Second, 6 * time.Second} {
		c := newCluster(t)
		c.order("v2", duration)
		c.startTarget("v2")
		c.runUntil(duration)
		c.checkWritten("running v2", "completed v2")
		c.checkRefused(0)
	}
	c := newCluster(t)
	c.badAlternately("v2")
	c.order("v2", 4*time.Second)
	c.startTarget("v2")
	c.runUntil(4 * time.Second)
	c.checkWritten("running v2", "rolled_back v2")
	c.checkExposure("v2")
}

// TestCallsMoveUntilTheVerdict guards against links and ticks for a rollout that has ended long ago
// but whose record is kept.
func TestCallsMoveUntilTheVerdict(t *testing.T) {
	c := newCluster(t)
	n := c.nodes["caller"]
	check := func(want bool, interval time.Duration) {
		t.Helper()
		if got := n.MovesCalls("shop"); got != want || n.interval() != interval {
			t.Errorf("%s: got calls move %t and interval %s, want %t and %s", c.elapsed(), got, n.interval(), want, interval)
		}
	}
	c.order("v2", testDuration)
	check(true, tickInterval)
	c.startTarget("v2")
	c.runUntil(testDuration)
	check(true, finalTickInterval)
	c.runUntil(testDuration + settledTime)
	check(false, finalTickInterval)
	c.order("v3", testDuration)
	check(true, tickInterval)
}
