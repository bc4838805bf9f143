// Package loader puts open-loop load on nodes, brings about timed events and
// measures what the callers got.
package loader

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// The kinds of events.
const (
	// EventCold turns servers cold without a word.
	EventCold EventKind = "cold"
	// EventCrash ends the process of servers; they return cold.
	EventCrash EventKind = "crash"
	// EventDomain takes a failure domain out for a time.
	EventDomainOutage EventKind = "domain"
	// EventFail makes a part of the answers of servers errors for a time.
	EventFailAnswers EventKind = "fail"
	// EventLie makes servers claim for a time that they are idle and warm.
	EventFalseHealth EventKind = "lie"
	// EventLog stops the log service for a time.
	EventLogOutage EventKind = "log"
	// EventLost loses the answers of the next Factor appends to the log.
	EventLoseAppendAnswers EventKind = "lost"
	// EventPoison sends a request that crashes each server that runs it.
	EventPoisonRequest EventKind = "poison"
	// EventServer takes servers out for a time.
	EventServerOutage EventKind = "server"
	// EventSilent makes open connections between nodes go silent for good.
	EventSilentConnections EventKind = "silent"
	// EventSlow slows servers for a time.
	EventSlowdown EventKind = "slow"
	// EventStop stops nodes as planned and starts them again after a time.
	EventPlannedStop EventKind = "stop"
	// EventSurge multiplies what customers ask for a time.
	EventSurge EventKind = "surge"
	// EventWithdraw withdraws a customer's key for a time.
	EventWithdrawKey EventKind = "withdraw"
)

const (
	defaultAnswer     = 512
	defaultDeadline   = parser.Duration(2 * time.Second)
	defaultPause      = parser.Duration(100 * time.Millisecond)
	defaultRestart    = parser.Duration(500 * time.Millisecond)
	maxEventFactor    = 1000
	maxOffered        = 100_000
	maxScenarioTime   = parser.Duration(10 * time.Minute)
	maxServers        = 200
	maxServiceRetries = 10
	maxServiceSlots   = 100_000
	maxServiceWork    = parser.Duration(time.Minute)
	defaultWarmUp     = parser.Duration(2 * time.Second)
	defaultTail       = parser.Duration(3 * time.Second)
	defaultColdParts  = 10
)

var kinds = []EventKind{
	EventCold, EventCrash, EventDomainOutage, EventFailAnswers, EventFalseHealth, EventLogOutage,
	EventLoseAppendAnswers, EventPoisonRequest, EventServerOutage, EventSilentConnections, EventSlowdown, EventPlannedStop,
	EventSurge, EventWithdrawKey,
}

type (
	// Call is a call that a service makes while it serves a request.
	DownstreamCall struct {
		// Service is the called service.
		Service string `json:"service"`
		// Method is the HTTP method. Default: GET, which is idempotent.
		Method string `json:"method,omitempty"`
		// Path is the path below the called service.
		Path string `json:"path"`
		// On is the path of the requests that make the call. Default: all.
		OnPath string `json:"on,omitempty"`
	}

	// Cold is how a server's cold start goes.
	ColdStart struct {
		// Slots is the number of requests that it bears at first. Default: a
		// tenth of the service's slots.
		Slots int `json:"slots,omitempty"`
		// Factor multiplies the work while it is cold. Default: 1.
		Slowdown float64 `json:"factor,omitempty"`
		// Warmup is how long it is cold. Default: 2s.
		WarmupTime parser.Duration `json:"warmup,omitempty"`
	}

	// Customer is a tenant with its callers.
	Customer struct {
		// Name is unique in the scenario.
		Name string `json:"name"`
		// Key is the customer's key. Default: one made from the name, which
		// serves only for nodes that the tool runs itself.
		Key string `json:"key,omitempty"`
		// Rate and Burst are those of the manifest.
		RatePerSecond float64 `json:"rate"`
		BurstRequests float64 `json:"burst,omitempty"`
		// Offered is the mean number of requests a second that its callers
		// begin, at random times.
		OfferedPerSecond float64 `json:"offered"`
		// Retries is how often they repeat a request that was not served.
		MaxRetries int `json:"retries,omitempty"`
		// Pause is the mean pause before a repeat. Default: 100ms.
		MeanRetryDelay parser.Duration `json:"pause,omitempty"`
		// Heed makes them wait for as long as a refusal advises.
		HonorRetryAfter bool `json:"heed,omitempty"`
	}

	// Delay is how long messages travel, one way.
	NetworkDelay struct {
		// Domains is the delay between failure domains.
		BetweenDomains parser.Duration `json:"domains,omitempty"`
		// Callers is the delay between callers and nodes.
		ToCallers parser.Duration `json:"callers,omitempty"`
	}

	// Event is something that happens to the system.
	Event struct {
		// Kind tells what.
		Kind EventKind `json:"kind"`
		// At is when it begins, counted from the end of the warm-up.
		StartOffset parser.Duration `json:"at"`
		// For is how long it lasts, where it lasts.
		Duration parser.Duration `json:"for,omitempty"`
		// Service, Server, Domain and Customer pick whom it hits; what is
		// left empty picks all.
		Service  string `json:"service,omitempty"`
		Server   string `json:"server,omitempty"`
		Domain   string `json:"domain,omitempty"`
		Customer string `json:"customer,omitempty"`
		// Factor is that of a slow or surge event, the part of the answers
		// that fail, or the number of appends.
		Factor float64 `json:"factor,omitempty"`
	}

	// Flow is one kind of request that callers send.
	Flow struct {
		// Name is unique in the scenario.
		Name string `json:"name"`
		// Service, Method and Path tell what is asked. Default method: GET,
		// which is idempotent; all others are not.
		Service string `json:"service"`
		Method  string `json:"method,omitempty"`
		Path    string `json:"path"`
		// Weight is its part of all requests.
		Weight float64 `json:"weight"`
		// Priority is that of the route. Default: normal.
		Priority *exchanger.Priority `json:"priority,omitempty"`
		// Deadline is that of the route and of the caller. Default: 2s.
		Timeout parser.Duration `json:"deadline,omitempty"`
		// Keyed makes callers send an idempotency key.
		SendIdempotencyKey bool `json:"keyed,omitempty"`
		// Open makes callers send no key on an open route.
		Anonymous bool `json:"open,omitempty"`
		// Hops is how deep the service calls itself.
		SelfCallDepth int `json:"hops,omitempty"`
	}

	// Kind tells what an event does.
	EventKind string

	// Scenario describes a run.
	Scenario struct {
		// Name names the scenario in the results.
		Name string `json:"name"`
		// Warmup is how long load runs before it is measured. Default: 2s.
		WarmupTime parser.Duration `json:"warmup,omitempty"`
		// Duration is how long load is measured.
		Duration parser.Duration `json:"duration"`
		// Domains are the failure domains.
		Domains []string `json:"domains"`
		// Delay is how long messages travel.
		NetworkDelay NetworkDelay `json:"delay,omitzero"`
		// Services, Flows, Customers and Events make up the run.
		Services  []Service  `json:"services"`
		Flows     []Flow     `json:"flows"`
		Customers []Customer `json:"customers"`
		Events    []Event    `json:"events,omitempty"`
	}

	// Service is a kind of backend server.
	Service struct {
		// Name is unique in the scenario.
		Name string `json:"name"`
		// Servers is the number of backend servers, spread over the failure
		// domains in turn.
		ServerCount int `json:"servers"`
		// Slots and Connections are those of each backend server.
		Slots          int `json:"slots"`
		MaxConnections int `json:"connections,omitempty"`
		// Time is the median of a request's own work.
		MedianServiceTime parser.Duration `json:"time"`
		// Spread is the standard deviation of the logarithm of that work.
		ServiceTimeLogStdDev float64 `json:"spread,omitempty"`
		// Answer is the length of an answer, in bytes. Default: 512.
		AnswerBytes int `json:"answer,omitempty"`
		// Attempts is that of the manifest.
		MaxChainRetries *int `json:"attempts,omitempty"`
		// Cold is how a cold start goes.
		ColdStart ColdStart `json:"cold,omitzero"`
		// Retries is how often the service itself repeats a failed call.
		MaxRetries int `json:"retries,omitempty"`
		// Calls are the calls to further services.
		DownstreamCalls []DownstreamCall `json:"calls,omitempty"`
	}
)

// ParseScenario reads a scenario, fills in its defaults and checks it whole.
// The error joins one *parser.FieldError for each fault; file only names the
// source.
func ParseScenario(file string, data []byte) (s *Scenario, err error) {
	s = &Scenario{}
	if err := parser.Decode(file, data, s, s.complete); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Scenario) service(name string) (v *Service) {
	i := slices.IndexFunc(s.Services, func(v Service) bool { return v.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Services[i]
}

// calls returns the calls that a request of that path makes.
func (v *Service) calls(path string) (all []DownstreamCall) {
	for _, c := range v.DownstreamCalls {
		if c.OnPath == "" || c.OnPath == path {
			all = append(all, c)
		}
	}
	return all
}

func (s *Scenario) complete() (found []parser.Fault) {
	s.fill()
	add := func(pointer, format string, args ...any) {
		found = append(found, parser.Fault{Pointer: pointer, Text: fmt.Sprintf(format, args...)})
	}
	if text := parser.NameFault(s.Name); text != "" {
		add("/name", "%s", text)
	}
	if s.Duration <= 0 || s.Duration > maxScenarioTime {
		add("/duration", "%s is not above 0 and at most %s", s.Duration, maxScenarioTime)
	}
	for _, list := range []struct {
		field string
		empty bool
	}{
		{"/domains", len(s.Domains) == 0},
		{"/services", len(s.Services) == 0},
		{"/flows", len(s.Flows) == 0},
		{"/customers", len(s.Customers) == 0},
	} {
		if list.empty {
			add(list.field, "at least one is needed")
		}
	}
	s.checkServices(add)
	s.checkFlows(add)
	s.checkCustomers(add)
	s.checkEvents(add)
	return found
}

func (s *Scenario) fill() {
	if s.WarmupTime == 0 {
		s.WarmupTime = defaultWarmUp
	}
	for i := range s.Services {
		s.Services[i].fill()
	}
	for i := range s.Flows {
		f := &s.Flows[i]
		if f.Method == "" {
			f.Method = http.MethodGet
		}
		if f.Priority == nil {
			normal := exchanger.PriorityNormal
			f.Priority = &normal
		}
		if f.Timeout == 0 {
			f.Timeout = defaultDeadline
		}
	}
	for i := range s.Customers {
		c := &s.Customers[i]
		if c.Key == "" {
			c.Key = "load-key-of-" + c.Name
		}
		if c.MeanRetryDelay == 0 {
			c.MeanRetryDelay = defaultPause
		}
		if c.BurstRequests == 0 {
			c.BurstRequests = max(1, c.RatePerSecond)
		}
	}
}

func (v *Service) fill() {
	if v.AnswerBytes == 0 {
		v.AnswerBytes = defaultAnswer
	}
	if v.ColdStart.Slots == 0 {
		v.ColdStart.Slots = max(1, v.Slots/defaultColdParts)
	}
	for i := range v.DownstreamCalls {
		if v.DownstreamCalls[i].Method == "" {
			v.DownstreamCalls[i].Method = http.MethodGet
		}
	}
}

func (s *Scenario) checkServices(add func(pointer, format string, args ...any)) {
	seen := map[string]bool{}
	for i, v := range s.Services {
		at := fmt.Sprintf("/services/%d", i)
		if text := parser.NameFault(v.Name); text != "" {
			add(at+"/name", "%s", text)
		}
		if seen[v.Name] {
			add(at+"/name", "service %q stands twice", v.Name)
		}
		seen[v.Name] = true
		if v.ServerCount < 1 || v.ServerCount > maxServers {
			add(at+"/servers", "%d is not between 1 and %d", v.ServerCount, maxServers)
		}
		if v.Slots < 1 || v.Slots > maxServiceSlots {
			add(at+"/slots", "%d is not between 1 and %d", v.Slots, maxServiceSlots)
		}
		if v.MedianServiceTime < 0 || v.MedianServiceTime > maxServiceWork {
			add(at+"/time", "%s is not between 0 and %s", v.MedianServiceTime, maxServiceWork)
		}
		if v.MaxRetries < 0 || v.MaxRetries > maxServiceRetries {
			add(at+"/retries", "%d is not between 0 and %d", v.MaxRetries, maxServiceRetries)
		}
		for j, c := range v.DownstreamCalls {
			s.checkTarget(fmt.Sprintf("%s/calls/%d", at, j), c.Service, c.Path, add)
		}
	}
}

func (s *Scenario) checkFlows(add func(pointer, format string, args ...any)) {
	for i, f := range s.Flows {
		at := fmt.Sprintf("/flows/%d", i)
		if f.Name == "" {
			add(at+"/name", "a name is needed")
		}
		if !(f.Weight > 0) {
			add(at+"/weight", "%v is not above 0", f.Weight)
		}
		s.checkTarget(at, f.Service, f.Path, add)
	}
}

func (s *Scenario) checkTarget(at, service, path string, add func(pointer, format string, args ...any)) {
	if s.service(service) == nil {
		add(at+"/service", "service %q is unknown", service)
	}
	if !strings.HasPrefix(path, "/") {
		add(at+"/path", "%q does not start with a slash", path)
	}
}

func (s *Scenario) checkCustomers(add func(pointer, format string, args ...any)) {
	for i, c := range s.Customers {
		at := fmt.Sprintf("/customers/%d", i)
		if text := parser.NameFault(c.Name); text != "" {
			add(at+"/name", "%s", text)
		}
		if !(c.RatePerSecond > 0) {
			add(at+"/rate", "%v is not above 0", c.RatePerSecond)
		}
		if !(c.OfferedPerSecond >= 0 && c.OfferedPerSecond <= maxOffered) {
			add(at+"/offered", "%v is not between 0 and %d", c.OfferedPerSecond, maxOffered)
		}
	}
}

func (s *Scenario) checkEvents(add func(pointer, format string, args ...any)) {
	for i, e := range s.Events {
		at := fmt.Sprintf("/events/%d", i)
		if !slices.Contains(kinds, e.Kind) {
			add(at+"/kind", "%q is no kind of event", e.Kind)
		}
		if e.StartOffset < 0 || e.StartOffset+e.Duration > s.Duration {
			add(at+"/at", "the event does not end within the duration of %s", s.Duration)
		}
		if !(e.Factor >= 0 && e.Factor <= maxEventFactor) {
			add(at+"/factor", "%v is not between 0 and %d", e.Factor, maxEventFactor)
		}
		if e.Service != "" && s.service(e.Service) == nil {
			add(at+"/service", "service %q is unknown", e.Service)
		}
		if e.Domain != "" && !slices.Contains(s.Domains, e.Domain) {
			add(at+"/domain", "failure domain %q is unknown", e.Domain)
		}
		known := slices.ContainsFunc(s.Customers, func(c Customer) bool { return c.Name == e.Customer })
		if e.Customer != "" && !known {
			add(at+"/customer", "customer %q is unknown", e.Customer)
		}
	}
}
