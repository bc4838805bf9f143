package prover

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/authenticator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// customer is a customer of a test manifest. An empty key leaves it without one.
type customer struct {
	name          string
	key           string
	ratePerSecond float64
	burstRequests float64
}

// defaultMaxStateAge returns the default of the setting freshness, the maximum
// age of a node's state.
func defaultMaxStateAge(t *testing.T) time.Duration {
	t.Helper()
	s := parser.Settings{}
	s.SetDefaults()
	return s.MaxStateAge.Std()
}

// manifestWith returns a manifest with the services of the tests and the given
// customers. The routes of slotboard are idempotent, those of bookdesk are not.
func manifestWith(customers ...customer) string {
	m := parser.Manifest{Services: []parser.Service{
		{Name: "slotboard", MaxSlots: 20, Routes: []parser.Route{
			{Path: "/open/", AllowAnonymous: true, Idempotent: true},
			{Path: "/low/", Idempotent: true, Priority: priorityPointer(exchanger.PriorityLow)},
			{Path: "/", Idempotent: true},
		}},
		{Name: "bookdesk", MaxSlots: 20, Routes: []parser.Route{
			{Path: "/", Priority: priorityPointer(exchanger.PriorityHigh)},
		}},
	}}
	for _, c := range customers {
		parsed := parser.Customer{Name: c.name, RatePerSecond: c.ratePerSecond, BurstRequests: c.burstRequests}
		if c.key != "" {
			parsed.KeyDigests = []string{authenticator.DigestKey(c.key)}
		}
		m.Customers = append(m.Customers, parsed)
	}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func priorityPointer(p exchanger.Priority) *exchanger.Priority {
	return &p
}
