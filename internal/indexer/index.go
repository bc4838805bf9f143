// Package indexer builds the lookup tables that the request path needs from the
// agreed state.
package indexer

import (
	"cmp"
	"slices"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/parser"
)

type (
	// Index is a state with its lookup tables. It is immutable.
	Index struct {
		// State is the state that the tables are built from.
		State *folder.State

		customersByName      map[string]*parser.Customer
		customersByKeyDigest map[string]*parser.Customer
		membersByService     map[string][]folder.Member
		servicesByName       map[string]*Service
	}

	// Service is a service with its routes in matching order, the longest path
	// first.
	Service struct {
		*parser.Service

		routes []parser.Route
	}
)

// New returns the index of a state.
func New(s *folder.State) *Index {
	x := &Index{
		State:                s,
		customersByName:      map[string]*parser.Customer{},
		customersByKeyDigest: map[string]*parser.Customer{},
		membersByService:     map[string][]folder.Member{},
		servicesByName:       map[string]*Service{},
	}
	for _, m := range s.Members {
		x.membersByService[m.Service] = append(x.membersByService[m.Service], m)
	}
	if s.Manifest != nil {
		x.addManifest(s.Manifest)
	}
	return x
}

// Customer returns the customer of that name; nil when it is unknown.
func (x *Index) Customer(name string) *parser.Customer {
	return x.customersByName[name]
}

// CustomerByKeyDigest returns the customer whose key has that digest; nil when
// the digest is unknown.
func (x *Index) CustomerByKeyDigest(digest string) *parser.Customer {
	return x.customersByKeyDigest[digest]
}

// Members returns the members that offer a service, sorted by name. The caller
// must not modify the slice.
func (x *Index) Members(service string) []folder.Member {
	return x.membersByService[service]
}

// Service returns the service of that name; nil when it is unknown.
func (x *Index) Service(name string) *Service {
	return x.servicesByName[name]
}

// MatchRoute returns the route of a request. When several routes match, it is the
// one with the longest path.
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
		x.servicesByName[v.Name] = &Service{Service: v, routes: routes}
	}
	for i := range m.Customers {
		c := &m.Customers[i]
		x.customersByName[c.Name] = c
		for _, digest := range c.KeyDigests {
			x.customersByKeyDigest[digest] = c
		}
	}
}
