package director

import (
	"slices"
	"strings"
)

type (
	// State is what all nodes agree on: the newest configuration and the
	// failure domains that are out of service.
	State struct {
		// Revision grows with each change. A state with a higher one
		// replaces this.
		Revision uint64 `json:"revision"`
		// Config is the newest configuration; nil before the first.
		Config *Config `json:"config,omitempty"`
		// Evacuated are the failure domains that get no work.
		EvacuatedDomains []string `json:"evacuated,omitempty"`
	}

	// Table arranges a State for look-ups. It is immutable.
	Table struct {
		// State is what the table was made of.
		State State

		hosts     map[string]*prefixes
		customers map[string]*Customer
		owners    map[string]*Customer
		services  map[string]*Service
		names     map[string]*Route
	}
)

// NewTable returns the table of a state with a valid configuration or none.
func NewTable(s State) *Table {
	t := &Table{
		State:     s,
		hosts:     map[string]*prefixes{},
		customers: map[string]*Customer{},
		owners:    map[string]*Customer{},
		services:  map[string]*Service{},
		names:     map[string]*Route{},
	}
	if s.Config == nil {
		return t
	}
	for i := range s.Config.Routes {
		r := &s.Config.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = &prefixes{routes: map[string]*Route{}}
		}
		t.hosts[r.Host].add(r)
		t.names[r.Name] = r
	}
	for i := range s.Config.Customers {
		c := &s.Config.Customers[i]
		t.customers[c.Name] = c
		for _, k := range c.Keys {
			t.owners[k] = c
		}
	}
	for i := range s.Config.Services {
		t.services[s.Config.Services[i].Name] = &s.Config.Services[i]
	}
	return t
}

// Version returns the version of the configuration; 0 without one.
func (s State) Version() uint64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

// Customer returns the customer of that name; nil for an unknown one.
func (t *Table) Customer(name string) *Customer {
	return t.customers[name]
}

// Evacuated reports whether the failure domain gets no work.
func (t *Table) IsEvacuated(domain string) bool {
	return slices.Contains(t.State.EvacuatedDomains, domain)
}

// Keyed reports whether routes that are not open need a key.
func (t *Table) RequiresKeys() bool {
	return len(t.customers) > 0
}

// Named returns the route of that name; nil for an unknown one.
func (t *Table) RouteByName(name string) *Route {
	return t.names[name]
}

// Owner returns the customer that holds a key; nil for an unknown one.
func (t *Table) CustomerByKey(key string) *Customer {
	return t.owners[key]
}

// Ready reports whether there is a configuration.
func (t *Table) HasConfig() bool {
	return t.State.Config != nil
}

// Route returns the route with the longest prefix of the target's path; nil
// without one.
func (t *Table) MatchRoute(host, target string) *Route {
	known := t.hosts[strings.ToLower(withoutPort(host))]
	if known == nil {
		return nil
	}
	path, _, _ := strings.Cut(target, "?")
	return known.longest(path)
}

// Service returns the service of that name; nil for an unknown one.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
