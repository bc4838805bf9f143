package admitter

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/flamingotack/flamingotack/internal/director"
)

// TestManyNodesWithFewRequestsKeepTheShares guards against shares of a weighted
// route that are off because all nodes begin with the same part. A part's share may
// be a tenth off.
func TestWeightsAcrossManyNodesWithFewRequests(t *testing.T) {
	const nodes, most = 420, 0.1
	route := &director.Route{Name: "book", Parts: []director.Part{{Service: "desk", Weight: 75}, {Service: "board", Weight: 25}}}
	for _, requests := range []int{1, 2, 3, 5} {
		random := rand.New(rand.NewPCG(1, 2))
		count := 0
		for range nodes {
			d := newDealer(random)
			for range requests {
				if d.deal(route) == "desk" {
					count++
				}
			}
		}
		if got, want := float64(count)/float64(nodes*requests), 0.75; math.Abs(got-want) > most {
			t.Errorf("got share %.3f with %d requests a node, want %.2f", got, requests, want)
		}
	}
}
