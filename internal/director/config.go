// Package director finds the route of a request, the service that runs it and
// the customer whose key it bears, by the configuration in force.
package director

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// What may be repeated on a route.
const (
	// KindIdempotent routes may run a request more than once.
	RouteKindIdempotent RouteKind = "idempotent"
	// KindOnce routes run a request at most once.
	RouteKindOnce RouteKind = "once"
)

type (
	// Config is what the operators publish.
	Config struct {
		// Version grows with each configuration.
		Version uint64 `json:"version"`
		// Limits bound what a caller may send.
		Limits Limits `json:"limits"`
		// Customers have unique names and keys. None lets callers come
		// without a key.
		Customers []Customer `json:"customers,omitempty"`
		// Routes have unique pairs of host and prefix.
		Routes []Route `json:"routes"`
		// Services have unique names.
		Services []Service `json:"services"`
	}

	// Customer is one tenant of the services.
	Customer struct {
		// Name is unique.
		Name string `json:"name"`
		// Keys are the customer's keys.
		Keys []string `json:"keys,omitempty"`
		// Priority goes before the route's; nil leaves that.
		Priority *int `json:"priority,omitempty"`
		// Rate is the number of requests a second over all nodes; 0 sets no
		// limit.
		RatePerSecond float64 `json:"rate,omitempty"`
		// Burst is the number of requests above the rate that may come at
		// once.
		BurstRequests float64 `json:"burst,omitempty"`
	}

	// Kind says what may be repeated.
	RouteKind string

	// Limits bound what a caller may send.
	Limits struct {
		// HeaderBytes bounds the head of a request.
		MaxHeaderBytes int `json:"headerbytes"`
		// BodyBytes bounds its body.
		MaxBodyBytes int64 `json:"bodybytes"`
		// HeaderTimeout is how long the head may take.
		HeaderTimeout time.Duration `json:"headertimeout"`
		// IdleTimeout is how long a connection may be idle.
		IdleTimeout time.Duration `json:"idletimeout"`
	}

	// Part is a service that gets a part of a route's requests.
	WeightedService struct {
		// Service is the name of the service.
		Service string `json:"service"`
		// Weight is the part's share among the weights of the route. Not
		// negative, and above 0 for at least one part of a route.
		Weight float64 `json:"weight"`
	}

	// Route says what becomes of the requests of a host below a prefix.
	Route struct {
		// Name is the operators' name.
		Name string `json:"name"`
		// Host is in lower case, without a port.
		Host string `json:"host"`
		// Prefix begins and ends with a slash.
		Prefix string `json:"prefix"`
		// Kind says what may be repeated.
		Kind RouteKind `json:"kind"`
		// Priority is its rank; 0 is the highest.
		Priority int `json:"priority"`
		// Open routes need no key.
		AllowAnonymous bool `json:"open,omitempty"`
		// Parts are the services that share the requests. At least one.
		WeightedServices []WeightedService `json:"parts"`
		// Timeout is how long a caller may be kept waiting. Above 0.
		Timeout time.Duration `json:"timeout"`
		// Objective is how long a good answer takes at most.
		LatencyObjective time.Duration `json:"objective"`
		// Attempts is the number of backend servers to which one request may
		// be sent. At least 1.
		MaxAttempts int `json:"attempts"`
	}

	// Service is a group of backend servers that run the same requests.
	Service struct {
		// Name is unique.
		Name string `json:"name"`
		// Health is the path of the health check.
		HealthPath string `json:"health"`
		// Connections is the most that a backend server accepts.
		MaxConnections int `json:"connections"`
		// Warmup is how long a backend server is cold after its start.
		Warmup time.Duration `json:"warmup"`
		// WarmRate is the number of requests a second that a cold backend
		// server bears; 0 sets no limit.
		WarmupRatePerSecond float64 `json:"warmrate"`
	}
)

// Validate returns what makes the configuration unusable; nil when nothing
// does.
func (c *Config) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "configuration %d", c.Version) }()
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].Name] = true
	}
	for i := range c.Routes {
		if err := c.Routes[i].validate(services); err != nil {
			return err
		}
	}
	keys := map[string]string{}
	for i := range c.Customers {
		t := &c.Customers[i]
		if t.Name == "" {
			return errors.Newf("customer %d has no name", i)
		}
		for _, k := range t.Keys {
			if owner, taken := keys[k]; taken && owner != t.Name {
				return errors.Newf("customers %q and %q have the same key", owner, t.Name)
			}
			keys[k] = t.Name
		}
	}
	return nil
}

// Rank returns a rank of the operators as a priority.
func PriorityFromRank(rank int) exchanger.Priority {
	return exchanger.Priority(max(0, min(rank, int(exchanger.PriorityCount)-1)))
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.Newf("route %q has no host", r.Name)
	case len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return errors.Newf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Kind != RouteKindIdempotent && r.Kind != RouteKindOnce:
		return errors.Newf("route %q: kind %q is unknown", r.Name, r.Kind)
	case r.Timeout <= 0:
		return errors.Newf("route %q: timeout %s is not above 0", r.Name, r.Timeout)
	case r.MaxAttempts < 1:
		return errors.Newf("route %q: %d attempts, want at least 1", r.Name, r.MaxAttempts)
	case len(r.WeightedServices) == 0:
		return errors.Newf("route %q has no service", r.Name)
	}
	total := 0.0
	for _, p := range r.WeightedServices {
		if !services[p.Service] {
			return errors.Newf("route %q: service %q is unknown", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return errors.Newf("route %q: weight %v of service %q is negative", r.Name, p.Weight, p.Service)
		}
		total += p.Weight
	}
	if total <= 0 {
		return errors.Newf("route %q: no service has a weight above 0", r.Name)
	}
	return nil
}
