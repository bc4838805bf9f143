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
	// autopsyTime is how long after a broken connection its server is
	// watched.
	autopsyTime = 150 * time.Millisecond
	// autopsyStep is the time between two looks at it.
	autopsyStep = 25 * time.Millisecond
	// suspectStep is the time between two tries of a suspect that waits for
	// another one.
	suspectStep = 5 * time.Millisecond
	// suspectWait is how long it waits at most.
	suspectWait = 250 * time.Millisecond
	// tellers is the number of nodes told at the same time.
	tellers       = 8
	tellFirstTime = 50 * time.Millisecond
	tellTimeout   = time.Second
)

// suspects keeps requests that crash backend servers away from this one, and
// tells the other nodes of the service about them.
type suspects struct {
	node *Node

	mu        sync.Mutex
	suspecter suspecter.CrashTracker
	// flights is the number of requests in flight; whole and broken count
	// those that ended since the autopsy began.
	flights, whole, broken int
	// watching says that an autopsy runs, of the incarnation that number
	// deaths names.
	watching bool
	deaths   int
}

func newSuspects(n *Node) *suspects {
	return &suspects{node: n}
}

// start lets a request pass to the backend server, unless it is condemned.
func (s *suspects) start(ctx context.Context, number uint64, r *exchanger.Request) error {
	until := s.node.edges.Clock.Now().Add(suspectWait)
	for {
		now := s.node.edges.Clock.Now()
		verdict, left := s.ask(now, number, r)
		switch {
		case verdict == suspecter.VerdictRun:
			return nil
		case verdict == suspecter.VerdictRefuse:
			return condemned(left)
		case ctx.Err() != nil || now.After(until):
			refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "another suspect request runs")
			refusal.RetryAfter = time.Second
			return refusal
		}
		timekeeper.Sleep(ctx, suspectStep)
	}
}

// end takes the request out of flight. refusal is nil after a whole answer.
func (s *suspects) end(number uint64, refusal *exchanger.Refusal) {
	if refusal != nil && refusal.Reason == exchanger.ReasonBroken {
		s.tellFirst(s.lose(number))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights--
	if refusal == nil {
		s.whole++
	}
	if told := s.suspecter.Finish(number, refusal == nil); len(told) > 0 {
		go s.tell(told)
	}
}

// merge takes what another node tells.
func (s *suspects) merge(m *messenger.SuspectRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.edges.Clock.Now()
	for _, p := range m.GetSuspicions() {
		suspect := suspecter.Suspect{
			CrashedIncarnations: p.GetDeaths(),
			ExpiresAt:           now.Add(time.Duration(p.GetValidMicros()) * time.Microsecond),
		}
		if copy(suspect.Digest[:], p.GetDigest()) == len(suspect.Digest) {
			s.suspecter.Merge(now, suspect)
		}
	}
}

func (s *suspects) ask(now time.Time, number uint64, r *exchanger.Request) (suspecter.Verdict, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, left := s.suspecter.Start(now, number, suspecter.RequestIdentity{
		Customer: r.Customer,
		Service:  r.Service,
		Route:    r.Route,
		Method:   r.Method,
		Path:     r.Path,
		Query:    r.Query,
		Body:     r.Body,
	})
	if verdict == suspecter.VerdictRun {
		s.flights++
	}
	return verdict, left
}

// lose suspects a request whose connection broke. Others are to be told at
// once, and hear of it when the server turns out to live.
func (s *suspects) lose(number uint64) (told []suspecter.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights--
	now := s.node.edges.Clock.Now()
	s.suspecter.RecordLostConnection(now, number)
	if !s.watching {
		s.watching = true
		s.suspecter.HoldSuspects = true
		s.broken = 0
		s.whole = 0
		s.deaths++
		go s.autopsy(s.flights+1, s.node.guard.said())
	}
	s.broken++
	return s.suspecter.RecordCrash(now, s.incarnation())
}

// autopsy takes the server for dead when it accepts no connection, starts cold
// again, or took all of several requests along. A lone broken connection to a
// server that goes on as before is no death.
func (s *suspects) autopsy(flights int, before relayer.Health) {
	dead := false
	for range autopsyTime / autopsyStep {
		dead = s.look(before) || dead
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = false
	s.suspecter.HoldSuspects = false
	if dead || flights > 1 && s.broken >= flights && s.whole == 0 {
		s.node.guard.gate.Reset()
		s.node.edges.Logger.Named("guard").Warnf("The backend server died, %d requests were in flight.", s.broken)
		return
	}
	go s.tell(s.suspecter.RetractCrash(s.node.edges.Clock.Now(), s.incarnation()))
}

// incarnation names the backend server's present life.
func (s *suspects) incarnation() string {
	return fmt.Sprintf("%s/%d", s.node.self.Incarnation, s.deaths)
}

// look takes one step of time and reports whether the server shows that it
// died.
func (s *suspects) look(before relayer.Health) (dead bool) {
	ctx, cancel := context.WithTimeout(context.Background(), autopsyStep)
	defer cancel()
	health, err := s.node.edges.Backend.Health(ctx)
	<-ctx.Done()
	if err != nil {
		var dial *net.OpError
		return errors.As(err, &dial) && dial.Op == "dial" && !dial.Timeout()
	}
	return health.Cold && (!before.Cold || health.Slots < before.Slots)
}

// tell spreads suspicions to the other nodes of the service.
func (s *suspects) tell(told []suspecter.Suspect) {
	x := s.node.index.Load()
	if x == nil || len(told) == 0 {
		return
	}
	message := s.message(told)
	limit := make(chan struct{}, tellers)
	var group sync.WaitGroup
	for _, m := range x.Members(s.node.self.Service) {
		if m.Incarnation == s.node.self.Incarnation {
			continue
		}
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			s.tellOne(m.Peer, message)
		})
	}
	group.Wait()
}

// tellFirst tells the others before the caller learns of the broken connection,
// since it may send the request again at once through one of them. A node that
// is slow to listen holds nobody up for longer than tellFirstTime.
func (s *suspects) tellFirst(told []suspecter.Suspect) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.tell(told)
	}()
	timer := time.NewTimer(tellFirstTime)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// tellOne tries twice: the first connection may be a silent one.
func (s *suspects) tellOne(address string, m *messenger.SuspectRequest) {
	for range 2 {
		_, err := connector.Call(context.Background(), s.node.connector, address, tellTimeout,
			func(ctx context.Context, c messenger.DRPCNodeClient) (*messenger.SuspectResponse, error) {
				return c.Suspect(ctx, m)
			})
		if err == nil {
			return
		}
	}
}

func (s *suspects) message(told []suspecter.Suspect) *messenger.SuspectRequest {
	m := &messenger.SuspectRequest{Sender: &messenger.Member{
		Name:        s.node.self.Name,
		Incarnation: s.node.self.Incarnation,
	}}
	now := s.node.edges.Clock.Now()
	for _, p := range told {
		m.Suspicions = append(m.Suspicions, &messenger.Suspicion{
			Digest:      p.Digest[:],
			Deaths:      p.CrashedIncarnations,
			ValidMicros: uint64(max(0, p.ExpiresAt.Sub(now)) / time.Microsecond),
		})
	}
	return m
}

func condemned(left time.Duration) *exchanger.Refusal {
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCrashRequest,
		"this request was in flight when %d backend servers died", suspecter.CrashesToRefuse)
	refusal.RetryAfter = left
	return refusal
}
