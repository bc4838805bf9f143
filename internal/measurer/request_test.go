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
	requestsPerSecond = 360
	requestTime       = 10 * time.Second
)

// BenchmarkRequestCost measures what a request costs the ingress node and the
// node beside the backend server, each in a process of its own, at 360 requests
// per second.
func BenchmarkRequestCost(b *testing.B) {
	log := emulator.NewLogService()
	running, err := log.Start(anyAddress)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { running.Close() })
	publish(b, log, insertKeyDigest(requestManifest))
	backend, err := emulator.StartBackendServer(emulator.BackendConfig{
		Name: "guard", Service: "slotboard", Domain: "ahmedabad", Slots: 100, MedianServiceTime: time.Millisecond, StartWarm: true, Recorder: recorder.New(),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { backend.Close() })
	ingress := startNode(b, running.URL(), parser.Settings{Name: "ingress", Service: "bookdesk", Domain: "ahmedabad", BackendURL: "http://127.0.0.1:9"})
	guard := startNode(b, running.URL(), parser.Settings{Name: "guard", Service: "slotboard", Domain: "ahmedabad", BackendURL: backend.URL()})
	address := callerAddress(waitForMembers(b, log, 2), "ingress")
	sendRequests(b, address, requestsPerSecond, 2*time.Second)
	idle := readUsages(b, []int{ingress, guard})
	time.Sleep(requestTime)
	before := readUsages(b, []int{ingress, guard})
	served := sendRequests(b, address, requestsPerSecond, requestTime)
	after := readUsages(b, []int{ingress, guard})
	for i, name := range []string{"ingress", "guard"} {
		quiet := before[i].CPUTime - idle[i].CPUTime
		busy := after[i].CPUTime - before[i].CPUTime
		b.ReportMetric(float64((busy-quiet).Microseconds())/float64(served), name+"-us/request")
		b.ReportMetric(100*busy.Seconds()/requestTime.Seconds(), name+"-cpu%")
		b.ReportMetric(float64(after[i].ResidentBytes)/(1<<20), name+"-MB")
	}
	b.ReportMetric(float64(served)/requestTime.Seconds(), "requests/s")
	b.ReportMetric(0, "ns/op")
}

func callerAddress(members []folder.Member, name string) string {
	for _, m := range members {
		if m.Name == name {
			return m.CallerAddress
		}
	}
	return ""
}

// sendRequests sends rate requests per second for duration and returns how many
// were served.
func sendRequests(b *testing.B, address string, rate int, duration time.Duration) (served int) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: rate}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for range rate * int(duration/time.Second) {
		<-ticker.C
		group.Go(func() {
			if sendRequest(b.Context(), client, address) {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	group.Wait()
	if served == 0 {
		b.Fatal("got 0 requests served, want at least 1")
	}
	return served
}

func sendRequest(ctx context.Context, client *http.Client, address string) (served bool) {
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

func insertKeyDigest(text string) string {
	return strings.Replace(text, "%KEY%", authenticator.DigestKey(requestKey), 1)
}
