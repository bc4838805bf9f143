package prover

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// customer is a customer of a test manifest.
type customer struct {
	name  string
	key   string
	rate  float64
	burst float64
}

// parseFreshness returns the freshness that nodes have by default.
func parseFreshness(t *testing.T) time.Duration {
	t.Helper()
	s := parser.Settings{}
	s.Fill()
	return s.Freshness.Std()
}

// manifestOf returns a manifest with the services of the tests. slotboard
// answers idempotent requests, bookdesk others.
func manifestOf(customers ...customer) string {
	m := parser.Manifest{Services: []parser.Service{
		{Name: "slotboard", Slots: 20, Routes: []parser.Route{
			{Path: "/open/", Open: true, Idempotent: true},
			{Path: "/low/", Idempotent: true, Priority: priority(exchanger.PriorityLow)},
			{Path: "/", Idempotent: true},
		}},
		{Name: "bookdesk", Slots: 20, Routes: []parser.Route{
			{Path: "/", Priority: priority(exchanger.PriorityHigh)},
		}},
	}}
	for _, c := range customers {
		one := parser.Customer{Name: c.name, Rate: c.rate, Burst: c.burst}
		if c.key != "" {
			one.Keys = []string{authenticator.DigestKey(c.key)}
		}
		m.Customers = append(m.Customers, one)
	}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func priority(p exchanger.Priority) *exchanger.Priority {
	return &p
}
