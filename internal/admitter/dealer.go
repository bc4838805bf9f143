package admitter

import (
	"math/rand/v2"
	"sync"

	"github.com/flamingotack/flamingotack/internal/director"
)

// mostAhead bounds the turns that a dealer takes before the first request of a
// route. It is a multiple of the turns after which weights in percent repeat.
const mostAhead = 1000

// dealer deals the requests of weighted routes to their parts, so that each part
// gets its share of any few requests in a row (smooth weighted round-robin). It
// begins at a random place of that order, as many nodes with a few requests each
// would otherwise all begin with the heaviest part. Make it by newDealer. It is safe
// for concurrent use.
type dealer struct {
	mu     sync.Mutex
	random *rand.Rand
	// credits are what the parts of each route have to get yet, by its name.
	credits map[string][]float64
}

func newDealer(random *rand.Rand) *dealer {
	return &dealer{random: random, credits: map[string][]float64{}}
}

// deal returns the service that gets the next request of a route.
func (d *dealer) deal(r *director.Route) (service string) {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	credits := d.credits[r.Name]
	if len(credits) != len(r.WeightedServices) {
		credits = make([]float64, len(r.WeightedServices))
		d.credits[r.Name] = credits
		for range d.random.IntN(mostAhead) {
			turn(credits, r.WeightedServices)
		}
	}
	return r.WeightedServices[turn(credits, r.WeightedServices)].Service
}

// turn takes one turn and returns the index of the part that gets it.
func turn(credits []float64, parts []director.WeightedService) (best int) {
	total := 0.0
	for i, p := range parts {
		total += p.Weight
		credits[i] += p.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return best
}
