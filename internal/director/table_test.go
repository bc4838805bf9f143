package director

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func testConfig() *Config {
	services := []WeightedService{{Service: "board", Weight: 1}}
	route := func(name, host, prefix string) Route {
		return Route{Name: name, Host: host, Prefix: prefix, Kind: RouteKindIdempotent, WeightedServices: services, Timeout: time.Second, MaxAttempts: 1}
	}
	return &Config{
		Version:   3,
		Customers: []Customer{{Name: "pond", Keys: []string{"k1", "k2"}}, {Name: "club", Keys: []string{"k3"}}},
		Routes: []Route{
			route("root", "a.example", "/"),
			route("slots", "a.example", "/slots/"),
			route("deep", "a.example", "/slots/deep/"),
			route("other", "b.example", "/slots/"),
		},
		Services: []Service{{Name: "board"}},
	}
}

func TestMatchRoute(t *testing.T) {
	table := NewTable(State{Revision: 1, Config: testConfig()})
	tests := []struct{ host, target, want string }{
		{"a.example", "/slots/7", "slots"},
		{"A.Example:8080", "/slots/7?x=/slots/deep/", "slots"},
		{"a.example", "/slots/deep/7", "deep"},
		{"a.example", "/slots", "root"},
		{"b.example", "/slots/", "other"},
		{"b.example", "/slot", ""},
		{"c.example", "/slots/7", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.MatchRoute(tt.host, tt.target); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s: got route %q, want %q", tt.host, tt.target, got, tt.want)
		}
	}
}

func TestCustomerByKey(t *testing.T) {
	table := NewTable(State{Config: testConfig()})
	for key, want := range map[string]string{"k1": "pond", "k2": "pond", "k3": "club"} {
		if got := table.CustomerByKey(key); got == nil || got.Name != want {
			t.Errorf("key %s: got customer %v, want %s", key, got, want)
		}
	}
	if got := table.CustomerByKey("k4"); got != nil {
		t.Errorf("got customer %v for an unknown key, want none", got)
	}
}

func TestValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *Config)
		want   string
	}{
		{"valid", func(*Config) {}, ""},
		{"no host", func(c *Config) { c.Routes[0].Host = "" }, "no host"},
		{"prefix without slash", func(c *Config) { c.Routes[0].Prefix = "/slots" }, "slash"},
		{"unknown kind", func(c *Config) { c.Routes[0].Kind = "odd" }, `kind "odd"`},
		{"no timeout", func(c *Config) { c.Routes[0].Timeout = 0 }, "timeout"},
		{"no attempts", func(c *Config) { c.Routes[0].MaxAttempts = 0 }, "attempts"},
		{"no service", func(c *Config) { c.Routes[0].WeightedServices = nil }, "no service"},
		{"unknown service", func(c *Config) { c.Routes[1].WeightedServices = []WeightedService{{Service: "x", Weight: 1}} }, `service "x"`},
		{"no weight", func(c *Config) { c.Routes[1].WeightedServices = []WeightedService{{Service: "board"}} }, "weight"},
		{"key shared by two customers", func(c *Config) { c.Customers[1].Keys = []string{"k1"} }, "same key"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := testConfig()
			tt.change(c)
			err := c.Validate()
			if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

// manyRoutes returns a configuration with count additional routes of one host.
func manyRoutes(count int) *Config {
	c := testConfig()
	for i := range count {
		c.Routes = append(c.Routes, Route{
			Name: fmt.Sprint("added", i), Host: "a.example", Prefix: fmt.Sprintf("/added%d/", i),
			Kind: RouteKindIdempotent, WeightedServices: c.Routes[0].WeightedServices, Timeout: time.Second, MaxAttempts: 1,
		})
	}
	return c
}

// TestMatchRouteInLargeConfiguration checks that the first, the last and the longest matching
// of many routes are found.
func TestMatchRouteInLargeConfiguration(t *testing.T) {
	const count = 10_000
	table := NewTable(State{Revision: 1, Config: manyRoutes(count)})
	for target, want := range map[string]string{
		"/added0/x":              "added0",
		"/added9999/x":           "added9999",
		"/added99/x":             "added99",
		"/added10000/x":          "root",
		"/slots/deep/added0/":    "deep",
		"/added9999?/added9998/": "root",
	} {
		if got := table.MatchRoute("a.example", target); got == nil || got.Name != want {
			t.Errorf("%s: got route %v, want %s", target, got, want)
		}
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, count := range []int{10, 1_000, 10_000} {
		table := NewTable(State{Revision: 1, Config: manyRoutes(count)})
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				if table.MatchRoute("a.example", "/slots/7") == nil {
					b.Fatal("got no route, want one")
				}
			}
		})
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, count := range []int{10, 1_000, 10_000} {
		s := State{Revision: 1, Config: manyRoutes(count)}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				NewTable(s)
			}
		})
	}
}
