package flamingotack

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
)

const (
	benchNodes   = 13
	benchChanges = 10
)

// BenchmarkInForce measures the time from when the log takes a change to when
// it is in force on the last of 13 nodes in this process, also while the log
// answers slowly.
func BenchmarkInForce(b *testing.B) {
	for _, latency := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		b.Run(fmt.Sprintf("latency=%s", latency), func(b *testing.B) {
			f := newTestFleet(b, testManifest())
			for i := range benchNodes {
				f.add(fmt.Sprint("slotboard-", i), "slotboard", fmt.Sprint("domain", i%3))
			}
			f.ready()
			f.log.SetLatency(latency)
			time.Sleep(2 * latency)
			var sum, most time.Duration
			for i := range benchChanges {
				took := inForce(b, f, i%2 == 0)
				sum += took
				most = max(most, took)
			}
			f.log.SetLatency(0)
			b.ReportMetric(float64((sum / benchChanges).Milliseconds()), "mean-ms")
			b.ReportMetric(float64(most.Milliseconds()), "most-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// inForce adds a change to the log, past its latency, and waits for all nodes.
func inForce(b *testing.B, f *testFleet, out bool) time.Duration {
	b.Helper()
	record := folder.NewRecord(folder.KindDomain)
	record.Base = f.nodes[0].version()
	record.Outage = &folder.Outage{Name: "elsewhere", Out: out}
	data, err := folder.Encode(record)
	if err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	offset, err := f.log.MemoryLog().Append(b.Context(), data)
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range f.nodes {
		for n.version() < offset {
			if time.Since(start) > testTimeout {
				b.Fatalf("%s has version %d after %s, want %d", n.self.Name, n.version(), testTimeout, offset)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}
