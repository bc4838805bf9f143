package guardian

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/internal/attributor"
	"github.com/flamingotack/flamingotack/internal/gauger"
	"github.com/flamingotack/flamingotack/internal/invoker"
)

const (
	// speedLogInterval is the least time between two log lines about malformed figures and
	// between two about false ones.
	speedLogInterval = 10 * time.Second
	// loadPollInterval is the period in which the age of the work figure is checked, and
	// minPollAge the age from which it is polled. Slow phases of an instance last about
	// 600 ms, so an older figure says little.
	loadPollInterval = 250 * time.Millisecond
	minPollAge       = time.Second
)

// speedMonitor keeps what the backend server reports about its load and what its runs show
// about its speed. It is safe for concurrent use.
type speedMonitor struct {
	// malformed and rejected count the reports that could not be parsed and the times
	// at which reports ceased to agree with measured run times.
	malformed, rejected atomic.Int64
	// polls counts the health checks that were sent for the load alone.
	polls atomic.Int64

	mu     sync.Mutex
	gauger gauger.Gauger
	// judgement is the last judgement of the work figure.
	judgement gauger.Judgement
	// polledAt is the time of the last poll.
	polledAt time.Time
	// malformedLoggedAt and judgementLoggedAt are the times of the last log lines.
	malformedLoggedAt, judgementLoggedAt time.Time
}

// MalformedLoads returns the number of answers whose load figures could not be parsed.
func (g *Guardian) MalformedLoads() int64 {
	return g.speed.malformed.Load()
}

// RejectedLoads returns how often the work figure of the server ceased to agree with
// measured run times.
func (g *Guardian) RejectedLoads() int64 {
	return g.speed.rejected.Load()
}

// WorkPercent returns the corrected time that work takes on the instance, in percent of the
// usual time; 0 if the server does not report it.
func (g *Guardian) WorkPercent() int64 {
	g.speed.mu.Lock()
	defer g.speed.mu.Unlock()
	return int64(g.speed.gauger.Estimate(g.Clock.Now()).WorkPercent)
}

// LoadPolls returns the number of health checks that were sent for the load alone.
func (g *Guardian) LoadPolls() int64 {
	return g.speed.polls.Load()
}

// pollLoads polls the load of the server where answers are rare, until ctx ends. It has its own
// goroutine, as a poll without an answer lasts up to healthCheckTimeout, in which a health check
// may become necessary.
func (g *Guardian) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pollLoadIfStale(ctx)
		}
	}
}

// pollLoadIfStale requests the health path if the server reports its work figure, the figure
// is older than minPollAge and calls wait, run or are offered. Health checks cost a server
// work, so it sends at most one in minPollAge, and none while the server is cold.
func (g *Guardian) pollLoadIfStale(ctx context.Context) {
	service := g.Table().Service(g.Service)
	if service == nil || g.queue.isCold() || !g.queue.busy() || !g.loadStale() {
		return
	}
	g.speed.polls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	sentAt := g.Clock.Now()
	response, err := g.Backend.Send(ctx, &invoker.Request{Method: http.MethodGet, Target: service.HealthPath, Host: g.Backend.Address})
	if err != nil || response.Header.Get(g.HeaderNames.Instance) != g.instanceID() {
		return
	}
	g.observeServerLoad(response)
	if warmup, err := parseWarmup(response.Header.Get(g.HeaderNames.Warmup)); err == nil && warmup > 0 {
		g.applyPolledWarmup(sentAt, warmup)
	}
}

// applyPolledWarmup applies the warm-up of a server that has turned cold unnoticed.
func (g *Guardian) applyPolledWarmup(sentAt time.Time, warmup time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server.ConfirmWarmup(sentAt, g.Clock.Now(), g.server.LastHeartbeat.ID, warmup)
	g.applyState()
}

// loadStale reports whether the work figure is due to be polled, and notes the time of the
// poll if it is.
func (g *Guardian) loadStale() bool {
	now := g.Clock.Now()
	s := &g.speed
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.gauger.Estimate(now)
	if e.WorkPercent == 0 || e.Age < minPollAge || now.Sub(s.polledAt) < minPollAge {
		return false
	}
	s.polledAt = now
	return true
}

// observeServerLoad records the load that a response of the backend server reports. An answer
// from another server at the address does not count, whether it names itself or refuses the
// request as misdirected.
func (g *Guardian) observeServerLoad(r *invoker.Response) {
	text := r.Header.Get(g.HeaderNames.ServerLoad)
	if text == "" || r.Status == http.StatusMisdirectedRequest {
		return
	}
	if id := r.Header.Get(g.HeaderNames.Instance); id != "" && id != g.instanceID() {
		return
	}
	figures, err := gauger.ParseFigures(text)
	now := g.Clock.Now()
	s := &g.speed
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.gauger.Observe(now, figures)
		return
	}
	s.malformed.Add(1)
	if now.Sub(s.malformedLoggedAt) >= speedLogInterval {
		s.malformedLoggedAt = now
		g.Logger.Warnf("load of the backend server ignored, %d malformed so far: %v", s.malformed.Load(), err)
	}
}

// recordSpeed records the own time of a run that completed. Runs on a cold server say nothing
// of its speed once it is warm.
func (g *Guardian) recordSpeed(s *attributor.Summary) {
	if !s.Completed || g.queue.isCold() {
		return
	}
	m := &g.speed
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauger.RecordRun(s.EndedAt, s.Route, s.OwnTime)
	judgement := m.gauger.Judge(s.EndedAt)
	if judgement == m.judgement {
		return
	}
	if m.judgement == gauger.JudgementAgrees {
		m.rejected.Add(1)
	}
	m.judgement = judgement
	if s.EndedAt.Sub(m.judgementLoggedAt) < speedLogInterval {
		return
	}
	m.judgementLoggedAt = s.EndedAt
	reported, measured := m.gauger.ReportedPercent(), m.gauger.MeasuredPercent()
	switch judgement {
	case gauger.JudgementAgrees:
		g.Logger.Infof("work figure of the backend server accepted again: reported %d %%, measured %d %%", reported, measured)
	case gauger.JudgementFrozen:
		g.Logger.Warnf("work figure of the backend server rejected as frozen: reported %d %%, measured %d %%", reported, measured)
	case gauger.JudgementFalse:
		g.Logger.Warnf("work figure of the backend server rejected as false: reported %d %%, measured %d %%", reported, measured)
	}
}

// fillSpeed sets the fields of report that describe the speed of the server.
func (g *Guardian) fillSpeed(report *LoadReport) {
	g.speed.mu.Lock()
	defer g.speed.mu.Unlock()
	e := g.speed.gauger.Estimate(g.Clock.Now())
	report.WorkPercent, report.WorkAge, report.OwnTime = e.WorkPercent, e.Age, e.OwnTime
}

// restartSpeed forgets the speed of a former incarnation.
func (g *Guardian) restartSpeed() {
	g.speed.mu.Lock()
	defer g.speed.mu.Unlock()
	g.speed.gauger.Restart()
	g.speed.judgement = gauger.JudgementAgrees
}
