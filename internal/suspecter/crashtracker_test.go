package suspecter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

var epoch = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

func newIdentity(n int) RequestIdentity {
	return RequestIdentity{Customer: "anna", Service: "jobdesk", Route: "/", Method: "POST", Path: fmt.Sprintf("/%d", n)}
}

func TestDigestSeparatesFields(t *testing.T) {
	a := NewDigest(RequestIdentity{Customer: "ab", Service: "c"})
	b := NewDigest(RequestIdentity{Customer: "a", Service: "bc"})
	if a == b {
		t.Errorf("got equal digests %x, want different ones", a)
	}
}

func TestSecondCrashRefusesRequestOnAllNodes(t *testing.T) {
	nodes := []*CrashTracker{{}, {}, {}}
	for i := range CrashesToRefuse {
		if v, _ := nodes[i].Start(epoch, 1, newIdentity(1)); v != VerdictRun {
			t.Fatalf("crash %d: got verdict %d, want %d", i, v, VerdictRun)
		}
		nodes[i].RecordLostConnection(epoch, 1)
		for _, p := range nodes[i].RecordCrash(epoch, fmt.Sprint("server-", i)) {
			for j := range nodes {
				if j != i {
					nodes[j].Merge(epoch, p)
				}
			}
		}
	}
	for i, n := range nodes {
		if _, got := n.RefusedFor(epoch, newIdentity(1)); !got {
			t.Errorf("node %d: got refused %v, want true", i, got)
		}
		if _, got := n.RefusedFor(epoch.Add(defaultSuspicionDuration), newIdentity(1)); got {
			t.Errorf("node %d after the suspicion expired: got refused %v, want false", i, got)
		}
	}
}

func TestSameIncarnationCountsOnce(t *testing.T) {
	s := &CrashTracker{}
	s.Merge(epoch, Suspect{Digest: NewDigest(newIdentity(1)), CrashedIncarnations: []string{"a"}, ExpiresAt: epoch.Add(time.Minute)})
	s.Merge(epoch, Suspect{Digest: NewDigest(newIdentity(1)), CrashedIncarnations: []string{"a"}, ExpiresAt: epoch.Add(time.Minute)})
	if _, got := s.RefusedFor(epoch, newIdentity(1)); got {
		t.Errorf("got refused %v, want false", got)
	}
}

// TestOnlyCrashRequestIsRefused runs one crash request among harmless requests
// that are sent repeatedly. Only the crash request may be in flight at the crash that
// has it refused.
func TestOnlyCrashRequestIsRefused(t *testing.T) {
	for _, limits := range []CrashTracker{{}, {CrashesToIsolate: 2, CrashesToRefuse: 3}} {
		t.Run(fmt.Sprint(limits.crashesToRefuse()), func(t *testing.T) { testOnlyCrashRequestIsRefused(t, limits) })
	}
}

func testOnlyCrashRequestIsRefused(t *testing.T, limits CrashTracker) {
	rapid.Check(t, func(t *rapid.T) {
		s := &CrashTracker{CrashesToIsolate: limits.CrashesToIsolate, CrashesToRefuse: limits.CrashesToRefuse}
		now, lastID := epoch, uint64(0)
		crashRequest := newIdentity(0)
		crashes := 0
		for range rapid.IntRange(5, 60).Draw(t, "rounds") {
			now = now.Add(time.Millisecond)
			batch := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 6, rapid.ID).Draw(t, "batch")
			started := map[uint64]int{}
			for _, n := range batch {
				lastID++
				if v, _ := s.Start(now, lastID, newIdentity(n)); v == VerdictRun {
					started[lastID] = n
				}
			}
			serverCrashes := false
			for _, n := range started {
				serverCrashes = serverCrashes || n == 0
			}
			if serverCrashes {
				crashes++
				for i := range started {
					s.RecordLostConnection(now, i)
				}
				s.RecordCrash(now, fmt.Sprint(crashes))
				continue
			}
			for i := range started {
				s.Finish(now, i, true)
			}
		}
		for n := 1; n <= 5; n++ {
			if _, got := s.RefusedFor(now, newIdentity(n)); got {
				t.Fatalf("got harmless request %d refused, want it admitted", n)
			}
		}
		if crashes > limits.crashesToRefuse() {
			t.Fatalf("got %d crashes, want at most %d", crashes, limits.crashesToRefuse())
		}
		if _, got := s.RefusedFor(now, crashRequest); got != (crashes == limits.crashesToRefuse()) {
			t.Fatalf("got crash request refused %v after %d crashes", got, crashes)
		}
	})
}

func TestSuccessEndsSuspicionOnOtherNodes(t *testing.T) {
	a, b := &CrashTracker{}, &CrashTracker{}
	a.Start(epoch, 1, newIdentity(1))
	a.RecordLostConnection(epoch, 1)
	for _, p := range a.RecordCrash(epoch, "x") {
		b.Merge(epoch, p)
	}
	b.Start(epoch, 2, newIdentity(1))
	for _, p := range b.Finish(epoch, 2, true) {
		a.Merge(epoch, p)
	}
	if got := a.SuspectCount() + b.SuspectCount(); got != 0 {
		t.Errorf("got %d suspects, want 0", got)
	}
}

// TestRetractedCrashIsNoNews guards against suspicions and retractions that nodes pass on to
// each other forever.
func TestRetractedCrashIsNoNews(t *testing.T) {
	s := &CrashTracker{}
	suspect := Suspect{Digest: NewDigest(newIdentity(1)), CrashedIncarnations: []string{"x"}, ExpiresAt: epoch.Add(time.Minute)}
	retraction := Suspect{Digest: suspect.Digest, CrashedIncarnations: suspect.CrashedIncarnations}
	for i, step := range []struct {
		suspect Suspect
		want    bool
	}{{suspect, true}, {suspect, false}, {retraction, true}, {retraction, false}, {suspect, false}} {
		if got := s.Merge(epoch, step.suspect); got != step.want {
			t.Errorf("step %d: got news %t, want %t", i, got, step.want)
		}
	}
	if got := s.SuspectCount(); got != 0 {
		t.Errorf("got %d suspects, want 0", got)
	}
}

func TestLostConnectionWithoutCrashLeavesNoSuspect(t *testing.T) {
	s := &CrashTracker{}
	s.Start(epoch, 1, newIdentity(1))
	s.RecordLostConnection(epoch, 1)
	if got := len(s.RecordCrash(epoch.Add(lostConnectionWindow+1), "x")) + s.SuspectCount(); got != 0 {
		t.Errorf("got %d suspects for a crash long after the lost connection, want 0", got)
	}
}

func TestRetractCrashRemovesOneIncarnation(t *testing.T) {
	a, b := &CrashTracker{}, &CrashTracker{}
	other := Suspect{Digest: NewDigest(newIdentity(1)), CrashedIncarnations: []string{"y"}, ExpiresAt: epoch.Add(time.Minute)}
	b.Merge(epoch, other)
	a.Start(epoch, 1, newIdentity(1))
	a.RecordLostConnection(epoch, 1)
	for _, p := range a.RecordCrash(epoch, "x") {
		b.Merge(epoch, p)
	}
	if _, got := b.RefusedFor(epoch, newIdentity(1)); !got {
		t.Errorf("got refused %v after two crashes, want true", got)
	}
	for _, p := range a.RetractCrash(epoch, "x") {
		b.Merge(epoch, p)
	}
	if _, got := b.RefusedFor(epoch, newIdentity(1)); got || b.SuspectCount() != 1 || a.SuspectCount() != 0 {
		t.Errorf("got refused %v, %d and %d suspects after the retraction, want false, 0 and 1", got, a.SuspectCount(), b.SuspectCount())
	}
}

func TestSuspectCountIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &CrashTracker{MaxSuspects: rapid.IntRange(1, 20).Draw(t, "capacity")}
		crashRequest := Suspect{Digest: Digest{255}, CrashedIncarnations: []string{"a", "b"}, ExpiresAt: epoch.Add(time.Minute)}
		s.Merge(epoch, crashRequest)
		for i := range rapid.IntRange(0, 200).Draw(t, "suspects") {
			s.Merge(epoch, Suspect{Digest: Digest{byte(i)}, CrashedIncarnations: []string{"a"}, ExpiresAt: epoch.Add(time.Minute)})
			if s.SuspectCount() > s.MaxSuspects {
				t.Fatalf("got %d suspects, want at most %d", s.SuspectCount(), s.MaxSuspects)
			}
		}
		if p := s.find(epoch, crashRequest.Digest); p == nil && s.MaxSuspects > 1 {
			t.Fatal("got the crash request evicted for suspects with fewer crashes, want it kept")
		}
	})
}

// TestDigestIsNotComputedAgain guards against bodies that are read while the lock of the tracker
// is held, although their digest is known.
func TestDigestIsNotComputedAgain(t *testing.T) {
	i := newIdentity(1)
	i.Body, i.MoreBody = []byte("first"), [][]byte{[]byte("second")}
	want := NewDigest(i)
	var tracker CrashTracker
	tracker.Start(epoch, 1, i)
	known := i.WithDigest()
	tracker.SetIdentity(1, known)
	// A body that is read again would give another digest.
	known.MoreBody[0][0] = 'x'
	tracker.RecordLostConnection(epoch, 1)
	changed := tracker.RecordCrash(epoch, "a")
	if len(changed) != 1 || changed[0].Digest != want {
		t.Errorf("got suspects %v, want the one with the known digest", changed)
	}
	tracker.SetIdentity(2, known)
	if len(tracker.inFlight) != 0 {
		t.Errorf("got %d requests in flight, want none", len(tracker.inFlight))
	}
}
