package parser

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

const (
	// PolicyAdaptive is the policy of all of this project's mechanisms.
	PolicyAdaptive = "adaptive"
	// PolicyFixed is the baseline: a fixed limit, no budgets, first come
	// first served.
	PolicyFixed = "fixed"

	defaultAttempts  = 3
	defaultDeadline  = Duration(5 * time.Second)
	defaultObjective = 0.999
	defaultReplay    = Duration(10 * time.Minute)
	maxAttempts      = 100
	maxDeadline      = Duration(10 * time.Minute)
	maxObjective     = 0.999999
	maxRate          = 10_000_000
	maxReplay        = Duration(24 * time.Hour)
	maxSlots         = 1_000_000
)

var (
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

type (
	// ClassObjective is the service-level objective for the customers of one
	// class.
	ClassObjective struct {
		// Class is that of at least one customer, and stands once in a
		// service.
		Class string `json:"class"`
		// Good is the part of requests that shall end well, above 0 and at
		// most 0.999999. Default: that of the service's objective.
		Good float64 `json:"good,omitempty"`
		// Latency is how long a good request may take. Default: that of the
		// service's objective.
		Latency Duration `json:"latency,omitempty"`
	}

	// Customer is one tenant.
	Customer struct {
		// Name is unique in the manifest: lower-case letters, digits and
		// dashes, at most 63.
		Name string `json:"name"`
		// Rate is the number of requests a second that all nodes together
		// let through, above 0.
		RatePerSecond float64 `json:"rate"`
		// Burst is the number of requests above the rate that may come at
		// once, at least 1. Default: the rate of one second.
		BurstRequests float64 `json:"burst,omitempty"`
		// Class groups customers with the same objectives: lower-case
		// letters, digits and inner dashes, at most 63. Default: none.
		Class string `json:"class,omitempty"`
		// Ceiling is the most important priority that the customer's
		// requests get. Default: critical, so the route decides.
		MaxPriority exchanger.Priority `json:"ceiling,omitempty"`
		// Keys are SHA-256 digests of the customer's keys in lower-case
		// hexadecimal. A digest stands once in a manifest.
		KeyDigests []string `json:"keys"`
	}

	// Manifest is the configuration that operators publish.
	Manifest struct {
		// Services are the services that backend servers offer, at least one.
		Services []Service `json:"services"`
		// Customers are the tenants.
		Customers []Customer `json:"customers"`
	}

	// Objective is a service-level objective.
	Objective struct {
		// Good is the part of requests that shall end well, above 0 and at
		// most 0.999999. Default: 0.999.
		Good float64 `json:"good,omitempty"`
		// Latency is how long a good request may take. Default: no limit.
		Latency Duration `json:"latency,omitempty"`
	}

	// Route is a set of requests of a service that are treated alike.
	Route struct {
		// Path is the path below the service. A path that ends with a slash
		// covers all below it; the longest match counts.
		Path string `json:"path"`
		// Methods are the HTTP methods. Default: all.
		Methods []string `json:"methods,omitempty"`
		// Open lets requests without a key through. Default: false.
		AllowAnonymous bool `json:"open,omitempty"`
		// Idempotent says that running a request twice does no harm.
		// Default: false.
		Idempotent bool `json:"idempotent,omitempty"`
		// Priority decides who is shed first. Default: normal.
		Priority *exchanger.Priority `json:"priority,omitempty"`
		// Deadline is how long a request may take, at most 10m. A caller
		// may ask for less. Default: 5s.
		Timeout Duration `json:"deadline,omitempty"`
	}

	// Service is one kind of backend server.
	Service struct {
		// Name is unique in the manifest and the first element of a
		// request's path.
		Name string `json:"name"`
		// Routes are the requests that the service answers, at least one.
		Routes []Route `json:"routes"`
		// Slots is the most requests that one backend server may run at
		// once. Default: 0, no ceiling but the limiter's.
		MaxSlots int `json:"slots,omitempty"`
		// Connections is the most connections that a node opens to its
		// backend server. Default: 0, as many as there are slots.
		MaxConnections int `json:"connections,omitempty"`
		// Attempts is the number of extra attempts that a whole call chain
		// may make that starts with this service, at most 100. Default: 3.
		MaxChainRetries *int `json:"attempts,omitempty"`
		// Replay is how long an idempotency key is kept, at most 24h.
		// Default: 10m.
		IdempotencyKeyTTL Duration `json:"replay,omitempty"`
		// Policy is "adaptive", or "fixed" for the baseline: a fixed limit,
		// no budgets, first come first served. Default: adaptive.
		Policy string `json:"policy,omitempty"`
		// Objective is the service-level objective for customers without one
		// of their class.
		Objective Objective `json:"objective,omitzero"`
		// Objectives are those for classes of customers. Default: none.
		Objectives []ClassObjective `json:"objectives,omitempty"`
	}
)

// ParseManifest reads a manifest, fills in its defaults and checks it whole.
// The error joins one FieldError for each fault; file only names the source.
func ParseManifest(file string, data []byte) (m *Manifest, err error) {
	m = &Manifest{}
	s, err := decode(file, data, m)
	if err != nil {
		return nil, err
	}
	m.fill()
	if problems := m.problems(); len(problems) > 0 {
		return nil, s.errors(problems)
	}
	return m, nil
}

// Check returns the faults of m. A default that is not filled in is one.
func (m *Manifest) Validate() error {
	s := &source{file: "manifest"}
	s.tree, _ = hujsonOf(m)
	return s.errors(m.problems())
}

// Customer returns the customer of that name.
func (m *Manifest) Customer(name string) (c Customer, found bool) {
	i := slices.IndexFunc(m.Customers, func(c Customer) bool { return c.Name == name })
	if i < 0 {
		return Customer{}, false
	}
	return m.Customers[i], true
}

// Service returns the service of that name.
func (m *Manifest) Service(name string) (v Service, found bool) {
	i := slices.IndexFunc(m.Services, func(v Service) bool { return v.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return m.Services[i], true
}

func (m *Manifest) fill() {
	for i := range m.Services {
		m.Services[i].fill()
	}
	for i := range m.Customers {
		if m.Customers[i].BurstRequests == 0 {
			m.Customers[i].BurstRequests = max(1, m.Customers[i].RatePerSecond)
		}
	}
}

func (m *Manifest) problems() (found []problem) {
	if len(m.Services) == 0 {
		found = append(found, problem{"/services", "at least one service is needed"})
	}
	names := map[string]bool{}
	for i, v := range m.Services {
		at := fmt.Sprintf("/services/%d", i)
		if names[v.Name] {
			found = append(found, problem{at + "/name", fmt.Sprintf("service %q stands twice", v.Name)})
		}
		names[v.Name] = true
		found = append(found, v.problems(at)...)
	}
	found = append(found, m.classProblems()...)
	return append(found, m.customerProblems()...)
}

func (m *Manifest) classProblems() (found []problem) {
	classes := map[string]bool{}
	for _, c := range m.Customers {
		classes[c.Class] = true
	}
	for i, v := range m.Services {
		for j, o := range v.Objectives {
			if o.Class != "" && !classes[o.Class] {
				at := fmt.Sprintf("/services/%d/objectives/%d/class", i, j)
				found = append(found, problem{at, fmt.Sprintf("no customer is of class %q", o.Class)})
			}
		}
	}
	return found
}

func (m *Manifest) customerProblems() (found []problem) {
	names := map[string]bool{}
	digests := map[string]string{}
	for i, c := range m.Customers {
		at := fmt.Sprintf("/customers/%d", i)
		if names[c.Name] {
			found = append(found, problem{at + "/name", fmt.Sprintf("customer %q stands twice", c.Name)})
		}
		names[c.Name] = true
		found = append(found, c.problems(at)...)
		for j, k := range c.KeyDigests {
			if owner, taken := digests[k]; taken {
				text := fmt.Sprintf("key digest is taken by customer %q", owner)
				found = append(found, problem{fmt.Sprintf("%s/keys/%d", at, j), text})
			}
			digests[k] = c.Name
		}
	}
	return found
}

func (c Customer) problems(at string) (found []problem) {
	if !namePattern.MatchString(c.Name) {
		found = append(found, problem{at + "/name", nameProblem(c.Name)})
	}
	if c.Class != "" && !namePattern.MatchString(c.Class) {
		found = append(found, problem{at + "/class", nameProblem(c.Class)})
	}
	if !(c.RatePerSecond > 0 && c.RatePerSecond <= maxRate) {
		found = append(found, problem{at + "/rate", fmt.Sprintf("%v is not above 0 and at most %d", c.RatePerSecond, maxRate)})
	}
	if !(c.BurstRequests >= 1 && c.BurstRequests <= maxRate) {
		found = append(found, problem{at + "/burst", fmt.Sprintf("%v is not between 1 and %d", c.BurstRequests, maxRate)})
	}
	for j, k := range c.KeyDigests {
		if !digestPattern.MatchString(k) {
			at := fmt.Sprintf("%s/keys/%d", at, j)
			found = append(found, problem{at, "not a SHA-256 digest in lower-case hexadecimal"})
		}
	}
	return found
}

func (v *Service) fill() {
	if v.MaxChainRetries == nil {
		n := defaultAttempts
		v.MaxChainRetries = &n
	}
	if v.IdempotencyKeyTTL == 0 {
		v.IdempotencyKeyTTL = defaultReplay
	}
	if v.Policy == "" {
		v.Policy = PolicyAdaptive
	}
	if v.Objective.Good == 0 {
		v.Objective.Good = defaultObjective
	}
	for i := range v.Objectives {
		v.Objectives[i].fill(v.Objective)
	}
	for i := range v.Routes {
		if v.Routes[i].Timeout == 0 {
			v.Routes[i].Timeout = defaultDeadline
		}
		if v.Routes[i].Priority == nil {
			p := exchanger.PriorityNormal
			v.Routes[i].Priority = &p
		}
	}
}

func (v Service) problems(at string) (found []problem) {
	add := func(field, format string, args ...any) {
		found = append(found, problem{at + field, fmt.Sprintf(format, args...)})
	}
	if !namePattern.MatchString(v.Name) {
		add("/name", "%s", nameProblem(v.Name))
	}
	if len(v.Routes) == 0 {
		add("/routes", "at least one route is needed")
	}
	if v.MaxSlots < 0 || v.MaxSlots > maxSlots {
		add("/slots", "%d is not between 0 and %d", v.MaxSlots, maxSlots)
	}
	if v.MaxConnections < 0 || v.MaxConnections > maxSlots {
		add("/connections", "%d is not between 0 and %d", v.MaxConnections, maxSlots)
	}
	if v.MaxChainRetries == nil {
		add("/attempts", "a number is needed")
	} else if *v.MaxChainRetries < 0 || *v.MaxChainRetries > maxAttempts {
		add("/attempts", "%d is not between 0 and %d", *v.MaxChainRetries, maxAttempts)
	}
	if v.IdempotencyKeyTTL < 0 || v.IdempotencyKeyTTL > maxReplay {
		add("/replay", "%s is not between 0 and %s", v.IdempotencyKeyTTL, maxReplay)
	}
	if v.Policy != PolicyAdaptive && v.Policy != PolicyFixed {
		add("/policy", "%q is neither %q nor %q", v.Policy, PolicyAdaptive, PolicyFixed)
	}
	found = append(found, v.Objective.problems(at+"/objective")...)
	found = append(found, v.objectiveProblems(at)...)
	return append(found, v.routeProblems(at)...)
}

func (v Service) objectiveProblems(at string) (found []problem) {
	seen := map[string]bool{}
	for i, o := range v.Objectives {
		at := fmt.Sprintf("%s/objectives/%d", at, i)
		if !namePattern.MatchString(o.Class) {
			found = append(found, problem{at + "/class", nameProblem(o.Class)})
		}
		if seen[o.Class] {
			found = append(found, problem{at + "/class", fmt.Sprintf("class %q stands twice", o.Class)})
		}
		seen[o.Class] = true
		found = append(found, o.objective().problems(at)...)
	}
	return found
}

func (v Service) routeProblems(at string) (found []problem) {
	seen := map[string]bool{}
	for i, r := range v.Routes {
		at := fmt.Sprintf("%s/routes/%d", at, i)
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, method := range methods {
			if seen[method+" "+r.Path] {
				found = append(found, problem{at + "/path", fmt.Sprintf("route %s %s stands twice", method, r.Path)})
			}
			seen[method+" "+r.Path] = true
		}
		found = append(found, r.problems(at)...)
	}
	return found
}

// ObjectiveOf returns the objective for customers of that class. own is false
// when it is that for all without one of their class.
func (v Service) ObjectiveForClass(class string) (o Objective, own bool) {
	for _, c := range v.Objectives {
		if c.Class == class {
			return c.objective(), true
		}
	}
	return v.Objective, false
}

func (c *ClassObjective) fill(o Objective) {
	if c.Good == 0 {
		c.Good = o.Good
	}
	if c.Latency == 0 {
		c.Latency = o.Latency
	}
}

func (c *ClassObjective) objective() Objective {
	return Objective{Good: c.Good, Latency: c.Latency}
}

func (o Objective) problems(at string) (found []problem) {
	if !(o.Good > 0 && o.Good <= maxObjective) {
		text := fmt.Sprintf("%v is not above 0 and at most %v", o.Good, maxObjective)
		found = append(found, problem{at + "/good", text})
	}
	if o.Latency < 0 {
		found = append(found, problem{at + "/latency", fmt.Sprintf("%s is below 0", o.Latency)})
	}
	return found
}

// Matches reports whether a request of that method and path is of route r.
func (r Route) Matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(path, r.Path)
	}
	return path == r.Path
}

func (r Route) problems(at string) (found []problem) {
	if !strings.HasPrefix(r.Path, "/") {
		found = append(found, problem{at + "/path", fmt.Sprintf("%q does not start with a slash", r.Path)})
	}
	for j, method := range r.Methods {
		if method == "" || method != strings.ToUpper(method) || strings.ContainsAny(method, " \t/") {
			at := fmt.Sprintf("%s/methods/%d", at, j)
			found = append(found, problem{at, fmt.Sprintf("%q is no HTTP method", method)})
		}
	}
	if r.Priority == nil {
		found = append(found, problem{at + "/priority", "a priority is needed"})
	}
	if r.Timeout <= 0 || r.Timeout > maxDeadline {
		found = append(found, problem{at + "/deadline", fmt.Sprintf("%s is not above 0 and at most %s", r.Timeout, maxDeadline)})
	}
	return found
}

func nameProblem(name string) string {
	if name == "" {
		return "a name is needed"
	}
	return fmt.Sprintf("%q is not made of at most 63 lower-case letters, digits and inner dashes", name)
}

// CloneManifest returns a deep copy of m.
func CloneManifest(m *Manifest) (c *Manifest, err error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	c = &Manifest{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode manifest: %w", err)
	}
	return c, nil
}
