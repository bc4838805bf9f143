package director

import (
	"slices"
	"strings"
)

type (
	// State is the state that all nodes agree on: the newest configuration and the
	// failure domains that are out of service.
	State struct {
		// Era is that of the directory from which the state was read. It rises when
		// the directory is restored from an older copy, and revisions then go back.
		Era uint64 `json:"era,omitempty"`
		// Revision increases with each change in an era. Position says which of two
		// states replaces the other.
		Revision uint64 `json:"revision"`
		// PriorRevision is the revision of the previous era whose content the state
		// keeps, plus the prior revision in that era; 0 in the first era and if the
		// content is that of the copy.
		PriorRevision uint64 `json:"prior,omitempty"`
		// Written maps the parts of the state that were written in this era to their
		// revisions. It is complete for revisions from WrittenFrom on, and nil in
		// the first era. Unless WrittenComplete is set, parts at earlier revisions may be
		// records of the copy.
		Written     map[string]uint64 `json:"written,omitempty"`
		WrittenFrom uint64            `json:"writtenfrom,omitempty"`
		// WrittenComplete reports whether WrittenFrom is the end of the copy, so that Written
		// has all parts that were written in this era.
		WrittenComplete bool `json:"exact,omitempty"`
		// Config is the newest configuration; nil before the first.
		Config *Config `json:"config,omitempty"`
		// EvacuatedDomains are the failure domains that get no requests.
		EvacuatedDomains []string `json:"evacuated,omitempty"`
		// Rollouts are the orders of rollouts, at most one for each service.
		Rollouts []Rollout `json:"rollouts,omitempty"`
	}

	// Table indexes a State for lookups. It is immutable.
	Table struct {
		// State is the state that the table indexes.
		State State

		routesByHost    map[string]*prefixIndex
		customersByName map[string]*Customer
		customersByKey  map[string]*Customer
		servicesByName  map[string]*Service
		routesByName    map[string]*Route
	}
)

// NewTable returns the table of a state, which has a valid configuration or none.
func NewTable(s State) *Table {
	t := &Table{
		State:           s,
		routesByHost:    map[string]*prefixIndex{},
		customersByName: map[string]*Customer{},
		customersByKey:  map[string]*Customer{},
		servicesByName:  map[string]*Service{},
		routesByName:    map[string]*Route{},
	}
	if s.Config == nil {
		return t
	}
	for i := range s.Config.Routes {
		r := &s.Config.Routes[i]
		if t.routesByHost[r.Host] == nil {
			t.routesByHost[r.Host] = &prefixIndex{routes: map[string]*Route{}}
		}
		t.routesByHost[r.Host].add(r)
		if !r.Unusable {
			t.routesByName[r.Name] = r
		}
	}
	for i := range s.Config.Customers {
		c := &s.Config.Customers[i]
		t.customersByName[c.Name] = c
		for _, k := range c.Keys {
			t.customersByKey[k] = c
		}
	}
	for i := range s.Config.Services {
		t.servicesByName[s.Config.Services[i].Name] = &s.Config.Services[i]
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

// Customer returns the customer of that name, or nil if it is unknown.
func (t *Table) Customer(name string) *Customer {
	return t.customersByName[name]
}

// IsEvacuated reports whether the failure domain gets no requests.
func (t *Table) IsEvacuated(domain string) bool {
	return slices.Contains(t.State.EvacuatedDomains, domain)
}

// RequiresKeys reports whether routes that do not allow anonymous callers need a key.
func (t *Table) RequiresKeys() bool {
	return len(t.customersByName) > 0 || t.Omitted().Customers > 0
}

// Omitted counts the invalid entries that the configuration leaves out.
func (t *Table) Omitted() Omitted {
	if t.State.Config == nil {
		return Omitted{}
	}
	return t.State.Config.Omitted
}

// RouteByName returns the route of that name, or nil if it is unknown.
func (t *Table) RouteByName(name string) *Route {
	return t.routesByName[name]
}

// CustomerByKey returns the customer that a key belongs to, or nil if the key is unknown.
func (t *Table) CustomerByKey(key string) *Customer {
	return t.customersByKey[key]
}

// HasConfig reports whether there is a configuration.
func (t *Table) HasConfig() bool {
	return t.State.Config != nil
}

// MatchRoute returns the route of a host with the longest matching prefix of the target's
// path, or nil if none matches.
func (t *Table) MatchRoute(host, target string) *Route {
	index := t.routesByHost[strings.ToLower(withoutPort(host))]
	if index == nil {
		return nil
	}
	path, _, _ := strings.Cut(target, "?")
	return index.longestMatch(path)
}

// Service returns the service of that name, or nil if it is unknown.
func (t *Table) Service(name string) *Service {
	return t.servicesByName[name]
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
