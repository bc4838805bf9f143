package loader

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
	"github.com/flamingotack/flamingotack/internal/relayer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// answerGraceTime is how long a caller waits for an answer after its timeout.
	answerGraceTime     = 250 * time.Millisecond
	maxIdleConnsPerNode = 100
	maxRequestsInFlight = 3000
	poisonAttempts      = 6
	maxNodesTried       = 3
)

type (
	// nodeAddress is the address of a node for callers.
	nodeAddress struct {
		name, address string
	}

	// loadGenerator sends the requests of all customers' callers.
	loadGenerator struct {
		scenario *Scenario
		policy   string
		seed     uint64
		recorder *recorder.Recorder
		nodes    []nodeAddress
		client   *http.Client
		// surgeFactors hold one float64 for each customer.
		surgeFactors []atomic.Value
		inFlight     atomic.Int64
		lastSerial   atomic.Uint64
		skipped      atomic.Int64
		group        sync.WaitGroup

		mu       sync.Mutex
		requests []request
	}

	// request is one request of a caller with all its attempts.
	request struct {
		customerIndex int
		flowIndex     int
		startedAt     time.Time
		finishedAt    time.Time
		// served reports whether a whole answer arrived within the deadline,
		// counted from the first attempt.
		served   bool
		attempts int
	}

	// requestSender sends one request and retries it.
	requestSender struct {
		*loadGenerator
		customer *Customer
		flow     *Flow
		random   *rand.Rand
		// logicalID identifies the request; the IDs of its attempts begin with
		// it.
		logicalID string
		// idempotencyKey is shared by all attempts.
		idempotencyKey string
		body           []byte
	}
)

func newLoadGenerator(s *Scenario, policy string, seed uint64, r *recorder.Recorder, nodes []nodeAddress) *loadGenerator {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = maxIdleConnsPerNode
	l := &loadGenerator{
		scenario: s, policy: policy, seed: seed, recorder: r, nodes: nodes,
		client: &http.Client{Transport: transport}, surgeFactors: make([]atomic.Value, len(s.Customers)),
	}
	for i, c := range s.Customers {
		l.surgeFactors[i].Store(1.0)
		r.AddSecret(c.Key)
	}
	return l
}

// run sends requests until ctx ends and waits until all of them have ended.
func (l *loadGenerator) run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range l.scenario.Customers {
		group.Go(func() { l.generateArrivals(ctx, i) })
	}
	group.Wait()
	l.group.Wait()
	l.client.CloseIdleConnections()
}

// generateArrivals starts the requests of a customer as a Poisson process
// until ctx ends.
func (l *loadGenerator) generateArrivals(ctx context.Context, customer int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(customer)))
	offered := l.scenario.Customers[customer].OfferedPerSecond
	if offered <= 0 {
		return
	}
	next := time.Now()
	for {
		factor := l.surgeFactors[customer].Load().(float64)
		if factor <= 0 {
			factor = 1
		}
		next = next.Add(time.Duration(random.ExpFloat64() / (offered * factor) * float64(time.Second)))
		if !timekeeper.Sleep(ctx, time.Until(next)) {
			return
		}
		flow := pickFlow(l.scenario.Flows, random.Float64())
		l.startRequest(customer, flow)
	}
}

// startRequest starts a request, or skips it if too many are in flight.
func (l *loadGenerator) startRequest(customer, flow int) {
	if l.inFlight.Add(1) > maxRequestsInFlight {
		l.inFlight.Add(-1)
		l.skipped.Add(1)
		return
	}
	l.group.Go(func() {
		defer l.inFlight.Add(-1)
		s := l.newSender(customer, flow)
		r := request{customerIndex: customer, flowIndex: flow, startedAt: time.Now()}
		r.served, r.attempts = s.run()
		r.finishedAt = time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.requests = append(l.requests, r)
	})
}

// sendPoisonRequest sends a request that crashes each server that runs it.
func (l *loadGenerator) sendPoisonRequest(ctx context.Context, e Event, number int) {
	for i, c := range l.scenario.Customers {
		if e.Customer != "" && e.Customer != c.Name {
			continue
		}
		for j, f := range l.scenario.Flows {
			if e.Service != "" && e.Service != f.Service {
				continue
			}
			s := l.newSender(i, j)
			s.body = fmt.Appendf(nil, "%s %d", emulator.CrashBodyPrefix, number)
			for n := range poisonAttempts {
				s.attempt(n)
				if !timekeeper.Sleep(ctx, c.MeanRetryDelay.Std()) {
					return
				}
			}
			return
		}
	}
}

func (l *loadGenerator) newSender(customer, flow int) *requestSender {
	serial := l.lastSerial.Add(1)
	logicalID := fmt.Sprintf("c%d", serial)
	return &requestSender{
		loadGenerator:  l,
		customer:       &l.scenario.Customers[customer],
		flow:           &l.scenario.Flows[flow],
		random:         rand.New(rand.NewPCG(l.seed, serial<<16)),
		logicalID:      logicalID,
		idempotencyKey: uuid.Must(uuid.NewV7()).String(),
		body:           []byte("request " + logicalID),
	}
}

// setSurgeFactor multiplies the offered requests of a customer, or of all
// customers if customer is "".
func (l *loadGenerator) setSurgeFactor(customer string, factor float64) {
	for i, c := range l.scenario.Customers {
		if customer == "" || customer == c.Name {
			l.surgeFactors[i].Store(factor)
		}
	}
}

// run sends the request and retries it up to the customer's limit.
func (s *requestSender) run() (served bool, attempts int) {
	deadline := time.Now().Add(s.flow.Timeout.Std())
	for n := range s.customer.MaxRetries + 1 {
		call := s.attempt(n)
		attempts++
		if s.isServed(call) {
			return !call.Finish.After(deadline), attempts
		}
		if n == s.customer.MaxRetries || !s.mayRetry(call) {
			return false, attempts
		}
		wait := time.Duration((0.5 + s.random.Float64()) * float64(s.customer.MeanRetryDelay))
		if s.customer.HonorRetryAfter && call.RetryAfter > 0 {
			wait = call.RetryAfter + wait
		}
		time.Sleep(wait)
	}
	return false, attempts
}

// attempt sends the request once. It tries another node if one is unreachable.
func (s *requestSender) attempt(number int) (call recorder.Call) {
	for i := range maxNodesTried {
		call = s.send(fmt.Sprintf("%s#%d.%d", s.logicalID, number, i))
		if call.Outcome != recorder.CallUnreachable {
			return call
		}
	}
	return call
}

func (s *requestSender) send(attemptID string) (call recorder.Call) {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	delay := s.scenario.NetworkDelay.ToCallers.Std()
	timeout := s.flow.Timeout.Std()
	call = recorder.Call{
		AttemptID: attemptID, ChainPath: attemptID, Node: node.name, Service: s.flow.Service,
		AllowAnonymous: s.flow.Anonymous, Idempotent: s.flow.Method == http.MethodGet,
		Priority: *s.flow.Priority, Start: time.Now(), Deadline: time.Now().Add(timeout),
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+answerGraceTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, s.flow.Method, "http://"+node.address+"/"+s.flow.Service+s.flow.Path, bytes.NewReader(s.body))
	if err != nil {
		call.Outcome = recorder.CallUnreachable
		return call
	}
	r.Header.Set(emulator.HeaderChainPath, attemptID)
	r.Header.Set(emulator.HeaderAttempt, attemptID)
	r.Header.Set(relayer.HeaderTimeout, strconv.FormatInt((timeout-2*delay).Milliseconds(), 10))
	if s.flow.SelfCallDepth > 0 {
		r.Header.Set(emulator.HeaderSelfCallDepth, strconv.Itoa(s.flow.SelfCallDepth))
	}
	if !s.flow.Anonymous {
		r.Header.Set("Authorization", "Bearer "+s.customer.Key)
		call.Customer, call.KeyLabel = s.customer.Name, s.customer.Name
	}
	if s.flow.SendIdempotencyKey {
		call.IdempotencyKey = s.idempotencyKey
		r.Header.Set(exchanger.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	time.Sleep(delay)
	emulator.SendOnce(s.client, r, s.body, &call)
	time.Sleep(delay)
	call.Finish = time.Now()
	s.recorder.RecordCall(call)
	return call
}

func (s *requestSender) isServed(c recorder.Call) bool {
	return c.Outcome == recorder.CallAnswered && c.Status < http.StatusBadRequest && c.AnswerComplete &&
		!c.Finish.After(c.Deadline)
}

func (s *requestSender) mayRetry(c recorder.Call) bool {
	if c.Status >= http.StatusBadRequest && c.Status < http.StatusInternalServerError && c.Status != http.StatusTooManyRequests {
		return false
	}
	safe := c.Idempotent || s.flow.SendIdempotencyKey || c.Outcome == recorder.CallUnreachable
	return safe || c.Outcome == recorder.CallRefused && c.Ran == exchanger.RanNo
}

func pickFlow(flows []Flow, position float64) int {
	total := 0.0
	for _, f := range flows {
		total += f.Weight
	}
	for i, f := range flows {
		position -= f.Weight / total
		if position < 0 {
			return i
		}
	}
	return len(flows) - 1
}
