package flamingotack

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/relayer"
	"github.com/flamingotack/flamingotack/internal/suspecter"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// crashCheckDuration is how long a backend server is watched after a
	// connection to it broke.
	crashCheckDuration = 150 * time.Millisecond
	// crashCheckInterval is the time between two health requests of a crash
	// check.
	crashCheckInterval = 25 * time.Millisecond
	// suspectPollInterval is the time between two attempts to start a suspect
	// request while another one runs.
	suspectPollInterval = 5 * time.Millisecond
	// suspectMaxWait bounds the time that a suspect request waits to start.
	suspectMaxWait = 250 * time.Millisecond
	// maxParallelNotifications is the number of nodes that are notified at the
	// same time.
	maxParallelNotifications = 8
	// briefNotifyTimeout bounds how long the caller of a request with a broken
	// connection waits for the notifications. notifyTimeout bounds a single one.
	briefNotifyTimeout = 50 * time.Millisecond
	notifyTimeout      = time.Second
)

// crashSuspects keeps requests that crash backend servers away from this one,
// and shares them with the other nodes of the service.
type crashSuspects struct {
	node *Node

	mu           sync.Mutex
	crashTracker suspecter.CrashTracker
	// inFlight is the number of requests in flight. completed and
	// brokenConnections count the requests that ended since the crash check
	// started.
	inFlight, completed, brokenConnections int
	// checking is set while a crash check runs. crashChecks counts the crash
	// checks; the number is part of the ID of the backend server's incarnation.
	checking    bool
	crashChecks int
}

func newCrashSuspects(n *Node) *crashSuspects {
	return &crashSuspects{node: n}
}

// admit lets a request proceed to the backend server unless it is known to
// crash backend servers.
func (s *crashSuspects) admit(ctx context.Context, id uint64, r *exchanger.Request) error {
	deadline := s.node.dependencies.Clock.Now().Add(suspectMaxWait)
	for {
		now := s.node.dependencies.Clock.Now()
		verdict, remaining := s.startRequest(now, id, r)
		switch {
		case verdict == suspecter.VerdictRun:
			return nil
		case verdict == suspecter.VerdictRefuse:
			return crashRequestRefusal(remaining)
		case ctx.Err() != nil || now.After(deadline):
			refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "another suspect request runs")
			refusal.RetryAfter = time.Second
			return refusal
		}
		timekeeper.Sleep(ctx, suspectPollInterval)
	}
}

// finish removes the request from those in flight. refusal is nil after a
// complete answer.
func (s *crashSuspects) finish(id uint64, refusal *exchanger.Refusal) {
	if refusal != nil && refusal.Reason == exchanger.ReasonBroken {
		s.notifyPeersBriefly(s.recordBroken(id))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if refusal == nil {
		s.completed++
	}
	if updates := s.crashTracker.Finish(s.node.dependencies.Clock.Now(), id, refusal == nil); len(updates) > 0 {
		go s.notifyPeers(updates)
	}
}

// merge applies the suspicions that another node sent.
func (s *crashSuspects) merge(m *messenger.SuspectRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.dependencies.Clock.Now()
	for _, suspicion := range m.GetSuspicions() {
		suspect := suspecter.Suspect{
			CrashedIncarnations: suspicion.GetDeaths(),
			ExpiresAt:           now.Add(time.Duration(suspicion.GetValidMicros()) * time.Microsecond),
		}
		if copy(suspect.Digest[:], suspicion.GetDigest()) == len(suspect.Digest) {
			s.crashTracker.Merge(now, suspect)
		}
	}
}

func (s *crashSuspects) startRequest(now time.Time, id uint64, r *exchanger.Request) (suspecter.Verdict, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, remaining := s.crashTracker.Start(now, id, suspecter.RequestIdentity{
		Customer: r.Customer,
		Service:  r.Service,
		Route:    r.Route,
		Method:   r.Method,
		Path:     r.Path,
		Query:    r.Query,
		Body:     r.Body,
	})
	if verdict == suspecter.VerdictRun {
		s.inFlight++
	}
	return verdict, remaining
}

// recordBroken marks a request as suspect because its connection broke, and
// starts a crash check unless one runs. The other nodes must get the updates
// at once; they are corrected if the server turns out to be alive.
func (s *crashSuspects) recordBroken(id uint64) (updates []suspecter.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	now := s.node.dependencies.Clock.Now()
	s.crashTracker.RecordLostConnection(now, id)
	if !s.checking {
		s.checking = true
		s.crashTracker.HoldSuspects = true
		s.brokenConnections = 0
		s.completed = 0
		s.crashChecks++
		go s.checkForCrash(s.inFlight+1, s.node.guard.lastHealth())
	}
	s.brokenConnections++
	return s.crashTracker.RecordCrash(now, s.incarnation())
}

// checkForCrash concludes that the server crashed if it accepts no connection,
// is cold again, or lost all of several requests in flight. A single broken
// connection to a server that otherwise continues is no crash.
func (s *crashSuspects) checkForCrash(inFlight int, before relayer.Health) {
	crashed := false
	for range crashCheckDuration / crashCheckInterval {
		crashed = s.serverCrashed(before) || crashed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checking = false
	s.crashTracker.HoldSuspects = false
	if crashed || inFlight > 1 && s.brokenConnections >= inFlight && s.completed == 0 {
		s.crashTracker.StartIncarnation()
		s.node.guard.admissionQueue.Reset()
		s.node.dependencies.Logger.Named("guard").Warnf("backend server crashed, %d requests lost their connection", s.brokenConnections)
		return
	}
	go s.notifyPeers(s.crashTracker.RetractCrash(s.node.dependencies.Clock.Now(), s.incarnation()))
}

// incarnation returns the ID of the backend server's current incarnation.
func (s *crashSuspects) incarnation() string {
	return fmt.Sprintf("%s/%d", s.node.self.Incarnation, s.crashChecks)
}

// serverCrashed takes crashCheckInterval and reports whether the server shows
// that it crashed.
func (s *crashSuspects) serverCrashed(before relayer.Health) (crashed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckInterval)
	defer cancel()
	health, err := s.node.dependencies.Backend.Health(ctx)
	<-ctx.Done()
	if err != nil {
		var dialError *net.OpError
		return errors.As(err, &dialError) && dialError.Op == "dial" && !dialError.Timeout()
	}
	return health.Cold && (!before.Cold || health.Slots < before.Slots)
}

// notifyPeers sends suspicions to the other nodes of the service.
func (s *crashSuspects) notifyPeers(updates []suspecter.Suspect) {
	index := s.node.index.Load()
	if index == nil || len(updates) == 0 {
		return
	}
	message := s.suspectRequest(updates)
	semaphore := make(chan struct{}, maxParallelNotifications)
	var wg sync.WaitGroup
	for _, m := range index.Members(s.node.self.Service) {
		if m.Incarnation == s.node.self.Incarnation {
			continue
		}
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			s.notifyPeer(m.PeerAddress, message)
		})
	}
	wg.Wait()
}

// notifyPeersBriefly notifies the other nodes before the caller learns of the
// broken connection, because the caller may resend the request through one of
// them at once. It returns after at most briefNotifyTimeout, so a slow node
// delays nobody for longer.
func (s *crashSuspects) notifyPeersBriefly(updates []suspecter.Suspect) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.notifyPeers(updates)
	}()
	timer := time.NewTimer(briefNotifyTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// notifyPeer tries twice, because the first connection may be unresponsive.
func (s *crashSuspects) notifyPeer(address string, m *messenger.SuspectRequest) {
	for range 2 {
		_, err := connector.Call(context.Background(), s.node.connector, address, notifyTimeout,
			func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.SuspectResponse, error) {
				return c.Suspect(ctx, m)
			})
		if err == nil {
			return
		}
	}
}

func (s *crashSuspects) suspectRequest(updates []suspecter.Suspect) *messenger.SuspectRequest {
	m := &messenger.SuspectRequest{Sender: &messenger.Member{
		Name:        s.node.self.Name,
		Incarnation: s.node.self.Incarnation,
	}}
	now := s.node.dependencies.Clock.Now()
	for _, suspect := range updates {
		m.Suspicions = append(m.Suspicions, &messenger.Suspicion{
			Digest:      suspect.Digest[:],
			Deaths:      suspect.CrashedIncarnations,
			ValidMicros: uint64(max(0, suspect.ExpiresAt.Sub(now)) / time.Microsecond),
		})
	}
	return m
}

func crashRequestRefusal(remaining time.Duration) *exchanger.Refusal {
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCrashRequest,
		"this request was in flight when %d backend servers died", suspecter.CrashesToRefuse)
	refusal.RetryAfter = remaining
	return refusal
}
