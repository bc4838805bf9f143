package measurer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	requestKey      = "key-of-the-requests"
	requestManifest = `{"services": [
  {"name": "slotboard", "routes": [{"path": "/", "idempotent": true}]},
  {"name": "bookdesk", "routes": [{"path": "/"}]}],
"customers": [{"name": "pond-a", "rate": 100000, "burst": 100000, "keys": ["%KEY%"]}]}`
	requestRate = 360
	requestSpan = 10 * time.Second
)

// BenchmarkRequests measures what a request costs the node at which it comes in
// and the node that guards its backend server, as processes of their own, at
// 360 requests a second.
func BenchmarkRequestCost(b *testing.B) {
	log := emulator.NewLogService()
	running, err := log.Start(anyAddress)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { running.Close() })
	publish(b, log, withKey(requestManifest))
	backend, err := emulator.StartBackendServer(emulator.BackendConfig{
		Name: "guard", Service: "slotboard", Domain: "ahmedabad", Slots: 100, MedianServiceTime: time.Millisecond, StartWarm: true, Recorder: recorder.New(),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { backend.Close() })
	ingress := startNode(b, running.URL(), parser.Settings{Name: "ingress", Service: "bookdesk", Domain: "ahmedabad", Backend: "http://127.0.0.1:9"})
	guard := startNode(b, running.URL(), parser.Settings{Name: "guard", Service: "slotboard", Domain: "ahmedabad", Backend: backend.URL()})
	address := callerOf(await(b, log, 2), "ingress")
	request(b, address, requestRate, 2*time.Second)
	idle := usages(b, []int{ingress, guard})
	time.Sleep(requestSpan)
	before := usages(b, []int{ingress, guard})
	served := request(b, address, requestRate, requestSpan)
	after := usages(b, []int{ingress, guard})
	for i, name := range []string{"ingress", "guard"} {
		quiet := before[i].CPUTime - idle[i].CPUTime
		busy := after[i].CPUTime - before[i].CPUTime
		b.ReportMetric(float64((busy-quiet).Microseconds())/float64(served), name+"-us/request")
		b.ReportMetric(100*busy.Seconds()/requestSpan.Seconds(), name+"-cpu%")
		b.ReportMetric(float64(after[i].ResidentBytes)/(1<<20), name+"-MB")
	}
	b.ReportMetric(float64(served)/requestSpan.Seconds(), "requests/s")
	b.ReportMetric(0, "ns/op")
}

func callerOf(members []folder.Member, name string) string {
	for _, m := range members {
		if m.Name == name {
			return m.Caller
		}
	}
	return ""
}

// request sends so many requests a second and returns how many were served.
func request(b *testing.B, address string, rate int, span time.Duration) (served int) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: rate}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for range rate * int(span/time.Second) {
		<-ticker.C
		group.Go(func() {
			if requestOne(b.Context(), client, address) {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	group.Wait()
	if served == 0 {
		b.Fatal("got no request served, want some")
	}
	return served
}

func requestOne(ctx context.Context, client *http.Client, address string) (served bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/slotboard/slots", http.NoBody)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+requestKey)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func withKey(text string) string {
	return strings.Replace(text, "%KEY%", authenticator.Digest(requestKey), 1)
}
