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
	// keySuffix makes a customer's name its key in the sample manifest.
	keySuffix = "-sample-key"
	// patience is how long a caller waits.
	patience = 2 * time.Second
	// maxOpen bounds the requests that one customer has open.
	maxOpen = 512
)

type (
	// Caller sends requests of customers to the nodes, each at its own pace
	// whether answers come or not.
	LoadGenerator struct {
		client   *http.Client
		nodes    []Instance
		recorder *recorder.Recorder
		manifest *parser.Manifest
	}

	// Demand is how much a customer sends.
	CustomerLoad struct {
		// Customer is the customer.
		Customer parser.Customer
		// Factor multiplies the customer's rate.
		RateFactor float64
	}

	// kind is a kind of request, and how often it comes.
	kind struct {
		service, method, path string
		weight                int
	}
)

// kinds are the requests that customers send.
func kinds() []kind {
	return []kind{
		{"slotboard", http.MethodGet, "/slots/%d", 5},
		{"slotboard", http.MethodGet, "/regattas/%d", 2},
		{"bookdesk", http.MethodGet, "/bookings/%d", 2},
		{"bookdesk", http.MethodPost, "/bookings/%d", 1},
	}
}

// NewCaller returns a Caller of the customers in that manifest.
func NewLoadGenerator(f *Fleet, m *parser.Manifest) *LoadGenerator {
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpen}
	return &LoadGenerator{
		client:   &http.Client{Transport: transport},
		nodes:    f.Instances,
		recorder: f.Recorder,
		manifest: m,
	}
}

// Close ends the idle connections.
func (c *LoadGenerator) Close() {
	c.client.CloseIdleConnections()
}

// Key returns the sample key of a customer.
func SampleKey(customer string) string {
	return customer + keySuffix
}

// Request sends one request of a customer and returns how it ended.
func (c *LoadGenerator) SendRequest(ctx context.Context, customer parser.Customer, k kind, node Instance) recorder.Call {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	serial := c.recorder.NextSerial()
	send := fmt.Sprintf("%s-%d", customer.Name, serial)
	path := fmt.Sprintf(k.path, serial)
	route := c.route(k, path)
	call := recorder.Call{
		AttemptID: send, ChainPath: send, Customer: customer.Name, Node: node.Settings.Name, Service: k.service,
		AllowAnonymous: route.Open, Idempotent: route.Idempotent,
		Priority: max(*route.Priority, customer.Ceiling), Start: time.Now(),
	}
	request, body, err := c.build(ctx, customer.Name, k.method, "http://"+node.Settings.Caller+"/"+k.service+path, send)
	if err != nil {
		call.Outcome, call.Finish = recorder.CallUnreachable, time.Now()
		return call
	}
	emulator.Perform(c.client, request, body, &call)
	return call
}

// Send sends the demands of all customers until ctx ends, waits for the
// answers and returns all calls.
func (c *LoadGenerator) Run(ctx context.Context, demands []CustomerLoad) (calls []recorder.Call) {
	var (
		mu   sync.Mutex
		wait sync.WaitGroup
	)
	keep := func(call recorder.Call) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, call)
	}
	for i, d := range demands {
		wait.Go(func() { c.sendOne(ctx, d, rand.New(rand.NewPCG(1, uint64(i))), keep) })
	}
	wait.Wait()
	return calls
}

func (c *LoadGenerator) build(ctx context.Context, customer, method, url, send string) (request *http.Request, body []byte, err error) {
	if method == http.MethodPost {
		body = []byte("booking " + send)
	}
	request, err = http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+SampleKey(customer))
	request.Header.Set(emulator.HeaderChain, send)
	request.Header.Set(emulator.HeaderSend, send)
	return request, body, nil
}

func (c *LoadGenerator) route(k kind, path string) parser.Route {
	v, _ := c.manifest.Service(k.service)
	for _, r := range v.Routes {
		if r.Matches(k.method, path) {
			return r
		}
	}
	normal := exchanger.PriorityNormal
	return parser.Route{Priority: &normal}
}

// sendOne sends the requests of one customer at random times with the mean of
// its demand.
func (c *LoadGenerator) sendOne(ctx context.Context, d CustomerLoad, r *rand.Rand, keep func(recorder.Call)) {
	var wait sync.WaitGroup
	defer wait.Wait()
	open := make(chan struct{}, maxOpen)
	for {
		pause := time.Duration(r.ExpFloat64() / (d.Customer.Rate * d.RateFactor) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		k, node := pick(r), c.nodes[r.IntN(len(c.nodes))]
		open <- struct{}{}
		wait.Go(func() {
			defer func() { <-open }()
			keep(c.SendRequest(context.WithoutCancel(ctx), d.Customer, k, node))
		})
	}
}

func pick(r *rand.Rand) kind {
	all := kinds()
	total := 0
	for _, k := range all {
		total += k.weight
	}
	n := r.IntN(total)
	for _, k := range all {
		if n -= k.weight; n < 0 {
			return k
		}
	}
	return all[0]
}
