package gauger

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const usualTime = 60 * time.Millisecond

var epoch = time.Unix(1_000_000, 0)

func TestParseFigures(t *testing.T) {
	tests := []struct {
		text string
		want Figures
		ok   bool
	}{
		{"3,1,16", Figures{3, 1, 16, 0}, true},
		{"3,1,16,170", Figures{3, 1, 16, 170}, true},
		{" 3 , 1 ,\t16 , 170 ", Figures{3, 1, 16, 170}, true},
		{"0,0,1,100", Figures{0, 0, 1, 100}, true},
		{"", Figures{}, false},
		{"999999", Figures{}, false},
		{"-1", Figures{}, false},
		{"nan", Figures{}, false},
		{strings.Repeat("7", 40), Figures{}, false},
		{"3,1,16," + strings.Repeat("1", 40), Figures{}, false},
		{"3,1", Figures{}, false},
		{"3,1,16,100,2", Figures{}, false},
		{"3,1,16,", Figures{}, false},
		{"3,1,0,100", Figures{}, false},
		{"3,1,16,0", Figures{}, false},
		{"3,1,16,9", Figures{}, false},
		{"3,1,16,999999", Figures{}, false},
		{"3,1,16,-1", Figures{}, false},
		{"3,1,16,nan", Figures{}, false},
		{"3,1,16,1e2", Figures{}, false},
		{"3,1,16,100.0", Figures{}, false},
		{"3,1,16,+100", Figures{}, false},
		{"3,1,16,0x64", Figures{}, false},
		{"3;1;16;100", Figures{}, false},
		{"999999,1,16,100", Figures{}, false},
	}
	for _, tt := range tests {
		got, err := ParseFigures(tt.text)
		if got != tt.want || (err == nil) != tt.ok {
			t.Errorf("%q: got %+v, %v, want %+v, ok %t", tt.text, got, err, tt.want, tt.ok)
		}
	}
}

// TestMalformedFiguresAreCheap guards against a server whose malformed header costs its node more
// than a well-formed one with each answer: the text of the error is built only for a log line.
func TestMalformedFiguresAreCheap(t *testing.T) {
	for _, text := range []string{"nan", "3,1", "3,1,16,100,2", "3,1,0,100", strings.Repeat("7", 40)} {
		if got := testing.AllocsPerRun(100, func() { _, _ = ParseFigures(text) }); got > 1 {
			t.Errorf("%q: got %.0f allocations, want at most 1", text, got)
		}
	}
}

// TestFiguresError checks that the message names the value at fault and what was expected.
func TestFiguresError(t *testing.T) {
	tests := []struct{ text, want string }{
		{"nan", `figures "nan": figure 1 is "nan", want a decimal number from 0 to 100000`},
		{"3,1,0,100", `figures "3,1,0,100": figure 3 is "0", want a decimal number from 1 to 100000`},
		{"3,1,16,9", `figures "3,1,16,9": figure 4 is "9", want a decimal number from 10 to 5000`},
		{"3,1", `figures "3,1": 2 figures, want 3 or 4`},
		{"3,1,16,100,2", `figures "3,1,16,100,2": more than 4 figures`},
		{strings.Repeat("7", 90), `figures "` + strings.Repeat("7", 60) + `": figure 1 is "` + strings.Repeat("7", 60) + `", want a decimal number from 0 to 100000`},
	}
	for _, tt := range tests {
		if _, err := ParseFigures(tt.text); err == nil || err.Error() != tt.want {
			t.Errorf("%q: got error %v, want %s", tt.text, err, tt.want)
		}
	}
}

// FuzzFigures checks that figures are in range whatever the text is.
func FuzzFigures(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		got, err := ParseFigures(text)
		if err != nil {
			if got != (Figures{}) {
				t.Errorf("%q: got %+v with an error, want none", text, got)
			}
			return
		}
		if got.Slots < 1 || max(got.Running, got.Waiting, got.Slots) > maxFigure || got.WorkPercent != 0 && (got.WorkPercent < minWorkPercent || got.WorkPercent > maxWorkPercent) {
			t.Errorf("%q: got %+v, want figures in range", text, got)
		}
	})
}

// run simulates runs on a server that ends one every interval, up to the time end. factor
// returns the slowdown and reportedPercent returns the figure that the server reports.
func run(g *Gauger, random *rand.Rand, start, end, interval time.Duration, factor func(time.Duration) float64, reportedPercent func(time.Duration) int) {
	for at := start; at < end; at += interval {
		now := epoch.Add(at)
		g.Observe(now, Figures{Running: 1, Slots: 8, WorkPercent: reportedPercent(at)})
		work := usualTime.Seconds() * (0.5 + random.Float64()) * factor(at)
		g.RecordRun(now, "r", time.Duration(work*float64(time.Second)))
	}
}

func phases(at time.Duration) float64 {
	if at/(600*time.Millisecond)%3 == 0 {
		return 2
	}
	return 1
}

func always(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

func percentOf(factor func(time.Duration) float64) func(time.Duration) int {
	return func(at time.Duration) int { return int(math.Round(100 * factor(at))) }
}

func constant(percent int) func(time.Duration) int {
	return func(time.Duration) int { return percent }
}

// TestJudgement guards against figures that do not agree with measured run times: they lose
// their weight, and the corrected figure is near the measured one. The learned time is that of
// the server itself.
func TestJudgement(t *testing.T) {
	tests := []struct {
		name            string
		factor          func(time.Duration) float64
		reportedPercent func(time.Duration) int
		want            Judgement
		// least and most bound the corrected figure times the learned time, relative to
		// the true time of a run.
		least, most float64
	}{
		{"true and steady", always(1), constant(100), JudgementAgrees, 0.9, 1.1},
		{"true phases", phases, percentOf(phases), JudgementAgrees, 0.85, 1.15},
		{"says 70, takes 300", always(3), constant(70), JudgementFrozen, 0.6, 1.4},
		{"says 70 to 80, takes 300", always(3), func(at time.Duration) int { return 70 + int(at/time.Millisecond)/20%10 }, JudgementFalse, 0.6, 1.4},
		{"frozen at 250", always(1), constant(250), JudgementFrozen, 0.6, 1.4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g Gauger
			random := rand.New(rand.NewPCG(1, 2))
			const interval, learned, tested = 5 * time.Millisecond, 10 * time.Second, 13 * time.Second
			run(&g, random, 0, learned, interval, phases, percentOf(phases))
			run(&g, random, learned, tested, interval, tt.factor, tt.reportedPercent)
			now := epoch.Add(tested - interval)
			if got := g.Judge(now); got != tt.want {
				t.Errorf("got judgement %d, want %d", got, tt.want)
			}
			e := g.Estimate(now)
			truth := tt.factor(tested-interval) * usualTime.Seconds()
			if got := e.OwnTime.Seconds() * float64(e.WorkPercent) / 100 / truth; got < tt.least || got > tt.most {
				t.Errorf("got %s at %d %%, %.2f of the true time, want %.2f to %.2f", e.OwnTime, e.WorkPercent, got, tt.least, tt.most)
			}
		})
	}
}

// TestServerBecomesTrustworthyAgain guards against a figure that stays rejected once it
// agrees again.
func TestServerBecomesTrustworthyAgain(t *testing.T) {
	var g Gauger
	random := rand.New(rand.NewPCG(1, 2))
	const interval = 5 * time.Millisecond
	run(&g, random, 0, 10*time.Second, interval, phases, percentOf(phases))
	run(&g, random, 10*time.Second, 13*time.Second, interval, always(3), constant(70))
	run(&g, random, 13*time.Second, 33*time.Second, interval, phases, percentOf(phases))
	if got := g.Judge(epoch.Add(33 * time.Second)); got != JudgementAgrees {
		t.Errorf("got judgement %d, want %d", got, JudgementAgrees)
	}
}

// TestMissingFigureChangesNothing checks that three figures keep the last work figure, which
// ages, and that a server without the fourth one has no estimate.
func TestMissingFigureChangesNothing(t *testing.T) {
	var g Gauger
	g.Observe(epoch, Figures{Running: 1, Waiting: 2, Slots: 8})
	g.RecordRun(epoch, "r", usualTime)
	if got := g.Estimate(epoch); got != (Estimate{}) {
		t.Errorf("got %+v without a work figure, want none", got)
	}
	g.Observe(epoch, Figures{Slots: 8, WorkPercent: 180})
	g.Observe(epoch.Add(time.Second), Figures{Waiting: 3, Slots: 8})
	if got := g.Estimate(epoch.Add(time.Second)); got.WorkPercent != 180 || got.Age != time.Second {
		t.Errorf("got %+v, want work 180 %% of age 1s", got)
	}
}

// TestMeasuredLevelAges guards against a server that is avoided for as long as it gets no runs,
// because its last ones took longer than it reported: without new runs, the estimate returns to
// the reported figure.
func TestMeasuredLevelAges(t *testing.T) {
	for _, interval := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond} {
		var g Gauger
		random := rand.New(rand.NewPCG(1, 2))
		run(&g, random, 0, 4*time.Second, interval, always(1), constant(100))
		run(&g, random, 4*time.Second, 6*time.Second, interval, always(3), constant(100))
		now := epoch.Add(6 * time.Second)
		if got := g.Estimate(now).WorkPercent; got < 150 {
			t.Errorf("a run every %s: got %d %% after slow runs, want at least 150 %%", interval, got)
		}
		now = now.Add(5 * time.Second)
		g.Observe(now, Figures{Running: 1, Slots: 8, WorkPercent: 100})
		if got := g.Estimate(now); got.WorkPercent != 100 || got.Age != 0 || g.Judge(now) != JudgementAgrees {
			t.Errorf("a run every %s: got %+v, judgement %d 5 s after the last run, want 100 %% that agree", interval, got, g.Judge(now))
		}
	}
}

func BenchmarkParseFigures(b *testing.B) {
	for _, text := range []string{"3,1,8,170", "nan"} {
		b.Run(text, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = ParseFigures(text)
			}
		})
	}
}
