package admitter

import (
	"math/rand/v2"
	"sync"

	"github.com/flamingotack/flamingotack/internal/director"
)

// maxInitialTurns bounds the turns that are skipped before the first request of a
// route. It is a multiple of the number of turns after which weights in percent
// repeat.
const maxInitialTurns = 1000

// weightedRoundRobin distributes the requests of weighted routes over their services.
// It uses smooth weighted round-robin, so that each service gets its share of any short
// run of requests. It starts at a random position: otherwise many nodes with few
// requests each would all start with the heaviest service. Create it with
// newWeightedRoundRobin. It is safe for concurrent use.
type weightedRoundRobin struct {
	mu     sync.Mutex
	random *rand.Rand
	// credits holds the current weights of the services of each route, by route name.
	credits map[string][]float64
}

func newWeightedRoundRobin(random *rand.Rand) *weightedRoundRobin {
	return &weightedRoundRobin{random: random, credits: map[string][]float64{}}
}

// next returns the service of the route's next request.
func (d *weightedRoundRobin) next(r *director.Route) (service string) {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	credits := d.credits[r.Name]
	if len(credits) != len(r.WeightedServices) {
		credits = make([]float64, len(r.WeightedServices))
		d.credits[r.Name] = credits
		for range d.random.IntN(maxInitialTurns) {
			nextIndex(credits, r.WeightedServices)
		}
	}
	return r.WeightedServices[nextIndex(credits, r.WeightedServices)].Service
}

// nextIndex advances the credits by one turn and returns the index of the chosen service.
func nextIndex(credits []float64, services []director.WeightedService) (best int) {
	total := 0.0
	for i, s := range services {
		total += s.Weight
		credits[i] += s.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return best
}
