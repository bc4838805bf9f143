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
	// addedRate is the number of calls a second for each node.
	addedRate = 360
	// warmCalls are made before any is measured.
	warmCalls = 200
)

// BenchmarkAddedTime compares calls by way of two nodes with direct calls to
// the same backend server, at 360 calls a second, and reports what the nodes
// add at the 50th and 99th percentile.
func BenchmarkAddedTime(b *testing.B) {
	f := newTestFleet(b, strings.Replace(testManifest(), `"rate": 1000, "burst": 1000`, `"rate": 100000, "burst": 100000`, 1))
	desk := f.add("bookdesk-1", "bookdesk", "ahmedabad")
	f.add("slotboard-1", "slotboard", "rajkot")
	f.ready()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	through := "http://" + desk.Settings().CallerAddress + "/slotboard/slots"
	direct := f.backends[1].URL() + "/slots"
	call := func(address string) time.Duration {
		r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, address, http.NoBody)
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		if address == direct {
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
	for range warmCalls {
		call(through)
		call(direct)
	}
	near := testing.AllocsPerRun(warmCalls, func() { call(direct) })
	far := testing.AllocsPerRun(warmCalls, func() { call(through) })
	var times [2][]time.Duration
	ticker := time.NewTicker(time.Second / addedRate)
	defer ticker.Stop()
	for b.Loop() {
		<-ticker.C
		times[0] = append(times[0], call(direct))
		times[1] = append(times[1], call(through))
	}
	b.ReportMetric(near, "direct-allocs")
	b.ReportMetric(far, "through-allocs")
	b.ReportMetric(0, "ns/op")
	for _, p := range []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		near, far := percentile(times[0], p.part), percentile(times[1], p.part)
		b.ReportMetric(float64(near.Microseconds()), "direct-"+p.name+"-us")
		b.ReportMetric(float64(far.Microseconds()), "through-"+p.name+"-us")
		b.ReportMetric(float64((far - near).Microseconds()), "added-"+p.name+"-us")
	}
}

func percentile(times []time.Duration, part float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(part*float64(len(times))))]
}
