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

// watchVersions records the configuration version in force on each node until
// stop is called.
func (d *deployment) watchVersions() (stop func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	for _, n := range d.nodes {
		g.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(statusInterval):
					n.refreshStatus()
				}
			}
		})
	}
	return func() {
		close(done)
		g.Wait()
	}
}

// publishConcurrently publishes two manifests against the same version, and
// sends each append three times, as operators do that get no answer.
func (d *deployment) publishConcurrently(customers ...customer) {
	d.t.Helper()
	base := d.state().ConfigVersion
	m, err := parser.ParseManifest("manifest", []byte(manifestWith(customers...)))
	if err != nil {
		d.t.Fatal(err)
	}
	log := journaler.NewHTTPLog(d.logURL)
	for range 2 {
		r := folder.NewRecord(folder.KindManifest)
		r.BaseVersion = base
		r.Manifest = m
		data, err := folder.Encode(r)
		if err != nil {
			d.t.Fatal(err)
		}
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _ = log.Append(ctx, data)
			cancel()
		}
	}
}

// Exactly one of two concurrent changes is accepted while the answers to appends
// are lost and a node is replaced.
func TestConcurrentOperatorsWhileAppendAnswersAreLost(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	stop := d.watchVersions()
	for i := range 5 {
		before := d.state().ConfigVersion
		d.logService.LoseAppendResponses(2)
		changed := customerA
		changed.burstRequests = float64(2000 + i)
		d.publishConcurrently(changed)
		after := d.state()
		if after.ConfigVersion == before {
			t.Fatalf("round %d: got no change accepted, want one", i)
		}
		accepted := d.countAcceptedChanges(before, after.ConfigVersion)
		if accepted != 1 {
			t.Errorf("round %d: got %d changes accepted, want 1", i, accepted)
		}
		d.recorder.RecordEvent(recorder.Event{Kind: recorder.EventConfigAccepted, At: time.Now(), ConfigVersion: after.ConfigVersion})
		if i == 2 {
			d.nodes[0].kill()
			d.nodes[0].restart()
			d.nodes[0].waitForAddresses()
		}
	}
	d.waitInForce(d.state().ConfigVersion, d.nodes...)
	stop()
	d.verifyGuarantees()
}

// countAcceptedChanges returns the number of accepted configuration changes with
// offsets above after, up to and including upTo.
func (d *deployment) countAcceptedChanges(after, upTo uint64) (count int) {
	s := &folder.State{}
	for _, e := range d.logEntries() {
		r, err := folder.Decode(e.Data)
		if err != nil {
			d.t.Fatal(err)
		}
		next, outcome := s.Fold(e.Offset, r)
		if outcome == folder.OutcomeAccepted && r.IsConfigChange() && e.Offset > after && e.Offset <= upTo {
			count++
		}
		s = next
	}
	return count
}

func (d *deployment) logEntries() []journaler.Entry {
	d.t.Helper()
	page, err := d.logService.MemoryLog().Read(context.Background(), 1, 1<<20, 0)
	if err != nil {
		d.t.Fatal(err)
	}
	return page.Entries
}

// Nodes serve while the log is down for longer than the maximum age of their
// state, and a change published afterwards comes into force. A node that starts
// during the outage gets its state from the others.
func TestNodesServeDuringLogOutage(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	callers := startSlotCalls(d, 4)
	joining := d.prepareNode("slotboard-3", "slotboard", "ahmedabad", nil)
	stop := d.watchVersions()
	d.logService.SetOutage(emulator.OutageHang)
	outageStart := time.Now()
	d.recordEvent(recorder.EventFaultStart, "log")
	joining.start()
	wait := defaultMaxStateAge(t) + 3*time.Second
	d.waitUntil("the outage has lasted longer than the maximum state age", func() bool { return time.Since(outageStart) > wait })
	before := callers.countEnded()
	d.waitUntil("200 more calls have ended", func() bool { return callers.countEnded() >= before+200 })
	callers.mu.Lock()
	during := callers.calls[before:]
	callers.mu.Unlock()
	for _, c := range during {
		if !answered(c) {
			t.Errorf("during the outage: got outcome %s, reason %q, want an answer", c.Outcome, c.Reason)
		}
	}
	d.logService.SetOutage(emulator.OutageNone)
	d.recordEvent(recorder.EventFaultEnd, "log")
	d.waitReady()
	version := d.publish(manifestWith(customerA, customerB))
	d.waitInForce(version, d.nodes...)
	stop()
	callers.stopAndWait()
	if got := joining.send(call{customer: customerB, service: "slotboard", path: "/slots"}); !answered(got) {
		t.Errorf("through the node that started during the outage: got %+v, want an answer", got)
	}
	d.verifyGuarantees()
}

// A node that starts after the log has trimmed the record of the manifest reads
// the manifest from a snapshot.
func TestConfigurationOutlivesRetention(t *testing.T) {
	const retainedRecordCount = 40
	d := newStandardDeployment(t, customerA)
	version := d.state().ConfigVersion
	d.logService.SetRetention(retainedRecordCount)
	base := version
	d.waitUntil("the manifest's record is trimmed and a snapshot is retained", func() bool {
		r := folder.NewRecord(folder.KindServer)
		r.BaseVersion = base
		r.OutOfServiceChange = &folder.OutOfServiceChange{Name: "nobody", OutOfService: true}
		d.appendOverHTTP(r)
		oldest, hasSnapshot := d.retainedRecords()
		return oldest > version && hasSnapshot
	})
	replaced := d.nodes[1]
	replaced.kill()
	replaced.restart()
	d.waitUntil("the replaced node has the configuration in force", func() bool {
		return replaced.refreshStatus() && replaced.lastStatus().Ready && replaced.lastStatus().ConfigVersion >= version
	})
	if got := replaced.send(call{customer: customerA, service: "slotboard", path: "/slots"}); !answered(got) {
		t.Errorf("through the replaced node: got %+v, want an answer", got)
	}
}

// appendOverHTTP appends a record through the log service's HTTP interface,
// which, unlike append, trims the log.
func (d *deployment) appendOverHTTP(r folder.Record) {
	data, err := folder.Encode(r)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := journaler.NewHTTPLog(d.logURL).Append(context.Background(), data); err != nil {
		d.t.Fatal(err)
	}
}

// retainedRecords returns the offset of the oldest retained record, and whether
// a snapshot is among the retained records.
func (d *deployment) retainedRecords() (oldest uint64, hasSnapshot bool) {
	page, err := d.logService.MemoryLog().Read(context.Background(), 1, 1, 0)
	var trimmed *journaler.TrimmedError
	if errors.As(err, &trimmed) {
		page, err = d.logService.MemoryLog().Read(context.Background(), trimmed.OldestOffset, 1<<20, 0)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	for _, e := range page.Entries {
		if r, err := folder.Decode(e.Data); err == nil && r.Kind == folder.KindSnapshot {
			hasSnapshot = true
		}
	}
	return page.OldestOffset, hasSnapshot
}
