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

// BenchmarkConfigPropagation measures the time from when the log accepts a
// change until it is in force on the last of 13 nodes in this process, also
// while the log answers slowly.
func BenchmarkConfigPropagation(b *testing.B) {
	for _, latency := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		b.Run(fmt.Sprintf("latency=%s", latency), func(b *testing.B) {
			c := newTestCluster(b, testManifest())
			for i := range benchNodes {
				c.add(fmt.Sprint("slotboard-", i), "slotboard", fmt.Sprint("domain", i%3))
			}
			c.awaitMembership()
			c.log.SetLatency(latency)
			time.Sleep(2 * latency)
			var sum, most time.Duration
			for i := range benchChanges {
				took := measurePropagation(b, c, i%2 == 0)
				sum += took
				most = max(most, took)
			}
			c.log.SetLatency(0)
			b.ReportMetric(float64((sum / benchChanges).Milliseconds()), "mean-ms")
			b.ReportMetric(float64(most.Milliseconds()), "most-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measurePropagation appends a change to the log, bypassing its latency, and
// waits until it is in force on all nodes.
func measurePropagation(b *testing.B, c *testCluster, out bool) time.Duration {
	b.Helper()
	record := folder.NewRecord(folder.KindDomain)
	record.BaseVersion = c.nodes[0].configVersion()
	record.OutOfServiceChange = &folder.OutOfServiceChange{Name: "elsewhere", OutOfService: out}
	data, err := folder.Encode(record)
	if err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	offset, err := c.log.MemoryLog().Append(b.Context(), data)
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range c.nodes {
		for n.configVersion() < offset {
			if time.Since(start) > testTimeout {
				b.Fatalf("%s has version %d after %s, want %d", n.self.Name, n.configVersion(), testTimeout, offset)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}
