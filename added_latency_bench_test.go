package flamingotack

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// callsPerSecond is the call rate of each node.
	callsPerSecond = 360
	// warmupCalls are made before any call is measured.
	warmupCalls = 200
)

// BenchmarkAddedLatency compares calls through two nodes with direct calls to
// the same backend server, at 360 calls per second, and reports the latency
// that the nodes add at the 50th and 99th percentile.
func BenchmarkAddedLatency(b *testing.B) {
	c := newTestCluster(b, strings.Replace(testManifest(), `"rate": 1000, "burst": 1000`, `"rate": 100000, "burst": 100000`, 1))
	desk := c.add("bookdesk-1", "bookdesk", "ahmedabad")
	c.add("slotboard-1", "slotboard", "rajkot")
	c.awaitMembership()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	throughURL := "http://" + desk.Settings().CallerAddress + "/slotboard/slots"
	directURL := c.backends[1].URL() + "/slots"
	call := func(address string) time.Duration {
		r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, address, http.NoBody)
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		if address == directURL {
			r.Header.Del("Authorization")
		}
		start := time.Now()
		response, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		took := time.Since(start)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatalf("got status %d, error %v", response.StatusCode, err)
		}
		return took
	}
	for range warmupCalls {
		call(throughURL)
		call(directURL)
	}
	direct := testing.AllocsPerRun(warmupCalls, func() { call(directURL) })
	through := testing.AllocsPerRun(warmupCalls, func() { call(throughURL) })
	var times [2][]time.Duration
	ticker := time.NewTicker(time.Second / callsPerSecond)
	defer ticker.Stop()
	for b.Loop() {
		<-ticker.C
		times[0] = append(times[0], call(directURL))
		times[1] = append(times[1], call(throughURL))
	}
	b.ReportMetric(direct, "direct-allocs")
	b.ReportMetric(through, "through-allocs")
	b.ReportMetric(0, "ns/op")
	for _, p := range []struct {
		name     string
		fraction float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		direct, through := percentile(times[0], p.fraction), percentile(times[1], p.fraction)
		b.ReportMetric(float64(direct.Microseconds()), "direct-"+p.name+"-us")
		b.ReportMetric(float64(through.Microseconds()), "through-"+p.name+"-us")
		b.ReportMetric(float64((through - direct).Microseconds()), "added-"+p.name+"-us")
	}
}

func percentile(times []time.Duration, fraction float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(fraction*float64(len(times))))]
}
