package loader

import (
	"math"
	"slices"
)

const maxCallDepth = 64

// capacityModel calculates the throughput of the backend servers while some
// events are active.
type capacityModel struct {
	scenario     *Scenario
	activeEvents []Event
}

// throughput returns the number of whole requests per second that the servers
// can serve for the given offered requests per second, by flow. All flows get
// the same fraction of their offered requests until a service that they use is
// saturated.
func (c capacityModel) throughput(offered []float64) (total float64) {
	flows := c.scenario.Flows
	demands := make([]map[string]float64, len(flows))
	answeredFraction := make([]float64, len(flows))
	for i, f := range flows {
		demands[i] = map[string]float64{}
		answeredFraction[i] = 1
		c.addDemand(f.Service, f.Path, f.SelfCallDepth, maxCallDepth, demands[i], &answeredFraction[i])
	}
	served := make([]float64, len(flows))
	saturated := make([]bool, len(flows))
	freeSlots := c.slotsByService()
	for level := 0.0; level < 1 && slices.Contains(saturated, false); {
		step, full := c.nextSaturated(demands, offered, saturated, freeSlots, 1-level)
		level += step
		for i := range flows {
			if saturated[i] {
				continue
			}
			served[i] += step * offered[i]
			for service, slots := range demands[i] {
				freeSlots[service] -= step * offered[i] * slots
			}
		}
		for i := range flows {
			saturated[i] = saturated[i] || demands[i][full] > 0
		}
		if full == "" {
			break
		}
	}
	for i := range flows {
		total += served[i] * answeredFraction[i]
	}
	return total
}

// nextSaturated returns the additional fraction of the offered requests, at
// most limit, that can be served until a service is saturated, and the name of
// that service. The name is "" if no service saturates.
func (c capacityModel) nextSaturated(demands []map[string]float64, offered []float64, saturated []bool, freeSlots map[string]float64, limit float64) (step float64, full string) {
	step = limit
	for service, slots := range freeSlots {
		demand := 0.0
		for i := range demands {
			if !saturated[i] {
				demand += offered[i] * demands[i][service]
			}
		}
		if demand > 0 && max(0, slots)/demand < step {
			step, full = max(0, slots)/demand, service
		}
	}
	return step, full
}

// slotsByService returns the number of slots of each service's servers that
// are in service.
func (c capacityModel) slotsByService() map[string]float64 {
	slots := map[string]float64{}
	for _, v := range c.scenario.Services {
		slots[v.Name] = float64(v.Slots) * float64(len(c.serversInService(&v)))
	}
	return slots
}

// serversInService returns the indexes of a service's servers that are in
// service.
func (c capacityModel) serversInService(v *Service) (numbers []int) {
	for n := range v.ServerCount {
		outOfService := slices.ContainsFunc(c.activeEvents, func(e Event) bool {
			return e.takesOutOfService() && e.affects(c.scenario, v, n)
		})
		if !outOfService {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// addDemand adds the slot-seconds that a request needs at each service to
// demand, and returns the duration of the request in seconds. It multiplies
// answeredFraction by the fraction of answers that do not fail.
func (c capacityModel) addDemand(service, path string, selfCallDepth, depthLeft int, demand map[string]float64, answeredFraction *float64) (seconds float64) {
	v := c.scenario.findService(service)
	if v == nil || depthLeft == 0 {
		return 0
	}
	seconds = v.MedianServiceTime.Std().Seconds() * math.Exp(v.ServiceTimeLogStdDev*v.ServiceTimeLogStdDev/2) * c.meanSlowdown(v)
	*answeredFraction *= 1 - c.failureFraction(v)
	if selfCallDepth > 0 {
		seconds += c.addDemand(service, path, selfCallDepth-1, depthLeft-1, demand, answeredFraction)
	}
	for _, call := range v.callsForPath(path) {
		seconds += c.addDemand(call.Service, call.Path, 0, depthLeft-1, demand, answeredFraction)
	}
	demand[service] += seconds
	return seconds
}

// meanSlowdown returns the mean factor on the service time of a service. A
// slow server serves fewer requests, so this is the harmonic mean of the
// factors of all servers.
func (c capacityModel) meanSlowdown(v *Service) float64 {
	numbers := c.serversInService(v)
	if len(numbers) == 0 {
		return 1
	}
	speed := 0.0
	for _, n := range numbers {
		factor := 1.0
		for _, e := range c.activeEvents {
			if e.Kind == EventSlowdown && e.affects(c.scenario, v, n) {
				factor *= e.Factor
			}
		}
		speed += 1 / factor
	}
	return float64(len(numbers)) / speed
}

func (c capacityModel) failureFraction(v *Service) (fraction float64) {
	for n := range v.ServerCount {
		for _, e := range c.activeEvents {
			if e.Kind == EventFailAnswers && e.affects(c.scenario, v, n) {
				fraction += e.Factor / float64(v.ServerCount)
			}
		}
	}
	return min(1, fraction)
}

// affects reports whether the event affects the server of a service with that
// index.
func (e Event) affects(s *Scenario, v *Service, index int) bool {
	return (e.Service == "" || e.Service == v.Name) &&
		(e.Server == "" || e.Server == serverName(v.Name, index)) &&
		(e.Domain == "" || e.Domain == s.Domains[index%len(s.Domains)])
}

// takesOutOfService reports whether the event takes servers out of service.
func (e Event) takesOutOfService() bool {
	return e.Kind == EventDomainOutage || e.Kind == EventServerOutage || e.Kind == EventPlannedStop
}

// fairShares returns the max-min fair allocation of total: no share exceeds
// its demand, and no share can grow unless a share that is no larger shrinks.
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
