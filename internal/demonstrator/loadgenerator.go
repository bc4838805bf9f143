package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	// sampleKeySuffix appended to a customer's name gives its key in the sample
	// manifest.
	sampleKeySuffix = "-sample-key"
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 2 * time.Second
	// maxOpenRequests is the maximum number of concurrent requests of one
	// customer.
	maxOpenRequests = 512
)

type (
	// LoadGenerator sends requests of customers to the nodes. The load is open:
	// each customer sends at its own rate, whether answers arrive or not.
	LoadGenerator struct {
		client    *http.Client
		instances []Instance
		recorder  *recorder.Recorder
		manifest  *parser.Manifest
	}

	// CustomerLoad is the load that a customer generates.
	CustomerLoad struct {
		// Customer is the customer that sends the requests.
		Customer parser.Customer
		// RateFactor multiplies the customer's rate.
		RateFactor float64
	}

	// requestKind is a kind of request and its relative frequency.
	requestKind struct {
		service, method, pathFormat string
		weight                      int
	}
)

// requestKinds returns the kinds of requests that customers send.
func requestKinds() []requestKind {
	return []requestKind{
		{"slotboard", http.MethodGet, "/slots/%d", 5},
		{"slotboard", http.MethodGet, "/regattas/%d", 2},
		{"bookdesk", http.MethodGet, "/bookings/%d", 2},
		{"bookdesk", http.MethodPost, "/bookings/%d", 1},
	}
}

// NewLoadGenerator returns a LoadGenerator for the customers in a manifest.
func NewLoadGenerator(d *Deployment, m *parser.Manifest) *LoadGenerator {
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpenRequests}
	return &LoadGenerator{
		client:    &http.Client{Transport: transport},
		instances: d.Instances,
		recorder:  d.Recorder,
		manifest:  m,
	}
}

// Close closes the idle connections.
func (g *LoadGenerator) Close() {
	g.client.CloseIdleConnections()
}

// SampleKey returns the key of a customer in the sample manifest.
func SampleKey(customer string) string {
	return customer + sampleKeySuffix
}

// SendRequest sends one request of a customer and returns how it ended.
func (g *LoadGenerator) SendRequest(ctx context.Context, customer parser.Customer, k requestKind, instance Instance) recorder.Call {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	serial := g.recorder.NextSerial()
	attemptID := fmt.Sprintf("%s-%d", customer.Name, serial)
	path := fmt.Sprintf(k.pathFormat, serial)
	route := g.routeFor(k, path)
	call := recorder.Call{
		AttemptID: attemptID, ChainPath: attemptID, Customer: customer.Name, Node: instance.Settings.Name, Service: k.service,
		AllowAnonymous: route.AllowAnonymous, Idempotent: route.Idempotent,
		Priority: max(*route.Priority, customer.MaxPriority), Start: time.Now(),
	}
	request, body, err := g.newRequest(ctx, customer.Name, k.method, "http://"+instance.Settings.CallerAddress+"/"+k.service+path, attemptID)
	if err != nil {
		call.Outcome, call.Finish = recorder.CallUnreachable, time.Now()
		return call
	}
	emulator.SendOnce(g.client, request, body, &call)
	return call
}

// Run generates the loads of all customers until ctx is canceled, waits for the
// answers and returns all calls.
func (g *LoadGenerator) Run(ctx context.Context, loads []CustomerLoad) (calls []recorder.Call) {
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	record := func(call recorder.Call) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, call)
	}
	for i, l := range loads {
		group.Go(func() { g.sendLoad(ctx, l, rand.New(rand.NewPCG(1, uint64(i))), record) })
	}
	group.Wait()
	return calls
}

func (g *LoadGenerator) newRequest(ctx context.Context, customer, method, url, attemptID string) (request *http.Request, body []byte, err error) {
	if method == http.MethodPost {
		body = []byte("booking " + attemptID)
	}
	request, err = http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+SampleKey(customer))
	request.Header.Set(emulator.HeaderChainPath, attemptID)
	request.Header.Set(emulator.HeaderAttempt, attemptID)
	return request, body, nil
}

func (g *LoadGenerator) routeFor(k requestKind, path string) parser.Route {
	service, _ := g.manifest.Service(k.service)
	for _, r := range service.Routes {
		if r.Matches(k.method, path) {
			return r
		}
	}
	normal := exchanger.PriorityNormal
	return parser.Route{Priority: &normal}
}

// sendLoad sends the requests of one customer until ctx is canceled, with random
// exponential delays whose mean matches its load.
func (g *LoadGenerator) sendLoad(ctx context.Context, l CustomerLoad, r *rand.Rand, record func(recorder.Call)) {
	var group sync.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, maxOpenRequests)
	for {
		delay := time.Duration(r.ExpFloat64() / (l.Customer.RatePerSecond * l.RateFactor) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		k, instance := pickKind(r), g.instances[r.IntN(len(g.instances))]
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			record(g.SendRequest(context.WithoutCancel(ctx), l.Customer, k, instance))
		})
	}
}

func pickKind(r *rand.Rand) requestKind {
	kinds := requestKinds()
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	n := r.IntN(total)
	for _, k := range kinds {
		if n -= k.weight; n < 0 {
			return k
		}
	}
	return kinds[0]
}
