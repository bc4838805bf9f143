package admitter

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/flamingotack/flamingotack/internal/director"
)

// TestWeightsAcrossManyNodesWithFewRequests guards against wrong shares of a weighted
// route because all nodes start with the same service. A share may deviate by 0.1.
func TestWeightsAcrossManyNodesWithFewRequests(t *testing.T) {
	const nodes, maxDeviation = 420, 0.1
	route := &director.Route{Name: "book", WeightedServices: []director.WeightedService{{Service: "desk", Weight: 75}, {Service: "board", Weight: 25}}}
	for _, requests := range []int{1, 2, 3, 5} {
		random := rand.New(rand.NewPCG(1, 2))
		count := 0
		for range nodes {
			d := newWeightedRoundRobin(random)
			for range requests {
				if d.next(route) == "desk" {
					count++
				}
			}
		}
		if got, want := float64(count)/float64(nodes*requests), 0.75; math.Abs(got-want) > maxDeviation {
			t.Errorf("got share %.3f with %d requests per node, want %.2f", got, requests, want)
		}
	}
}
