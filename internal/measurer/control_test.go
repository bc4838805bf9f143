package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/cmd"
	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/publisher"
	"github.com/flamingotack/flamingotack/internal/tailer"
)

const (
	// anyAddress has a loopback address of its own, because other tests use up
	// the ports of the usual one.
	anyAddress = "127.9.0.1:0"
	// nodeSettingsEnvVar makes the test binary run as a node with the settings
	// file that it names.
	nodeSettingsEnvVar = "FLAMINGOTACK_MEASURED_NODE"
	manifest           = `{"services":[{"name":"slotboard","routes":[{"path":"/"}]}],"customers":[]}`
	settleTime         = 35 * time.Second
	measuringTime      = 20 * time.Second
)

func TestMain(m *testing.M) {
	if file := os.Getenv(nodeSettingsEnvVar); file != "" {
		os.Exit(cmd.ExecuteNode([]string{"flamingotackd", "--settings", file}))
	}
	os.Exit(m.Run())
}

func TestReadOwnUsage(t *testing.T) {
	got, err := ReadUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if got.ResidentBytes == 0 || got.IOCalls == 0 {
		t.Errorf("got usage %+v, want resident memory and I/O calls above 0", got)
	}
}

// BenchmarkIdleNodes measures the resource usage of node processes without
// requests. The last two sizes have the number and the size of failure domains
// that the design targets.
func BenchmarkIdleNodes(b *testing.B) {
	sizes := []struct{ domains, nodes int }{
		{1, 4}, {1, 8}, {1, 16}, {1, 32},
		{3, 4}, {3, 8}, {3, 16}, {3, 32},
		{10, 40}, {2, 84},
	}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("domains=%d/nodes=%d", s.domains, s.nodes), func(b *testing.B) {
			measureIdleNodes(b, s.nodes, s.domains)
		})
	}
}

// BenchmarkLogOutage measures the age of the freshness proof on each of 32 nodes
// while the log is down. The age must stay below 8 s.
func BenchmarkLogOutage(b *testing.B) {
	for _, domains := range []int{1, 3, 8} {
		b.Run(fmt.Sprintf("domains=%d/nodes=32", domains), func(b *testing.B) {
			d := startDeployment(b, 32, domains)
			time.Sleep(settleTime)
			d.logService.SetOutage(emulator.OutageHang)
			var sum, peak float64
			const samples = 30
			for range samples {
				time.Sleep(time.Second)
				for _, m := range d.members {
					age := proofAge(b, m.AdminAddress)
					sum += age
					peak = max(peak, age)
				}
			}
			b.ReportMetric(sum/samples/float64(len(d.members)), "mean-age-s")
			b.ReportMetric(peak, "most-age-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// deployment is a log service in this process and nodes in processes of their own.
type deployment struct {
	logService   *emulator.LogService
	pids         []int
	members      []folder.Member
	joinDuration time.Duration
}

func startDeployment(b *testing.B, nodes, domains int) *deployment {
	b.Helper()
	d := &deployment{logService: emulator.NewLogService()}
	running, err := d.logService.Start(anyAddress)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { running.Close() })
	publish(b, d.logService, manifest)
	start := time.Now()
	for i := range nodes {
		d.pids = append(d.pids, startNode(b, running.URL(), parser.Settings{
			Name:       fmt.Sprint("node", i),
			Service:    "slotboard",
			Domain:     fmt.Sprint("domain", i%domains),
			BackendURL: "http://127.0.0.1:9",
		}))
	}
	d.members = waitForMembers(b, d.logService, nodes)
	d.joinDuration = time.Since(start)
	return d
}

// proofAge reads the age of the freshness proof from a node's metrics, in
// seconds.
func proofAge(b *testing.B, adminAddress string) float64 {
	b.Helper()
	response, err := http.Get("http://" + adminAddress + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "} ")
		if strings.HasPrefix(name, "flamingotack_proof_age_seconds") {
			age, err := strconv.ParseFloat(value, 64)
			if err != nil || age < 0 {
				b.Fatalf("proof age at %s: got %q, want a number of seconds", adminAddress, value)
			}
			return age
		}
	}
	b.Fatalf("got no proof age at %s, want one", adminAddress)
	return 0
}

func measureIdleNodes(b *testing.B, nodes, domains int) {
	d := startDeployment(b, nodes, domains)
	log, pids := d.logService, d.pids
	time.Sleep(settleTime)
	tail := log.MemoryLog().Tail()
	before := readUsages(b, pids)
	time.Sleep(measuringTime)
	after := readUsages(b, pids)
	var sum, peak Usage
	for i := range pids {
		u := Usage{
			ReadBytes:     after[i].ReadBytes - before[i].ReadBytes,
			WrittenBytes:  after[i].WrittenBytes - before[i].WrittenBytes,
			IOCalls:       after[i].IOCalls - before[i].IOCalls,
			CPUTime:       after[i].CPUTime - before[i].CPUTime,
			ResidentBytes: after[i].ResidentBytes,
		}
		sum = Usage{sum.ReadBytes + u.ReadBytes, sum.WrittenBytes + u.WrittenBytes, sum.IOCalls + u.IOCalls, sum.CPUTime + u.CPUTime, sum.ResidentBytes + u.ResidentBytes}
		peak = Usage{max(peak.ReadBytes, u.ReadBytes), max(peak.WrittenBytes, u.WrittenBytes), max(peak.IOCalls, u.IOCalls), max(peak.CPUTime, u.CPUTime), max(peak.ResidentBytes, u.ResidentBytes)}
	}
	n := float64(nodes)
	b.ReportMetric(d.joinDuration.Seconds(), "join-s")
	b.ReportMetric(float64(sum.ReadBytes+sum.WrittenBytes)/n/measuringTime.Seconds(), "mean-B/s")
	b.ReportMetric(float64(peak.ReadBytes+peak.WrittenBytes)/measuringTime.Seconds(), "most-B/s")
	b.ReportMetric(float64(sum.IOCalls)/n/measuringTime.Seconds(), "mean-calls/s")
	b.ReportMetric(100*sum.CPUTime.Seconds()/n/measuringTime.Seconds(), "mean-cpu%")
	b.ReportMetric(100*peak.CPUTime.Seconds()/measuringTime.Seconds(), "most-cpu%")
	b.ReportMetric(float64(sum.ResidentBytes)/n/(1<<20), "mean-MB")
	b.ReportMetric(float64(peak.ResidentBytes)/(1<<20), "most-MB")
	b.ReportMetric(float64(log.MemoryLog().Tail()-tail)/measuringTime.Seconds(), "appends/s")
	b.ReportMetric(0, "ns/op")
}

// waitForMembers waits until the log contains the members of all nodes.
func waitForMembers(b *testing.B, log *emulator.LogService, nodes int) []folder.Member {
	b.Helper()
	start := time.Now()
	var index publisher.Value[indexer.Index]
	t := &tailer.Tailer{Index: &index, Log: log.MemoryLog(), Logger: logger.New(io.Discard, "error", "benchmark"), LongPollWait: 100 * time.Millisecond}
	go func() { _ = t.Run(b.Context()) }()
	for time.Since(start) < time.Minute {
		if len(t.State().Members) == nodes {
			return t.State().Members
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatalf("got %d members after 1 minute, want %d", len(t.State().Members), nodes)
	return nil
}

func publish(b *testing.B, log *emulator.LogService, text string) {
	b.Helper()
	m, err := parser.ParseManifest("manifest", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	record := folder.NewRecord(folder.KindManifest)
	record.Manifest = m
	data, err := folder.Encode(record)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := log.MemoryLog().Append(b.Context(), data); err != nil {
		b.Fatal(err)
	}
}

// startNode starts the test binary as a node with the given settings and returns
// its process id. It fills in the addresses.
func startNode(b *testing.B, logURL string, settings parser.Settings) int {
	b.Helper()
	settings.CallerAddress = anyAddress
	settings.EgressAddress = anyAddress
	settings.PeerAddress = anyAddress
	settings.AdminAddress = anyAddress
	settings.LogURL = logURL
	settings.LogLevel = "error"
	data, err := json.Marshal(settings)
	if err != nil {
		b.Fatal(err)
	}
	file := filepath.Join(b.TempDir(), settings.Name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		b.Fatal(err)
	}
	output, err := os.Create(file + ".log")
	if err != nil {
		b.Fatal(err)
	}
	defer output.Close()
	c := exec.CommandContext(b.Context(), os.Args[0])
	c.Stdout, c.Stderr = output, output
	c.Env = append(os.Environ(), nodeSettingsEnvVar+"="+file)
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c.Process.Pid
}

func readUsages(b *testing.B, pids []int) (list []Usage) {
	b.Helper()
	for _, pid := range pids {
		u, err := ReadUsage(pid)
		if err != nil {
			b.Fatal(err)
		}
		list = append(list, u)
	}
	return list
}
