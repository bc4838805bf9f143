package prover

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// watch records the versions in force until the function it returns is called.
func (f *fleet) watch() (stop func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	for _, n := range f.nodes {
		g.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(statusPause):
					n.refresh()
				}
			}
		})
	}
	return func() {
		close(done)
		g.Wait()
	}
}

// race lets two operators publish against the same version, each repeating its
// append, and returns the offsets.
func (f *fleet) race(customers ...customer) {
	f.t.Helper()
	base := f.state().ConfigVersion
	m, err := parser.ParseManifest("manifest", []byte(manifestOf(customers...)))
	if err != nil {
		f.t.Fatal(err)
	}
	log := journaler.NewHTTPLog(f.logURL)
	for range 2 {
		r := folder.NewRecord(folder.KindManifest)
		r.BaseVersion = base
		r.Manifest = m
		data, err := folder.Encode(r)
		if err != nil {
			f.t.Fatal(err)
		}
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _ = log.Append(ctx, data)
			cancel()
		}
	}
}

// Operators race each other while appends lose their answers, and one node is
// replaced meanwhile.
func TestRacingOperatorsWhileAppendsLoseTheirAnswers(t *testing.T) {
	f := standard(t, pondA)
	stop := f.watch()
	for i := range 5 {
		before := f.state().ConfigVersion
		f.log.LoseAppendResponses(2)
		changed := pondA
		changed.burst = float64(2000 + i)
		f.race(changed)
		after := f.state()
		if after.ConfigVersion == before {
			t.Fatalf("round %d: got no change accepted, want one", i)
		}
		accepted := f.accepted(before, after.ConfigVersion)
		if accepted != 1 {
			t.Errorf("round %d: got %d changes accepted, want 1", i, accepted)
		}
		f.recorder.Event(recorder.Event{Operation: recorder.OperationAccepted, At: time.Now(), Version: after.ConfigVersion})
		if i == 2 {
			f.nodes[0].kill()
			f.nodes[0].restart()
			f.nodes[0].meet()
		}
	}
	f.inForce(f.state().ConfigVersion, f.nodes...)
	stop()
	f.verify()
}

// accepted returns the number of changes of the configuration after one version
// and up to another.
func (f *fleet) accepted(after, upTo uint64) (count int) {
	s := &folder.State{}
	for _, e := range f.entries() {
		r, err := folder.Decode(e.Data)
		if err != nil {
			f.t.Fatal(err)
		}
		next, outcome := s.Fold(e.Offset, r)
		if outcome == folder.OutcomeAccepted && r.IsConfigChange() && e.Offset > after && e.Offset <= upTo {
			count++
		}
		s = next
	}
	return count
}

func (f *fleet) entries() []journaler.Entry {
	f.t.Helper()
	page, err := f.log.MemoryLog().Read(context.Background(), 1, 1<<20, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	return page.Entries
}

// The log is down for longer than the freshness: service goes on, and what is
// published afterwards comes into force. A node that starts during the outage
// takes its state from the others.
func TestLogOutageStopsNothing(t *testing.T) {
	f := standard(t, pondA)
	run := slotCalls(f, 4)
	late := f.prepare("slotboard-3", "slotboard", "ahmedabad", nil)
	stop := f.watch()
	f.log.SetOutage(emulator.OutageHang)
	begun := time.Now()
	f.event(recorder.OperationFault, "log")
	late.start()
	wait := parseFreshness(t) + 3*time.Second
	f.await("the outage outlasts the freshness", func() bool { return time.Since(begun) > wait })
	before := run.count()
	f.await("200 more calls have ended", func() bool { return run.count() >= before+200 })
	run.mu.Lock()
	during := run.calls[before:]
	run.mu.Unlock()
	for _, c := range during {
		if !answered(c) {
			t.Errorf("during the outage: got outcome %s, reason %q, want an answer", c.Outcome, c.Reason)
		}
	}
	f.log.SetOutage(emulator.OutageNone)
	f.event(recorder.OperationFaultEnd, "log")
	f.ready()
	version := f.publish(manifestOf(pondA, pondB))
	f.inForce(version, f.nodes...)
	stop()
	run.end()
	if got := late.send(call{customer: pondB, service: "slotboard", path: "/slots"}); !answered(got) {
		t.Errorf("through the late node: got %+v, want an answer", got)
	}
	f.verify()
}

// The log keeps few records. A node that is replaced after the manifest's own
// record is gone still learns it, from a snapshot.
func TestConfigurationOutlivesRetention(t *testing.T) {
	const kept = 40
	f := standard(t, pondA)
	version := f.state().ConfigVersion
	f.log.SetRetention(kept)
	base := version
	f.await("the manifest's record is gone and a snapshot is kept", func() bool {
		r := folder.NewRecord(folder.KindServer)
		r.BaseVersion = base
		r.OutOfServiceChange = &folder.OutOfServiceChange{Name: "nobody", OutOfService: true}
		f.appendRaw(r)
		oldest, hasSnapshot := f.kept()
		return oldest > version && hasSnapshot
	})
	replaced := f.nodes[1]
	replaced.kill()
	replaced.restart()
	f.await("the replaced node has the configuration in force", func() bool {
		return replaced.refresh() && replaced.told().Ready && replaced.told().ConfigVersion >= version
	})
	if got := replaced.send(call{customer: pondA, service: "slotboard", path: "/slots"}); !answered(got) {
		t.Errorf("through the replaced node: got %+v, want an answer", got)
	}
}

// appendRaw appends through the log service, which trims the log.
func (f *fleet) appendRaw(r folder.Record) {
	data, err := folder.Encode(r)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := journaler.NewHTTPLog(f.logURL).Append(context.Background(), data); err != nil {
		f.t.Fatal(err)
	}
}

// kept returns the offset of the oldest record kept, and whether a snapshot is
// among those that are.
func (f *fleet) kept() (oldest uint64, hasSnapshot bool) {
	page, err := f.log.MemoryLog().Read(context.Background(), 1, 1, 0)
	var trimmed *journaler.TrimmedError
	if errors.As(err, &trimmed) {
		page, err = f.log.MemoryLog().Read(context.Background(), trimmed.OldestOffset, 1<<20, 0)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	for _, e := range page.Entries {
		if r, err := folder.Decode(e.Data); err == nil && r.Kind == folder.KindSnapshot {
			hasSnapshot = true
		}
	}
	return page.OldestOffset, hasSnapshot
}
