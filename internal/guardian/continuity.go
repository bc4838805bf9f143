package guardian

import (
	"time"
)

const (
	// minRestartTime is the least time in which a server ends and starts again.
	minRestartTime = 100 * time.Millisecond
	// maxCheckWait is how long calls wait for the health check of a server that may have
	// started anew.
	maxCheckWait = 250 * time.Millisecond
)

// verifyContinuity suspects a restart of the server if a call is the first after a silence and no
// connection is left that shows that the server has not started anew. While calls run, their
// connections break at a restart.
func (g *Guardian) verifyContinuity() {
	if !g.isFirstCall() || g.Backend.HasLiveConn() {
		return
	}
	// Another call that found the connection may have taken it in the meantime.
	if g.isFirstCall() {
		g.suspectRestart("no connection to it is left")
	}
}

// isFirstCall reports whether a call is the first after a silence that leaves time for a restart.
func (g *Guardian) isFirstCall() bool {
	return g.queue.isQuiet() && g.mayHaveRestarted()
}

// mayHaveRestarted reports whether the server needs a warm-up and has had the time for a restart
// since its last answer and its last heartbeat.
func (g *Guardian) mayHaveRestarted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	sinceHeartbeat := g.Clock.Now().Sub(g.server.heartbeatAt)
	return g.warmupRatePerSecond > 0 && min(sinceHeartbeat, g.Backend.SinceLastAnswer()) >= minRestartTime
}

// suspectRestart makes calls wait for a health check, as the server may have started anew and be
// cold. It does nothing for servers that need no warm-up.
func (g *Guardian) suspectRestart(cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.warmupRatePerSecond <= 0 || !g.server.SuspectRestart() {
		return
	}
	g.RestartSuspicions.Add(1)
	g.Logger.Infof("backend server %s may have started anew, health check required: %s", g.server.LastHeartbeat.ID, cause)
	g.applyState()
	time.AfterFunc(maxCheckWait, g.endCheckWait)
}

// endCheckWait lets calls run at the rate of a cold server if the health check has not ended.
func (g *Guardian) endCheckWait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server.AwaitsCheck() {
		g.server.LeaveRestartUnresolved()
		g.applyState()
	}
}
