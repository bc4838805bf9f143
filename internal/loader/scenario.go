// Package loader sends open-loop load to nodes, runs timed events and measures
// the answers that callers get.
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
	// EventCold makes running servers cold without an announcement, so that
	// their nodes have to detect it.
	EventCold EventKind = "cold"
	// EventCrash ends the process of servers, which restart cold.
	EventCrash EventKind = "crash"
	// EventDomainOutage takes a failure domain out of service for a time.
	EventDomainOutage EventKind = "domain"
	// EventFailAnswers turns a fraction of the servers' answers into errors
	// for a time.
	EventFailAnswers EventKind = "fail"
	// EventFalseHealth makes servers report for a time that they are idle and
	// warm.
	EventFalseHealth EventKind = "lie"
	// EventLogOutage stops the log service for a time.
	EventLogOutage EventKind = "log"
	// EventLoseAppendResponses loses the responses to the next Factor appends
	// to the log.
	EventLoseAppendResponses EventKind = "lost"
	// EventPoisonRequest sends a request that crashes each server that runs
	// it.
	EventPoisonRequest EventKind = "poison"
	// EventServerOutage takes servers out of service for a time.
	EventServerOutage EventKind = "server"
	// EventSilentConnections makes open connections between nodes silent
	// permanently.
	EventSilentConnections EventKind = "silent"
	// EventSlowdown slows servers down for a time.
	EventSlowdown EventKind = "slow"
	// EventPlannedStop shuts nodes down and starts them again after a time.
	EventPlannedStop EventKind = "stop"
	// EventSurge multiplies the offered requests of customers for a time.
	EventSurge EventKind = "surge"
	// EventWithdrawKey withdraws a customer's key for a time.
	EventWithdrawKey EventKind = "withdraw"
)

const (
	defaultAnswerBytes   = 512
	defaultTimeout       = parser.Duration(2 * time.Second)
	defaultRetryDelay    = parser.Duration(100 * time.Millisecond)
	defaultRestartDelay  = parser.Duration(500 * time.Millisecond)
	maxEventFactor       = 1000
	maxOfferedPerSecond  = 100_000
	maxScenarioDuration  = parser.Duration(10 * time.Minute)
	maxServersPerService = 200
	maxServiceRetries    = 10
	maxServiceSlots      = 100_000
	maxServiceTime       = parser.Duration(time.Minute)
	defaultWarmupTime    = parser.Duration(2 * time.Second)
	defaultTail          = parser.Duration(3 * time.Second)
	coldSlotsDivisor     = 10
)

var eventKinds = []EventKind{
	EventCold, EventCrash, EventDomainOutage, EventFailAnswers, EventFalseHealth, EventLogOutage,
	EventLoseAppendResponses, EventPoisonRequest, EventServerOutage, EventSilentConnections, EventSlowdown, EventPlannedStop,
	EventSurge, EventWithdrawKey,
}

type (
	// DownstreamCall is a call that a service makes while it serves a request.
	DownstreamCall struct {
		// Service is the name of the called service.
		Service string `json:"service"`
		// Method is the HTTP method. Default: GET, which is idempotent.
		Method string `json:"method,omitempty"`
		// Path is the path below the called service.
		Path string `json:"path"`
		// OnPath is the path of the requests that make the call. Default: all
		// paths.
		OnPath string `json:"on,omitempty"`
	}

	// ColdStart describes the cold start of a server.
	ColdStart struct {
		// Slots is the number of requests that the server can serve at once at
		// the start. Default: a tenth of the service's slots.
		Slots int `json:"slots,omitempty"`
		// Slowdown is the factor on the service time while the server is cold.
		// Default: 1.
		Slowdown float64 `json:"factor,omitempty"`
		// WarmupTime is how long the server is cold. Default: 2s.
		WarmupTime parser.Duration `json:"warmup,omitempty"`
	}

	// Customer describes a customer and its callers.
	Customer struct {
		// Name is unique in the scenario.
		Name string `json:"name"`
		// Key is the customer's key. Default: one derived from the name, which
		// is accepted only by nodes that the tool runs itself.
		Key string `json:"key,omitempty"`
		// RatePerSecond and BurstRequests are the limits in the manifest.
		RatePerSecond float64 `json:"rate"`
		BurstRequests float64 `json:"burst,omitempty"`
		// OfferedPerSecond is the mean number of requests per second that the
		// callers start, at random times.
		OfferedPerSecond float64 `json:"offered"`
		// MaxRetries is the number of retries of a request that was not
		// served.
		MaxRetries int `json:"retries,omitempty"`
		// MeanRetryDelay is the mean delay before a retry. Default: 100ms.
		MeanRetryDelay parser.Duration `json:"pause,omitempty"`
		// HonorRetryAfter makes callers wait for the Retry-After time of a
		// refusal.
		HonorRetryAfter bool `json:"heed,omitempty"`
	}

	// NetworkDelay is the one-way delay of messages.
	NetworkDelay struct {
		// BetweenDomains is the delay between failure domains.
		BetweenDomains parser.Duration `json:"domains,omitempty"`
		// ToCallers is the delay between callers and nodes.
		ToCallers parser.Duration `json:"callers,omitempty"`
	}

	// Event is a timed fault or change.
	Event struct {
		// Kind is what happens.
		Kind EventKind `json:"kind"`
		// StartOffset is when the event starts, counted from the end of the
		// warm-up.
		StartOffset parser.Duration `json:"at"`
		// Duration is how long the event lasts, if it has a duration.
		Duration parser.Duration `json:"for,omitempty"`
		// Service, Server, Domain and Customer select what the event affects.
		// An empty field selects all.
		Service  string `json:"service,omitempty"`
		Server   string `json:"server,omitempty"`
		Domain   string `json:"domain,omitempty"`
		Customer string `json:"customer,omitempty"`
		// Factor is the factor of a slowdown or a surge, the fraction of
		// failing answers, or the number of appends.
		Factor float64 `json:"factor,omitempty"`
	}

	// Flow is one kind of request that callers send.
	Flow struct {
		// Name is unique in the scenario.
		Name string `json:"name"`
		// Service, Method and Path identify the route. Default method: GET,
		// which is idempotent; all others are not.
		Service string `json:"service"`
		Method  string `json:"method,omitempty"`
		Path    string `json:"path"`
		// Weight is the relative frequency of this flow among all requests.
		Weight float64 `json:"weight"`
		// Priority is the priority of the route. Default: normal.
		Priority *exchanger.Priority `json:"priority,omitempty"`
		// Timeout is the timeout of the route and of the caller. Default: 2s.
		Timeout parser.Duration `json:"deadline,omitempty"`
		// SendIdempotencyKey makes callers send an idempotency key.
		SendIdempotencyKey bool `json:"keyed,omitempty"`
		// Anonymous makes callers send no key. The route is open.
		Anonymous bool `json:"open,omitempty"`
		// SelfCallDepth is the number of nested calls of the service to
		// itself.
		SelfCallDepth int `json:"hops,omitempty"`
	}

	// EventKind is the kind of an event.
	EventKind string

	// Scenario describes a run.
	Scenario struct {
		// Name is the name of the scenario in the results.
		Name string `json:"name"`
		// WarmupTime is how long load runs before the measurement starts.
		// Default: 2s.
		WarmupTime parser.Duration `json:"warmup,omitempty"`
		// Duration is how long the measurement lasts.
		Duration parser.Duration `json:"duration"`
		// Domains are the failure domains.
		Domains []string `json:"domains"`
		// NetworkDelay is the delay of messages.
		NetworkDelay NetworkDelay `json:"delay,omitzero"`
		// Services, Flows, Customers and Events define the run.
		Services  []Service  `json:"services"`
		Flows     []Flow     `json:"flows"`
		Customers []Customer `json:"customers"`
		Events    []Event    `json:"events,omitempty"`
	}

	// Service describes a service and its backend servers.
	Service struct {
		// Name is unique in the scenario.
		Name string `json:"name"`
		// ServerCount is the number of backend servers, assigned to the
		// failure domains in turn.
		ServerCount int `json:"servers"`
		// Slots and MaxConnections are the limits of each backend server.
		Slots          int `json:"slots"`
		MaxConnections int `json:"connections,omitempty"`
		// MedianServiceTime is the median of a request's own service time.
		MedianServiceTime parser.Duration `json:"time"`
		// ServiceTimeLogStdDev is the standard deviation of the logarithm of
		// the service time.
		ServiceTimeLogStdDev float64 `json:"spread,omitempty"`
		// AnswerBytes is the length of an answer in bytes. Default: 512.
		AnswerBytes int `json:"answer,omitempty"`
		// MaxChainRetries is the retry budget of a call chain in the manifest.
		MaxChainRetries *int `json:"attempts,omitempty"`
		// ColdStart describes the cold start of a server.
		ColdStart ColdStart `json:"cold,omitzero"`
		// MaxRetries is the number of retries that the service makes of a
		// failed call.
		MaxRetries int `json:"retries,omitempty"`
		// DownstreamCalls are the calls to other services.
		DownstreamCalls []DownstreamCall `json:"calls,omitempty"`
	}
)

// ParseScenario parses a scenario, sets defaults and validates all fields. The
// error joins one *parser.FieldError for each problem. file is only used in
// errors.
func ParseScenario(file string, data []byte) (s *Scenario, err error) {
	s = &Scenario{}
	if err := parser.Decode(file, data, s, s.setDefaultsAndValidate); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Scenario) findService(name string) (v *Service) {
	i := slices.IndexFunc(s.Services, func(v Service) bool { return v.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Services[i]
}

// callsForPath returns the calls that a request with that path makes.
func (v *Service) callsForPath(path string) (all []DownstreamCall) {
	for _, c := range v.DownstreamCalls {
		if c.OnPath == "" || c.OnPath == path {
			all = append(all, c)
		}
	}
	return all
}

func (s *Scenario) setDefaultsAndValidate() (problems []parser.FieldProblem) {
	s.setDefaults()
	add := func(pointer, format string, args ...any) {
		problems = append(problems, parser.FieldProblem{Pointer: pointer, Message: fmt.Sprintf(format, args...)})
	}
	if text := parser.NameProblem(s.Name); text != "" {
		add("/name", "%s", text)
	}
	if s.Duration <= 0 || s.Duration > maxScenarioDuration {
		add("/duration", "%s is not above 0 and at most %s", s.Duration, maxScenarioDuration)
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
	s.validateServices(add)
	s.validateFlows(add)
	s.validateCustomers(add)
	s.validateEvents(add)
	return problems
}

func (s *Scenario) setDefaults() {
	if s.WarmupTime == 0 {
		s.WarmupTime = defaultWarmupTime
	}
	for i := range s.Services {
		s.Services[i].setDefaults()
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
			f.Timeout = defaultTimeout
		}
	}
	for i := range s.Customers {
		c := &s.Customers[i]
		if c.Key == "" {
			c.Key = "load-key-of-" + c.Name
		}
		if c.MeanRetryDelay == 0 {
			c.MeanRetryDelay = defaultRetryDelay
		}
		if c.BurstRequests == 0 {
			c.BurstRequests = max(1, c.RatePerSecond)
		}
	}
}

func (v *Service) setDefaults() {
	if v.AnswerBytes == 0 {
		v.AnswerBytes = defaultAnswerBytes
	}
	if v.ColdStart.Slots == 0 {
		v.ColdStart.Slots = max(1, v.Slots/coldSlotsDivisor)
	}
	for i := range v.DownstreamCalls {
		if v.DownstreamCalls[i].Method == "" {
			v.DownstreamCalls[i].Method = http.MethodGet
		}
	}
}

func (s *Scenario) validateServices(add func(pointer, format string, args ...any)) {
	seen := map[string]bool{}
	for i, v := range s.Services {
		pointer := fmt.Sprintf("/services/%d", i)
		if text := parser.NameProblem(v.Name); text != "" {
			add(pointer+"/name", "%s", text)
		}
		if seen[v.Name] {
			add(pointer+"/name", "service %q is defined more than once", v.Name)
		}
		seen[v.Name] = true
		if v.ServerCount < 1 || v.ServerCount > maxServersPerService {
			add(pointer+"/servers", "%d is not between 1 and %d", v.ServerCount, maxServersPerService)
		}
		if v.Slots < 1 || v.Slots > maxServiceSlots {
			add(pointer+"/slots", "%d is not between 1 and %d", v.Slots, maxServiceSlots)
		}
		if v.MedianServiceTime < 0 || v.MedianServiceTime > maxServiceTime {
			add(pointer+"/time", "%s is not between 0 and %s", v.MedianServiceTime, maxServiceTime)
		}
		if v.MaxRetries < 0 || v.MaxRetries > maxServiceRetries {
			add(pointer+"/retries", "%d is not between 0 and %d", v.MaxRetries, maxServiceRetries)
		}
		for j, c := range v.DownstreamCalls {
			s.validateTarget(fmt.Sprintf("%s/calls/%d", pointer, j), c.Service, c.Path, add)
		}
	}
}

func (s *Scenario) validateFlows(add func(pointer, format string, args ...any)) {
	for i, f := range s.Flows {
		pointer := fmt.Sprintf("/flows/%d", i)
		if f.Name == "" {
			add(pointer+"/name", "a name is needed")
		}
		if !(f.Weight > 0) {
			add(pointer+"/weight", "%v is not above 0", f.Weight)
		}
		s.validateTarget(pointer, f.Service, f.Path, add)
	}
}

func (s *Scenario) validateTarget(pointer, service, path string, add func(pointer, format string, args ...any)) {
	if s.findService(service) == nil {
		add(pointer+"/service", "service %q is unknown", service)
	}
	if !strings.HasPrefix(path, "/") {
		add(pointer+"/path", "%q does not start with a slash", path)
	}
}

func (s *Scenario) validateCustomers(add func(pointer, format string, args ...any)) {
	for i, c := range s.Customers {
		pointer := fmt.Sprintf("/customers/%d", i)
		if text := parser.NameProblem(c.Name); text != "" {
			add(pointer+"/name", "%s", text)
		}
		if !(c.RatePerSecond > 0) {
			add(pointer+"/rate", "%v is not above 0", c.RatePerSecond)
		}
		if !(c.OfferedPerSecond >= 0 && c.OfferedPerSecond <= maxOfferedPerSecond) {
			add(pointer+"/offered", "%v is not between 0 and %d", c.OfferedPerSecond, maxOfferedPerSecond)
		}
	}
}

func (s *Scenario) validateEvents(add func(pointer, format string, args ...any)) {
	for i, e := range s.Events {
		pointer := fmt.Sprintf("/events/%d", i)
		if !slices.Contains(eventKinds, e.Kind) {
			add(pointer+"/kind", "%q is not a kind of event", e.Kind)
		}
		if e.StartOffset < 0 || e.StartOffset+e.Duration > s.Duration {
			add(pointer+"/at", "the event does not end within the duration of %s", s.Duration)
		}
		if !(e.Factor >= 0 && e.Factor <= maxEventFactor) {
			add(pointer+"/factor", "%v is not between 0 and %d", e.Factor, maxEventFactor)
		}
		if e.Service != "" && s.findService(e.Service) == nil {
			add(pointer+"/service", "service %q is unknown", e.Service)
		}
		if e.Domain != "" && !slices.Contains(s.Domains, e.Domain) {
			add(pointer+"/domain", "failure domain %q is unknown", e.Domain)
		}
		known := slices.ContainsFunc(s.Customers, func(c Customer) bool { return c.Name == e.Customer })
		if e.Customer != "" && !known {
			add(pointer+"/customer", "customer %q is unknown", e.Customer)
		}
	}
}
