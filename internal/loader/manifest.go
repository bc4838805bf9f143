package loader

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// routeKey identifies a route of a service.
type routeKey struct {
	method, path string
}

// manifest returns the configuration for a scenario, with the given policy for
// all services.
func (s *Scenario) manifest(policy string) (m *parser.Manifest, err error) {
	defer func() { err = errors.Wrapf(err, "make manifest of scenario %q", s.Name) }()
	m = &parser.Manifest{}
	for _, v := range s.Services {
		m.Services = append(m.Services, parser.Service{
			Name:            v.Name,
			Routes:          s.routes(v.Name),
			MaxSlots:        v.Slots,
			MaxConnections:  v.MaxConnections,
			MaxChainRetries: v.MaxChainRetries,
			Policy:          policy,
		})
	}
	for _, c := range s.Customers {
		m.Customers = append(m.Customers, parser.Customer{
			Name:          c.Name,
			RatePerSecond: c.RatePerSecond,
			BurstRequests: c.BurstRequests,
			KeyDigests:    []string{authenticator.DigestKey(c.Key)},
		})
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return parser.ParseManifest(s.Name, data)
}

// routes returns the routes of a service that callers or other services call.
func (s *Scenario) routes(service string) (routes []parser.Route) {
	seen := map[routeKey]bool{}
	add := func(r parser.Route, method string) {
		if seen[routeKey{method, r.Path}] {
			return
		}
		seen[routeKey{method, r.Path}] = true
		r.Methods = []string{method}
		r.Idempotent = method == http.MethodGet
		routes = append(routes, r)
	}
	for _, f := range s.Flows {
		if f.Service == service {
			add(parser.Route{Path: f.Path, AllowAnonymous: f.Anonymous, Priority: f.Priority, Timeout: f.Timeout}, f.Method)
		}
	}
	for _, v := range s.Services {
		for _, c := range v.DownstreamCalls {
			if c.Service == service {
				add(parser.Route{Path: c.Path}, c.Method)
			}
		}
	}
	if len(routes) == 0 {
		add(parser.Route{Path: "/"}, http.MethodGet)
	}
	return routes
}
