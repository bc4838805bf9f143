// Package director looks up the route of a request, the service that runs it and the
// customer that its key belongs to, in the configuration in force.
package director

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/validator"
)

// maxHeaderLimit and maxBodyLimit are the largest limits that are accepted, in bytes.
const (
	maxHeaderLimit = 1 << 30
	maxBodyLimit   = 1 << 40
)

// Kinds of routes.
const (
	// RouteKindIdempotent routes may run a request more than once.
	RouteKindIdempotent RouteKind = "idempotent"
	// RouteKindOnce routes run a request at most once.
	RouteKindOnce RouteKind = "once"
)

type (
	// Config is the configuration that the operators publish.
	Config struct {
		// Version increases with each configuration.
		Version uint64 `json:"version"`
		// Limits bounds what a caller may send.
		Limits Limits `json:"limits"`
		// Customers have unique names and keys. Without any customer, callers need
		// no key.
		Customers []Customer `json:"customers,omitempty"`
		// Routes have unique combinations of host and prefix.
		Routes []Route `json:"routes"`
		// Services have unique names.
		Services []Service `json:"services"`
		// Omitted counts the published entries that are invalid and left out.
		Omitted Omitted `json:"omitted"`
	}

	// Omitted counts the entries that are missing from a configuration because they are
	// invalid. Requests that may belong to one of them are not refused for good.
	Omitted struct {
		// Customers, Routes and Services are the numbers of entries of each kind.
		Customers int `json:"customers,omitempty"`
		Routes    int `json:"routes,omitempty"`
		Services  int `json:"services,omitempty"`
	}

	// Customer is one tenant of the services.
	Customer struct {
		// Name is unique.
		Name string `json:"name"`
		// Keys are the API keys of the customer.
		Keys []string `json:"keys,omitempty"`
		// Priority overrides the route's priority; nil keeps the route's.
		Priority *int `json:"priority,omitempty"`
		// RatePerSecond is the allowed number of requests per second over all
		// nodes; 0 sets no limit.
		RatePerSecond float64 `json:"rate,omitempty"`
		// BurstRequests is the number of requests above the rate that may arrive
		// at once.
		BurstRequests float64 `json:"burst,omitempty"`
	}

	// RouteKind says whether a route may run a request more than once.
	RouteKind string

	// Limits bounds what a caller may send.
	Limits struct {
		// MaxHeaderBytes bounds the size of a request's header.
		MaxHeaderBytes int `json:"headerbytes"`
		// MaxBodyBytes bounds the size of a request's body.
		MaxBodyBytes int64 `json:"bodybytes"`
		// HeaderTimeout bounds the time to receive a request's header.
		HeaderTimeout time.Duration `json:"headertimeout"`
		// IdleTimeout bounds the time for which a connection may be idle.
		IdleTimeout time.Duration `json:"idletimeout"`
	}

	// WeightedService is a service that gets a share of a route's requests.
	WeightedService struct {
		// Service is the name of the service.
		Service string `json:"service"`
		// Weight is relative to the sum of the route's weights. Not negative, and
		// above 0 for at least one service of a route.
		Weight float64 `json:"weight"`
	}

	// Route configures the requests for a host whose path starts with a prefix.
	Route struct {
		// Name is the name that the operators give the route.
		Name string `json:"name"`
		// Host is in lower case, without a port.
		Host string `json:"host"`
		// Prefix starts and ends with a slash.
		Prefix string `json:"prefix"`
		// Kind says whether a request may run more than once.
		Kind RouteKind `json:"kind"`
		// Priority is the route's priority; 0 is the most important.
		Priority int `json:"priority"`
		// AllowAnonymous routes need no key.
		AllowAnonymous bool `json:"open,omitempty"`
		// WeightedServices are the services that share the requests. At least one.
		WeightedServices []WeightedService `json:"parts"`
		// Timeout bounds the time to answer a request. Above 0.
		Timeout time.Duration `json:"timeout"`
		// LatencyObjective is the longest time that a good answer takes.
		LatencyObjective time.Duration `json:"objective"`
		// MaxAttempts is the number of backend servers to which one request may be
		// sent. At least 1.
		MaxAttempts int `json:"attempts"`
		// Unusable routes are invalid apart from Host and Prefix. They run no requests,
		// and keep those that they match from the route of a shorter prefix.
		Unusable bool `json:"unusable,omitempty"`
	}

	// Service is a group of backend servers that run the same requests.
	Service struct {
		// Name is unique.
		Name string `json:"name"`
		// HealthPath is the path of the health check.
		HealthPath string `json:"health"`
		// MaxConnections is the number of connections that a backend server
		// accepts.
		MaxConnections int `json:"connections"`
		// Warmup is how long a backend server is cold after its start.
		Warmup time.Duration `json:"warmup"`
		// WarmupRatePerSecond is the number of requests per second that a cold
		// backend server has capacity for; 0 sets no limit.
		WarmupRatePerSecond float64 `json:"warmrate"`
	}
)

// Validate returns an error that names the first invalid value, or nil if the
// configuration is valid.
func (c *Config) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "configuration %d", c.Version) }()
	if err := c.Limits.validate(); err != nil {
		return err
	}
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].Name] = true
		if err := c.Services[i].Validate(); err != nil {
			return err
		}
	}
	for i := range c.Routes {
		if err := c.Routes[i].Validate(services); err != nil {
			return err
		}
	}
	keys := map[string]string{}
	for i := range c.Customers {
		customer := &c.Customers[i]
		if err := customer.Validate(keys); err != nil {
			return errors.Wrapf(err, "customer %d", i)
		}
		for _, k := range customer.Keys {
			keys[k] = customer.Name
		}
	}
	return nil
}

// Total returns the number of entries that are left out.
func (o Omitted) Total() int {
	return o.Customers + o.Routes + o.Services
}

// Validate returns an error that names the first invalid value of a customer. keys maps the
// keys of the other customers to their names.
func (c *Customer) Validate(keys map[string]string) error {
	if c.Name == "" {
		return errors.New("customer has no name")
	}
	if err := errors.CombineErrors(validator.Rate(c.RatePerSecond), validator.Quantity(c.BurstRequests, validator.MaxRate)); err != nil {
		return errors.Wrapf(err, "rate of customer %q", c.Name)
	}
	for _, k := range c.Keys {
		if owner, taken := keys[k]; taken && owner != c.Name {
			return errors.Newf("customers %q and %q have the same key", owner, c.Name)
		}
	}
	return nil
}

// Validate returns an error if the warm-up of a service is out of range.
func (s *Service) Validate() error {
	return errors.Wrapf(errors.CombineErrors(validator.Rate(s.WarmupRatePerSecond), validateDuration(s.Warmup)), "warm-up of service %q", s.Name)
}

// ClampPriority returns a configured priority, clamped to the range of priorities.
func ClampPriority(configured int) exchanger.Priority {
	return exchanger.Priority(max(0, min(configured, int(exchanger.PriorityCount)-1)))
}

func (l *Limits) validate() error {
	switch {
	case l.MaxHeaderBytes < 0 || l.MaxHeaderBytes > maxHeaderLimit:
		return errors.Newf("limit of headers is %d bytes, want 0 to %d", l.MaxHeaderBytes, maxHeaderLimit)
	case l.MaxBodyBytes < 0 || l.MaxBodyBytes > maxBodyLimit:
		return errors.Newf("limit of bodies is %d bytes, want 0 to %d", l.MaxBodyBytes, int64(maxBodyLimit))
	}
	return errors.Wrap(errors.CombineErrors(validateDuration(l.HeaderTimeout), validateDuration(l.IdleTimeout)), "limits")
}

// validateDuration returns an error if a duration is negative or too long.
func validateDuration(d time.Duration) error {
	return validator.Quantity(d.Seconds(), validator.MaxDuration.Seconds())
}

// Validate returns an error that names the first invalid value of a route. services holds the
// names of the services.
func (r *Route) Validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.Newf("route %q has no host", r.Name)
	case len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return errors.Newf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Unusable:
		return nil
	case r.Kind != RouteKindIdempotent && r.Kind != RouteKindOnce:
		return errors.Newf("route %q: kind %q is neither %q nor %q", r.Name, r.Kind, RouteKindIdempotent, RouteKindOnce)
	case r.Timeout <= 0:
		return errors.Newf("route %q: timeout %s is not above 0", r.Name, r.Timeout)
	case r.MaxAttempts < 1:
		return errors.Newf("route %q: %d attempts, want at least 1", r.Name, r.MaxAttempts)
	case len(r.WeightedServices) == 0:
		return errors.Newf("route %q has no service", r.Name)
	}
	if err := errors.CombineErrors(validateDuration(r.Timeout), validateDuration(r.LatencyObjective)); err != nil {
		return errors.Wrapf(err, "route %q", r.Name)
	}
	total := 0.0
	for _, s := range r.WeightedServices {
		if !services[s.Service] {
			return errors.Newf("route %q: service %q is unknown", r.Name, s.Service)
		}
		if err := validator.Quantity(s.Weight, validator.MaxRate); err != nil {
			return errors.Wrapf(err, "route %q: weight of service %q", r.Name, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.Newf("route %q: no service has a weight above 0", r.Name)
	}
	return nil
}
