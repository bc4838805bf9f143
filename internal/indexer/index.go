// Package indexer arranges the agreed state for the look-ups of the request
// path.
package indexer

import (
	"cmp"
	"slices"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/parser"
)

type (
	// Index is a state with its look-up tables. It is never changed once
	// made.
	Index struct {
		// State is the state that the tables were made from.
		State *folder.State

		customers map[string]*parser.Customer
		keys      map[string]*parser.Customer
		members   map[string][]folder.Member
		services  map[string]*Service
	}

	// Service is a service with its routes in matching order.
	Service struct {
		*parser.Service

		routes []parser.Route
	}
)

// New returns the index of a state.
func New(s *folder.State) *Index {
	x := &Index{
		State:     s,
		customers: map[string]*parser.Customer{},
		keys:      map[string]*parser.Customer{},
		members:   map[string][]folder.Member{},
		services:  map[string]*Service{},
	}
	for _, m := range s.Members {
		x.members[m.Service] = append(x.members[m.Service], m)
	}
	if s.Manifest != nil {
		x.addManifest(s.Manifest)
	}
	return x
}

// Customer returns the customer of that name; nil without one.
func (x *Index) Customer(name string) *parser.Customer {
	return x.customers[name]
}

// KeyOwner returns the customer whose key has that digest; nil without one.
func (x *Index) CustomerByKeyDigest(digest string) *parser.Customer {
	return x.keys[digest]
}

// Members returns the members that offer a service, sorted by name. The
// caller does not change the slice.
func (x *Index) Members(service string) []folder.Member {
	return x.members[service]
}

// Service returns the service of that name; nil without one.
func (x *Index) Service(name string) *Service {
	return x.services[name]
}

// Route returns the route of a request; the longest path that matches counts.
func (s *Service) MatchRoute(method, path string) (r parser.Route, found bool) {
	i := slices.IndexFunc(s.routes, func(r parser.Route) bool { return r.Matches(method, path) })
	if i < 0 {
		return parser.Route{}, false
	}
	return s.routes[i], true
}

func (x *Index) addManifest(m *parser.Manifest) {
	for i := range m.Services {
		v := &m.Services[i]
		routes := slices.Clone(v.Routes)
		slices.SortStableFunc(routes, func(a, b parser.Route) int {
			return cmp.Compare(len(b.Path), len(a.Path))
		})
		x.services[v.Name] = &Service{Service: v, routes: routes}
	}
	for i := range m.Customers {
		c := &m.Customers[i]
		x.customers[c.Name] = c
		for _, digest := range c.Keys {
			x.keys[digest] = c
		}
	}
}
