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
	answerGrace  = 250 * time.Millisecond
	idleConns    = 100
	maxUnderWay  = 3000
	poisonSends  = 6
	unreachables = 3
)

type (
	// address is where a node takes callers.
	address struct {
		name, address string
	}

	// load is the callers of all customers.
	load struct {
		scenario *Scenario
		policy   string
		seed     uint64
		recorder *recorder.Recorder
		nodes    []address
		client   *http.Client
		factors  []atomic.Value
		underWay atomic.Int64
		serial   atomic.Uint64
		skipped  atomic.Int64
		group    sync.WaitGroup

		mu       sync.Mutex
		requests []request
	}

	// request is one wish of a caller, with all its sends.
	request struct {
		customer int
		flow     int
		started  time.Time
		finished time.Time
		// served tells that a whole answer came within the deadline, counted
		// from the first send.
		served bool
		sends  int
	}

	// sender sends one request.
	sender struct {
		*load
		customer *Customer
		flow     *Flow
		random   *rand.Rand
		logical  string
		// key is the idempotency key that all sends share.
		key  string
		body []byte
	}
)

func newLoad(s *Scenario, policy string, seed uint64, r *recorder.Recorder, nodes []address) *load {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = idleConns
	l := &load{
		scenario: s, policy: policy, seed: seed, recorder: r, nodes: nodes,
		client: &http.Client{Transport: transport}, factors: make([]atomic.Value, len(s.Customers)),
	}
	for i, c := range s.Customers {
		l.factors[i].Store(1.0)
		r.AddSecret(c.Key)
	}
	return l
}

// run sends requests until ctx ends and waits for their ends.
func (l *load) run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range l.scenario.Customers {
		group.Go(func() { l.arrivals(ctx, i) })
	}
	group.Wait()
	l.group.Wait()
	l.client.CloseIdleConnections()
}

// arrivals begins the requests of a customer, at random times.
func (l *load) arrivals(ctx context.Context, customer int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(customer)))
	offered := l.scenario.Customers[customer].Offered
	if offered <= 0 {
		return
	}
	next := time.Now()
	for {
		factor := l.factors[customer].Load().(float64)
		if factor <= 0 {
			factor = 1
		}
		next = next.Add(time.Duration(random.ExpFloat64() / (offered * factor) * float64(time.Second)))
		if !timekeeper.Sleep(ctx, time.Until(next)) {
			return
		}
		flow := pickFlow(l.scenario.Flows, random.Float64())
		l.begin(customer, flow)
	}
}

// begin starts a request, unless too many are under way for this process.
func (l *load) begin(customer, flow int) {
	if l.underWay.Add(1) > maxUnderWay {
		l.underWay.Add(-1)
		l.skipped.Add(1)
		return
	}
	l.group.Go(func() {
		defer l.underWay.Add(-1)
		s := l.sender(customer, flow)
		r := request{customer: customer, flow: flow, started: time.Now()}
		r.served, r.sends = s.run()
		r.finished = time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.requests = append(l.requests, r)
	})
}

// poison sends a request that crashes each server that runs it.
func (l *load) poison(ctx context.Context, e Event, number int) {
	for i, c := range l.scenario.Customers {
		if e.Customer != "" && e.Customer != c.Name {
			continue
		}
		for j, f := range l.scenario.Flows {
			if e.Service != "" && e.Service != f.Service {
				continue
			}
			s := l.sender(i, j)
			s.body = fmt.Appendf(nil, "%s %d", emulator.CrashBody, number)
			for n := range poisonSends {
				s.try(n)
				if !timekeeper.Sleep(ctx, c.Pause.Std()) {
					return
				}
			}
			return
		}
	}
}

func (l *load) sender(customer, flow int) *sender {
	serial := l.serial.Add(1)
	logical := fmt.Sprintf("c%d", serial)
	return &sender{
		load:     l,
		customer: &l.scenario.Customers[customer],
		flow:     &l.scenario.Flows[flow],
		random:   rand.New(rand.NewPCG(l.seed, serial<<16)),
		logical:  logical,
		key:      uuid.Must(uuid.NewV7()).String(),
		body:     []byte("request " + logical),
	}
}

// surge multiplies what a customer asks, or all of them.
func (l *load) surge(customer string, factor float64) {
	for i, c := range l.scenario.Customers {
		if customer == "" || customer == c.Name {
			l.factors[i].Store(factor)
		}
	}
}

// run sends the request and repeats it as its caller does.
func (s *sender) run() (served bool, sends int) {
	deadline := time.Now().Add(s.flow.Deadline.Std())
	for n := range s.customer.Retries + 1 {
		call := s.try(n)
		sends++
		if s.isServed(call) {
			return !call.Finish.After(deadline), sends
		}
		if n == s.customer.Retries || !s.mayRepeat(call) {
			return false, sends
		}
		wait := time.Duration((0.5 + s.random.Float64()) * float64(s.customer.Pause))
		if s.customer.Heed && call.RetryAfter > 0 {
			wait = call.RetryAfter + wait
		}
		time.Sleep(wait)
	}
	return false, sends
}

// try sends the request once, to another node when one can't be reached.
func (s *sender) try(n int) (call recorder.Call) {
	for i := range unreachables {
		call = s.send(fmt.Sprintf("%s#%d.%d", s.logical, n, i))
		if call.Outcome != recorder.CallUnreachable {
			return call
		}
	}
	return call
}

func (s *sender) send(name string) (call recorder.Call) {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	delay := s.scenario.Delay.Callers.Std()
	deadline := s.flow.Deadline.Std()
	call = recorder.Call{
		AttemptID: name, ChainPath: name, Node: node.name, Service: s.flow.Service,
		AllowAnonymous: s.flow.Open, Idempotent: s.flow.Method == http.MethodGet,
		Priority: *s.flow.Priority, Start: time.Now(), Deadline: time.Now().Add(deadline),
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+answerGrace)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, s.flow.Method, "http://"+node.address+"/"+s.flow.Service+s.flow.Path, bytes.NewReader(s.body))
	if err != nil {
		call.Outcome = recorder.CallUnreachable
		return call
	}
	r.Header.Set(emulator.HeaderChain, name)
	r.Header.Set(emulator.HeaderSend, name)
	r.Header.Set(relayer.HeaderTimeout, strconv.FormatInt((deadline-2*delay).Milliseconds(), 10))
	if s.flow.Hops > 0 {
		r.Header.Set(emulator.HeaderHops, strconv.Itoa(s.flow.Hops))
	}
	if !s.flow.Open {
		r.Header.Set("Authorization", "Bearer "+s.customer.Key)
		call.Customer, call.KeyLabel = s.customer.Name, s.customer.Name
	}
	if s.flow.Keyed {
		call.IdempotencyKey = s.key
		r.Header.Set(exchanger.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	time.Sleep(delay)
	emulator.Perform(s.client, r, s.body, &call)
	time.Sleep(delay)
	call.Finish = time.Now()
	s.recorder.RecordCall(call)
	return call
}

func (s *sender) isServed(c recorder.Call) bool {
	return c.Outcome == recorder.CallAnswered && c.Status < http.StatusBadRequest && c.AnswerComplete &&
		!c.Finish.After(c.Deadline)
}

func (s *sender) mayRepeat(c recorder.Call) bool {
	if c.Status >= http.StatusBadRequest && c.Status < http.StatusInternalServerError && c.Status != http.StatusTooManyRequests {
		return false
	}
	safe := c.Idempotent || s.flow.Keyed || c.Outcome == recorder.CallUnreachable
	return safe || c.Outcome == recorder.CallRefused && c.Ran == exchanger.RanNo
}

func pickFlow(flows []Flow, part float64) int {
	total := 0.0
	for _, f := range flows {
		total += f.Weight
	}
	for i, f := range flows {
		part -= f.Weight / total
		if part < 0 {
			return i
		}
	}
	return len(flows) - 1
}
