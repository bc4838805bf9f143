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
	// anyAddress keeps clear of the ports that other tests use up.
	anyAddress = "127.9.0.1:0"
	// asNode makes this program run as a node.
	asNode   = "FLAMINGOTACK_MEASURED_NODE"
	manifest = `{"services":[{"name":"slotboard","routes":[{"path":"/"}]}],"customers":[]}`
	settle   = 35 * time.Second
	span     = 20 * time.Second
)

func TestMain(m *testing.M) {
	if file := os.Getenv(asNode); file != "" {
		os.Exit(cmd.Node([]string{"flamingotackd", "--settings", file}))
	}
	os.Exit(m.Run())
}

func TestReadOwnUsage(t *testing.T) {
	got, err := ReadUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if got.ResidentBytes == 0 || got.IOCalls == 0 {
		t.Errorf("usage: got %+v, want memory and calls", got)
	}
}

// BenchmarkControl measures what real node processes use while no request
// comes. The last two have the failure domains of the size that the design is
// for, and as many of them.
func BenchmarkIdleNodes(b *testing.B) {
	sizes := []struct{ domains, nodes int }{
		{1, 4}, {1, 8}, {1, 16}, {1, 32},
		{3, 4}, {3, 8}, {3, 16}, {3, 32},
		{10, 40}, {2, 84},
	}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("domains=%d/nodes=%d", s.domains, s.nodes), func(b *testing.B) {
			measure(b, s.nodes, s.domains)
		})
	}
}

// BenchmarkOutage measures how old the proof of freshness gets on any of 32
// nodes while the log is down. It must stay below the bound of 8 s.
func BenchmarkLogOutage(b *testing.B) {
	for _, domains := range []int{1, 3, 8} {
		b.Run(fmt.Sprintf("domains=%d/nodes=32", domains), func(b *testing.B) {
			f := startFleet(b, 32, domains)
			time.Sleep(settle)
			f.log.SetOutage(emulator.OutageHang)
			var sum, most float64
			const samples = 30
			for range samples {
				time.Sleep(time.Second)
				for _, m := range f.members {
					age := proofAge(b, m.Admin)
					sum += age
					most = max(most, age)
				}
			}
			b.ReportMetric(sum/samples/float64(len(f.members)), "mean-age-s")
			b.ReportMetric(most, "most-age-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// fleet is a log service in this process and nodes in their own.
type fleet struct {
	log     *emulator.LogService
	pids    []int
	members []folder.Member
	joined  time.Duration
}

func startFleet(b *testing.B, nodes, domains int) *fleet {
	b.Helper()
	f := &fleet{log: emulator.NewLogService()}
	running, err := f.log.Start(anyAddress)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { running.Close() })
	publish(b, f.log, manifest)
	start := time.Now()
	for i := range nodes {
		f.pids = append(f.pids, startNode(b, running.URL(), parser.Settings{
			Name:    fmt.Sprint("node", i),
			Service: "slotboard",
			Domain:  fmt.Sprint("domain", i%domains),
			Backend: "http://127.0.0.1:9",
		}))
	}
	f.members = await(b, f.log, nodes)
	f.joined = time.Since(start)
	return f
}

// proofAge reads the age in seconds from a node's metrics.
func proofAge(b *testing.B, admin string) float64 {
	b.Helper()
	response, err := http.Get("http://" + admin + "/metrics")
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
				b.Fatalf("age of the proof at %s: got %q, want seconds", admin, value)
			}
			return age
		}
	}
	b.Fatalf("no age of the proof at %s", admin)
	return 0
}

func measure(b *testing.B, nodes, domains int) {
	f := startFleet(b, nodes, domains)
	log, pids := f.log, f.pids
	time.Sleep(settle)
	tail := log.MemoryLog().Tail()
	before := usages(b, pids)
	time.Sleep(span)
	after := usages(b, pids)
	var sum, most Usage
	for i := range pids {
		u := Usage{
			ReadBytes:     after[i].ReadBytes - before[i].ReadBytes,
			WrittenBytes:  after[i].WrittenBytes - before[i].WrittenBytes,
			IOCalls:       after[i].IOCalls - before[i].IOCalls,
			CPUTime:       after[i].CPUTime - before[i].CPUTime,
			ResidentBytes: after[i].ResidentBytes,
		}
		sum = Usage{sum.ReadBytes + u.ReadBytes, sum.WrittenBytes + u.WrittenBytes, sum.IOCalls + u.IOCalls, sum.CPUTime + u.CPUTime, sum.ResidentBytes + u.ResidentBytes}
		most = Usage{max(most.ReadBytes, u.ReadBytes), max(most.WrittenBytes, u.WrittenBytes), max(most.IOCalls, u.IOCalls), max(most.CPUTime, u.CPUTime), max(most.ResidentBytes, u.ResidentBytes)}
	}
	n := float64(nodes)
	b.ReportMetric(f.joined.Seconds(), "join-s")
	b.ReportMetric(float64(sum.ReadBytes+sum.WrittenBytes)/n/span.Seconds(), "mean-B/s")
	b.ReportMetric(float64(most.ReadBytes+most.WrittenBytes)/span.Seconds(), "most-B/s")
	b.ReportMetric(float64(sum.IOCalls)/n/span.Seconds(), "mean-calls/s")
	b.ReportMetric(100*sum.CPUTime.Seconds()/n/span.Seconds(), "mean-cpu%")
	b.ReportMetric(100*most.CPUTime.Seconds()/span.Seconds(), "most-cpu%")
	b.ReportMetric(float64(sum.ResidentBytes)/n/(1<<20), "mean-MB")
	b.ReportMetric(float64(most.ResidentBytes)/(1<<20), "most-MB")
	b.ReportMetric(float64(log.MemoryLog().Tail()-tail)/span.Seconds(), "appends/s")
	b.ReportMetric(0, "ns/op")
}

// await waits until the log holds so many members.
func await(b *testing.B, log *emulator.LogService, nodes int) []folder.Member {
	b.Helper()
	start := time.Now()
	var index publisher.Value[indexer.Index]
	t := &tailer.Tailer{Index: &index, Log: log.MemoryLog(), Logger: logger.New(io.Discard, "error", "benchmark"), Wait: 100 * time.Millisecond}
	go func() { _ = t.Run(b.Context()) }()
	for time.Since(start) < time.Minute {
		if len(t.State().Members) == nodes {
			return t.State().Members
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatalf("members: got %d, want %d", len(t.State().Members), nodes)
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

// startNode starts this program again as a node with these settings, whose
// addresses are filled in.
func startNode(b *testing.B, log string, settings parser.Settings) int {
	b.Helper()
	settings.Caller = anyAddress
	settings.Egress = anyAddress
	settings.Peer = anyAddress
	settings.Admin = anyAddress
	settings.Log = log
	settings.Level = "error"
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
	c.Env = append(os.Environ(), asNode+"="+file)
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c.Process.Pid
}

func usages(b *testing.B, pids []int) (list []Usage) {
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
