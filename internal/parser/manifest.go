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
	// PolicyAdaptive enables all overload control mechanisms.
	PolicyAdaptive = "adaptive"
	// PolicyFixed is the baseline for comparison: a fixed concurrency limit,
	// no retry budgets, and a queue in order of arrival.
	PolicyFixed = "fixed"

	defaultMaxChainRetries   = 3
	defaultRouteTimeout      = Duration(5 * time.Second)
	defaultGoodFraction      = 0.999
	defaultIdempotencyKeyTTL = Duration(10 * time.Minute)
	maxMaxChainRetries       = 100
	maxRouteTimeout          = Duration(10 * time.Minute)
	maxGoodFraction          = 0.999999
	maxRatePerSecond         = 10_000_000
	maxIdempotencyKeyTTL     = Duration(24 * time.Hour)
	maxSlots                 = 1_000_000
)

var (
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

type (
	// ClassObjective is the service-level objective for customers of one
	// class.
	ClassObjective struct {
		// Class is the class of at least one customer. It is unique in the
		// service.
		Class string `json:"class"`
		// Good is the fraction of requests that should end well, above 0 and
		// at most 0.999999. Default: that of the service's objective.
		Good float64 `json:"good,omitempty"`
		// Latency is the maximum duration of a good request. Default: that
		// of the service's objective.
		Latency Duration `json:"latency,omitempty"`
	}

	// Customer is one tenant of the services.
	Customer struct {
		// Name is unique in the manifest: at most 63 lower-case letters,
		// digits and inner dashes.
		Name string `json:"name"`
		// RatePerSecond is the number of requests per second that all nodes
		// together admit, above 0.
		RatePerSecond float64 `json:"rate"`
		// BurstRequests is the number of requests above the rate that may
		// arrive at once, at least 1. Default: the rate of one second, but
		// at least 1.
		BurstRequests float64 `json:"burst,omitempty"`
		// Class groups customers with the same objectives: at most 63
		// lower-case letters, digits and inner dashes. Default: none.
		Class string `json:"class,omitempty"`
		// MaxPriority is the highest priority that the customer's requests
		// can have. Default: critical, so that the route's priority applies.
		MaxPriority exchanger.Priority `json:"ceiling,omitempty"`
		// KeyDigests are the SHA-256 digests of the customer's keys in
		// lower-case hexadecimal, each unique in the manifest.
		KeyDigests []string `json:"keys"`
	}

	// Manifest is the configuration that operators publish.
	Manifest struct {
		// Services are the services that backend servers offer, at least one.
		Services []Service `json:"services"`
		// Customers are the tenants of the services.
		Customers []Customer `json:"customers"`
	}

	// Objective is a service-level objective.
	Objective struct {
		// Good is the fraction of requests that should end well, above 0 and
		// at most 0.999999. Default: 0.999.
		Good float64 `json:"good,omitempty"`
		// Latency is the maximum duration of a good request. Default: no
		// limit.
		Latency Duration `json:"latency,omitempty"`
	}

	// Route is a set of a service's requests that share the same rules.
	Route struct {
		// Path is the path below the service. A path that ends with a slash
		// matches all paths below it; the longest match applies.
		Path string `json:"path"`
		// Methods are the HTTP methods. Default: all.
		Methods []string `json:"methods,omitempty"`
		// AllowAnonymous admits requests without a key. Default: false.
		AllowAnonymous bool `json:"open,omitempty"`
		// Idempotent is true when running a request twice has the same
		// effect as running it once. Default: false.
		Idempotent bool `json:"idempotent,omitempty"`
		// Priority determines which requests are shed first. Default: normal.
		Priority *exchanger.Priority `json:"priority,omitempty"`
		// Timeout is the maximum duration of a request, at most 10m. Callers
		// can set a shorter one. Default: 5s.
		Timeout Duration `json:"deadline,omitempty"`
	}

	// Service is one kind of backend server, with its routes and limits.
	Service struct {
		// Name is unique in the manifest and the first element of a
		// request's path.
		Name string `json:"name"`
		// Routes are the requests that the service answers, at least one.
		Routes []Route `json:"routes"`
		// MaxSlots is the maximum number of requests that one backend server
		// runs concurrently. Default: 0, only the limiter's own limit.
		MaxSlots int `json:"slots,omitempty"`
		// MaxConnections is the maximum number of connections that a node
		// opens to its backend server. Default: 0, one per slot.
		MaxConnections int `json:"connections,omitempty"`
		// MaxChainRetries is the maximum number of retries in a whole call
		// chain that starts with this service, at most 100. Default: 3.
		MaxChainRetries *int `json:"attempts,omitempty"`
		// IdempotencyKeyTTL is how long an idempotency key is kept, at most
		// 24h. Default: 10m.
		IdempotencyKeyTTL Duration `json:"replay,omitempty"`
		// Policy is "adaptive" (PolicyAdaptive) or "fixed" (PolicyFixed).
		// Default: adaptive.
		Policy string `json:"policy,omitempty"`
		// Objective is the service-level objective for customers whose class
		// has none in Objectives.
		Objective Objective `json:"objective,omitzero"`
		// Objectives are the service-level objectives for classes of
		// customers. Default: none.
		Objectives []ClassObjective `json:"objectives,omitempty"`
	}
)

// ParseManifest decodes a manifest, sets its defaults and validates all fields.
// file names the source in errors. The error joins one FieldError for each
// problem.
func ParseManifest(file string, data []byte) (m *Manifest, err error) {
	m = &Manifest{}
	s, err := decode(file, data, m)
	if err != nil {
		return nil, err
	}
	m.setDefaults()
	if problems := m.problems(); len(problems) > 0 {
		return nil, s.errors(problems)
	}
	return m, nil
}

// Validate returns an error that joins one FieldError for each problem of m. A
// field whose default is not set is a problem.
func (m *Manifest) Validate() error {
	s := &source{file: "manifest"}
	s.tree, _ = huJSONTree(m)
	return s.errors(m.problems())
}

// Customer returns the customer with that name.
func (m *Manifest) Customer(name string) (c Customer, found bool) {
	i := slices.IndexFunc(m.Customers, func(c Customer) bool { return c.Name == name })
	if i < 0 {
		return Customer{}, false
	}
	return m.Customers[i], true
}

// Service returns the service with that name.
func (m *Manifest) Service(name string) (v Service, found bool) {
	i := slices.IndexFunc(m.Services, func(v Service) bool { return v.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return m.Services[i], true
}

func (m *Manifest) setDefaults() {
	for i := range m.Services {
		m.Services[i].setDefaults()
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
		pointer := fmt.Sprintf("/services/%d", i)
		if names[v.Name] {
			found = append(found, problem{pointer + "/name", fmt.Sprintf("service %q is defined twice", v.Name)})
		}
		names[v.Name] = true
		found = append(found, v.problems(pointer)...)
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
				pointer := fmt.Sprintf("/services/%d/objectives/%d/class", i, j)
				found = append(found, problem{pointer, fmt.Sprintf("no customer has class %q", o.Class)})
			}
		}
	}
	return found
}

func (m *Manifest) customerProblems() (found []problem) {
	names := map[string]bool{}
	digests := map[string]string{}
	for i, c := range m.Customers {
		pointer := fmt.Sprintf("/customers/%d", i)
		if names[c.Name] {
			found = append(found, problem{pointer + "/name", fmt.Sprintf("customer %q is defined twice", c.Name)})
		}
		names[c.Name] = true
		found = append(found, c.problems(pointer)...)
		for j, k := range c.KeyDigests {
			if owner, taken := digests[k]; taken {
				text := fmt.Sprintf("key digest already belongs to customer %q", owner)
				found = append(found, problem{fmt.Sprintf("%s/keys/%d", pointer, j), text})
			}
			digests[k] = c.Name
		}
	}
	return found
}

func (c Customer) problems(pointer string) (found []problem) {
	if !namePattern.MatchString(c.Name) {
		found = append(found, problem{pointer + "/name", invalidNameMessage(c.Name)})
	}
	if c.Class != "" && !namePattern.MatchString(c.Class) {
		found = append(found, problem{pointer + "/class", invalidNameMessage(c.Class)})
	}
	if !(c.RatePerSecond > 0 && c.RatePerSecond <= maxRatePerSecond) {
		found = append(found, problem{pointer + "/rate", fmt.Sprintf("%v is not above 0 and at most %d", c.RatePerSecond, maxRatePerSecond)})
	}
	if !(c.BurstRequests >= 1 && c.BurstRequests <= maxRatePerSecond) {
		found = append(found, problem{pointer + "/burst", fmt.Sprintf("%v is not between 1 and %d", c.BurstRequests, maxRatePerSecond)})
	}
	for j, k := range c.KeyDigests {
		if !digestPattern.MatchString(k) {
			pointer := fmt.Sprintf("%s/keys/%d", pointer, j)
			found = append(found, problem{pointer, "not a SHA-256 digest in lower-case hexadecimal"})
		}
	}
	return found
}

func (v *Service) setDefaults() {
	if v.MaxChainRetries == nil {
		n := defaultMaxChainRetries
		v.MaxChainRetries = &n
	}
	if v.IdempotencyKeyTTL == 0 {
		v.IdempotencyKeyTTL = defaultIdempotencyKeyTTL
	}
	if v.Policy == "" {
		v.Policy = PolicyAdaptive
	}
	if v.Objective.Good == 0 {
		v.Objective.Good = defaultGoodFraction
	}
	for i := range v.Objectives {
		v.Objectives[i].setDefaults(v.Objective)
	}
	for i := range v.Routes {
		if v.Routes[i].Timeout == 0 {
			v.Routes[i].Timeout = defaultRouteTimeout
		}
		if v.Routes[i].Priority == nil {
			p := exchanger.PriorityNormal
			v.Routes[i].Priority = &p
		}
	}
}

func (v Service) problems(pointer string) (found []problem) {
	add := func(field, format string, args ...any) {
		found = append(found, problem{pointer + field, fmt.Sprintf(format, args...)})
	}
	if !namePattern.MatchString(v.Name) {
		add("/name", "%s", invalidNameMessage(v.Name))
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
	} else if *v.MaxChainRetries < 0 || *v.MaxChainRetries > maxMaxChainRetries {
		add("/attempts", "%d is not between 0 and %d", *v.MaxChainRetries, maxMaxChainRetries)
	}
	if v.IdempotencyKeyTTL < 0 || v.IdempotencyKeyTTL > maxIdempotencyKeyTTL {
		add("/replay", "%s is not between 0 and %s", v.IdempotencyKeyTTL, maxIdempotencyKeyTTL)
	}
	if v.Policy != PolicyAdaptive && v.Policy != PolicyFixed {
		add("/policy", "%q is neither %q nor %q", v.Policy, PolicyAdaptive, PolicyFixed)
	}
	found = append(found, v.Objective.problems(pointer+"/objective")...)
	found = append(found, v.objectiveProblems(pointer)...)
	return append(found, v.routeProblems(pointer)...)
}

func (v Service) objectiveProblems(pointer string) (found []problem) {
	seen := map[string]bool{}
	for i, o := range v.Objectives {
		pointer := fmt.Sprintf("%s/objectives/%d", pointer, i)
		if !namePattern.MatchString(o.Class) {
			found = append(found, problem{pointer + "/class", invalidNameMessage(o.Class)})
		}
		if seen[o.Class] {
			found = append(found, problem{pointer + "/class", fmt.Sprintf("class %q is defined twice", o.Class)})
		}
		seen[o.Class] = true
		found = append(found, o.objective().problems(pointer)...)
	}
	return found
}

func (v Service) routeProblems(pointer string) (found []problem) {
	seen := map[string]bool{}
	for i, r := range v.Routes {
		pointer := fmt.Sprintf("%s/routes/%d", pointer, i)
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, method := range methods {
			if seen[method+" "+r.Path] {
				found = append(found, problem{pointer + "/path", fmt.Sprintf("route %s %s is defined twice", method, r.Path)})
			}
			seen[method+" "+r.Path] = true
		}
		found = append(found, r.problems(pointer)...)
	}
	return found
}

// ObjectiveForClass returns the objective for customers of that class.
// classSpecific is false when the class has no objective of its own, so the
// service's objective applies.
func (v Service) ObjectiveForClass(class string) (o Objective, classSpecific bool) {
	for _, c := range v.Objectives {
		if c.Class == class {
			return c.objective(), true
		}
	}
	return v.Objective, false
}

func (c *ClassObjective) setDefaults(o Objective) {
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

func (o Objective) problems(pointer string) (found []problem) {
	if !(o.Good > 0 && o.Good <= maxGoodFraction) {
		text := fmt.Sprintf("%v is not above 0 and at most %v", o.Good, maxGoodFraction)
		found = append(found, problem{pointer + "/good", text})
	}
	if o.Latency < 0 {
		found = append(found, problem{pointer + "/latency", fmt.Sprintf("%s is below 0", o.Latency)})
	}
	return found
}

// Matches reports whether a request with that method and path belongs to route
// r.
func (r Route) Matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(path, r.Path)
	}
	return path == r.Path
}

func (r Route) problems(pointer string) (found []problem) {
	if !strings.HasPrefix(r.Path, "/") {
		found = append(found, problem{pointer + "/path", fmt.Sprintf("%q does not start with a slash", r.Path)})
	}
	for j, method := range r.Methods {
		if method == "" || method != strings.ToUpper(method) || strings.ContainsAny(method, " \t/") {
			pointer := fmt.Sprintf("%s/methods/%d", pointer, j)
			found = append(found, problem{pointer, fmt.Sprintf("%q is not an HTTP method", method)})
		}
	}
	if r.Priority == nil {
		found = append(found, problem{pointer + "/priority", "a priority is needed"})
	}
	if r.Timeout <= 0 || r.Timeout > maxRouteTimeout {
		found = append(found, problem{pointer + "/deadline", fmt.Sprintf("%s is not above 0 and at most %s", r.Timeout, maxRouteTimeout)})
	}
	return found
}

func invalidNameMessage(name string) string {
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
