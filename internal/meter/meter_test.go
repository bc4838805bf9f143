package meter

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/seeder"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

func TestCounterMatchesListOfEvents(t *testing.T) {
	steps := [len(Windows)]time.Duration{10 * time.Second, time.Minute, time.Minute, 10 * time.Minute, time.Hour}
	rapid.Check(t, func(t *rapid.T) {
		c := newWindowCounter()
		var (
			at     time.Duration
			events []time.Duration
		)
		key := SeriesKey{Service: "slotboard", Outcome: OutcomeGood}
		pause := rapid.OneOf(
			rapid.Int64Range(0, int64(time.Minute)),
			rapid.Int64Range(0, int64(30*time.Hour)),
		)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			at += time.Duration(pause.Draw(t, "pause"))
			c.add(at, key)
			events = append(events, at)
		}
		at += time.Duration(pause.Draw(t, "last pause"))
		got := c.allSeries(at)[0].Counts
		for i, w := range Windows {
			oldest := at/steps[i] - time.Duration(w)/steps[i] + 1
			var want uint64
			for _, e := range events {
				if e/steps[i] >= oldest {
					want++
				}
			}
			if got[i] != want {
				t.Errorf("window %s at %s: got %d, want %d", time.Duration(w), at, got[i], want)
			}
		}
	})
}

func TestObserve(t *testing.T) {
	rate := exchanger.NotRun(429, exchanger.ReasonRate, "over its rate")
	tests := []struct {
		name   string
		sample Sample
		want   Outcome
	}{
		{"within the objective", Sample{Status: 200, Elapsed: time.Second, LatencyObjective: time.Second}, OutcomeGood},
		{"above the objective", Sample{Status: 200, Elapsed: 2 * time.Second, LatencyObjective: time.Second}, OutcomeSlow},
		{"without an objective", Sample{Status: 404, Elapsed: time.Hour}, OutcomeGood},
		{"error of the backend server", Sample{Status: 503}, OutcomeError},
		{"refused", Sample{Status: 429, Refusal: rate}, Outcome(exchanger.ReasonRate)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, err := New(timekeeper.NewManualClock(time.Unix(1000, 0)))
			if err != nil {
				t.Fatal(err)
			}
			tt.sample.Service, tt.sample.Root = "slotboard", true
			m.Observe(tt.sample)
			tt.sample.Root = false
			m.Observe(tt.sample)
			series := m.Counts().Series
			if len(series) != 1 || series[0].Outcome != tt.want || series[0].Counts[0] != 1 {
				t.Errorf("got series %+v, want one with 1 request and outcome %s", series, tt.want)
			}
			recorder := httptest.NewRecorder()
			m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			page, _ := io.ReadAll(recorder.Body)
			if want := `outcome="` + string(tt.want) + `"`; !strings.Contains(string(page), want) {
				t.Errorf("metrics: got no line that contains %s, want one", want)
			}
		})
	}
}

func TestArrivals(t *testing.T) {
	clock := timekeeper.NewManualClock(time.Unix(10_000, 0))
	m, err := New(clock)
	if err != nil {
		t.Fatal(err)
	}
	refusal := exchanger.NotRun(429, exchanger.ReasonRate, "over its rate")
	for _, r := range []*exchanger.Refusal{nil, nil, refusal} {
		m.Observe(Sample{Service: "slotboard", Customer: "kutch", Root: true, Refusal: r, Status: 200})
	}
	tests := []struct {
		name              string
		later             time.Duration
		requests, refused uint32
	}{
		{"current second", 0, 0, 0},
		{"complete second", time.Second, 3, 1},
		{"last second in the ring", 298 * time.Second, 3, 1},
		{"second no longer in the ring", time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock.Advance(tt.later)
			var requests, refused uint32
			a := m.Arrivals("kutch")
			for i := range a.Requests {
				requests += a.Requests[i]
				refused += a.Refused[i]
			}
			if requests != tt.requests || refused != tt.refused {
				t.Errorf("got %d requests and %d refused, want %d and %d", requests, refused, tt.requests, tt.refused)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	m, err := New(timekeeper.SystemClock{})
	if err != nil {
		b.Fatal(err)
	}
	s := Sample{Service: "slotboard", Customer: "kutch", Root: true, Status: 200, Elapsed: time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		m.Observe(s)
	}
}

// BenchmarkCounts measures the size of the counts that a node with all services
// of the target deployment sends for the burn rate report.
func BenchmarkCounts(b *testing.B) {
	const services = 11
	for _, customers := range []int{8, 200} {
		b.Run(fmt.Sprintf("%d customers", customers), func(b *testing.B) {
			clock := timekeeper.NewManualClock(time.Unix(1000, 0))
			m, err := New(clock)
			if err != nil {
				b.Fatal(err)
			}
			for i := range 100 * services * customers {
				outcome := [...]Outcome{OutcomeGood, OutcomeGood, OutcomeSlow, "overload"}[i%7%4]
				m.count(SeriesKey{
					Service:  fmt.Sprintf("service-%d", i%services),
					Customer: fmt.Sprintf("customer-%d", i/services%customers),
					Outcome:  outcome,
				})
			}
			var plain, packed int
			for b.Loop() {
				data, err := json.Marshal(m.Counts())
				if err != nil {
					b.Fatal(err)
				}
				var z bytes.Buffer
				w := gzip.NewWriter(&z)
				_, _ = w.Write(data)
				_ = w.Close()
				plain, packed = len(data), z.Len()
			}
			b.ReportMetric(float64(plain), "B/plain")
			b.ReportMetric(float64(packed), "B/gzip")
		})
	}
}
