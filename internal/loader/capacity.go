package loader

import (
	"math"
	"slices"
)

const maxChain = 64

// capacity tells what the backend servers bear while some events last.
type capacity struct {
	scenario *Scenario
	active   []Event
}

// bears returns the number of whole requests a second that the servers bear
// when that many are asked for, by flow. All flows get the same part of what
// they ask for until a service that they use is full.
func (c capacity) bears(offered []float64) (total float64) {
	flows := c.scenario.Flows
	use := make([]map[string]float64, len(flows))
	good := make([]float64, len(flows))
	for i, f := range flows {
		use[i] = map[string]float64{}
		good[i] = 1
		c.visit(f.Service, f.Path, f.SelfCallDepth, maxChain, use[i], &good[i])
	}
	served := make([]float64, len(flows))
	frozen := make([]bool, len(flows))
	free := c.slots()
	for level := 0.0; level < 1 && slices.Contains(frozen, false); {
		step, full := c.nextFull(use, offered, frozen, free, 1-level)
		level += step
		for i := range flows {
			if frozen[i] {
				continue
			}
			served[i] += step * offered[i]
			for service, slots := range use[i] {
				free[service] -= step * offered[i] * slots
			}
		}
		for i := range flows {
			frozen[i] = frozen[i] || use[i][full] > 0
		}
		if full == "" {
			break
		}
	}
	for i := range flows {
		total += served[i] * good[i]
	}
	return total
}

// nextFull returns how much more of the offered requests can be served until
// a service is full, at most limit, and that service; "" when none is.
func (c capacity) nextFull(use []map[string]float64, offered []float64, frozen []bool, free map[string]float64, limit float64) (step float64, full string) {
	step = limit
	for service, slots := range free {
		demand := 0.0
		for i := range use {
			if !frozen[i] {
				demand += offered[i] * use[i][service]
			}
		}
		if demand > 0 && max(0, slots)/demand < step {
			step, full = max(0, slots)/demand, service
		}
	}
	return step, full
}

// slots returns the slots of each service's servers that take work.
func (c capacity) slots() map[string]float64 {
	free := map[string]float64{}
	for _, v := range c.scenario.Services {
		free[v.Name] = float64(v.Slots) * float64(len(c.inService(&v)))
	}
	return free
}

// inService returns the numbers of a service's servers that are in service.
func (c capacity) inService(v *Service) (numbers []int) {
	for n := range v.ServerCount {
		out := slices.ContainsFunc(c.active, func(e Event) bool {
			return e.takesOut() && e.hits(c.scenario, v, n)
		})
		if !out {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// visit adds the slot-seconds that a request needs at each service, and
// returns how long it takes.
func (c capacity) visit(service, path string, hops, depth int, use map[string]float64, good *float64) (seconds float64) {
	v := c.scenario.service(service)
	if v == nil || depth == 0 {
		return 0
	}
	seconds = v.MedianServiceTime.Std().Seconds() * math.Exp(v.ServiceTimeLogStdDev*v.ServiceTimeLogStdDev/2) * c.slow(v)
	*good *= 1 - c.failing(v)
	if hops > 0 {
		seconds += c.visit(service, path, hops-1, depth-1, use, good)
	}
	for _, call := range v.calls(path) {
		seconds += c.visit(call.Service, call.Path, 0, depth-1, use, good)
	}
	use[service] += seconds
	return seconds
}

// slow returns the mean factor on the work of a service. A slow server does
// less, so the mean is that of its speed.
func (c capacity) slow(v *Service) float64 {
	numbers := c.inService(v)
	if len(numbers) == 0 {
		return 1
	}
	speed := 0.0
	for _, n := range numbers {
		factor := 1.0
		for _, e := range c.active {
			if e.Kind == EventSlowdown && e.hits(c.scenario, v, n) {
				factor *= e.Factor
			}
		}
		speed += 1 / factor
	}
	return float64(len(numbers)) / speed
}

func (c capacity) failing(v *Service) (part float64) {
	for n := range v.ServerCount {
		for _, e := range c.active {
			if e.Kind == EventFailAnswers && e.hits(c.scenario, v, n) {
				part += e.Factor / float64(v.ServerCount)
			}
		}
	}
	return min(1, part)
}

// hits tells whether the event hits a server of a service.
func (e Event) hits(s *Scenario, v *Service, number int) bool {
	return (e.Service == "" || e.Service == v.Name) &&
		(e.Server == "" || e.Server == serverName(v.Name, number)) &&
		(e.Domain == "" || e.Domain == s.Domains[number%len(s.Domains)])
}

// takesOut tells whether the event takes servers out of service.
func (e Event) takesOut() bool {
	return e.Kind == EventDomainOutage || e.Kind == EventServerOutage || e.Kind == EventPlannedStop
}

// fairShares divides total among demands: nobody gets more than it asks for,
// and nobody could get more without another, who has no more, getting less.
func fairShares(total float64, demands []float64) (shares []float64) {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demands[a] < demands[b] {
			return -1
		}
		return 1
	})
	shares = make([]float64, len(demands))
	for n, i := range order {
		shares[i] = min(demands[i], total/float64(len(order)-n))
		total -= shares[i]
	}
	return shares
}
