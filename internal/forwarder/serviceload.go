package forwarder

import (
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/retrier"
)

const (
	// pressureInterval is the least time between two updates of the pressure on
	// the services.
	pressureInterval = 50 * time.Millisecond
	// loadTTL is how long a node's load report is valid.
	loadTTL = 5 * time.Second
	// minHealthyFraction is the fraction of a service's capacity that must be
	// healthy for work to be admitted by the healthy capacity alone. Below it, it is
	// better to start chains on servers where some calls fail than not at all.
	minHealthyFraction = 0.15
)

type (
	// loadReport is the newest load that a node reported.
	loadReport struct {
		service, incarnation string
		load                 guardian.LoadReport
		receivedAt           time.Time
	}

	// serviceLoad is the sum of the reports of a service's nodes.
	serviceLoad struct {
		// offeredSlots is the offered work. capacitySlots is the work that the servers
		// can handle, and healthySlots that of servers that are not failing.
		offeredSlots, capacitySlots, healthySlots float64
		// warmSlots is the work that the servers can handle once all are warm, and
		// coldSlots the part of it of those that are still cold.
		warmSlots, coldSlots float64
		// callTime is the sum of the mean durations of a call, and nodes the number of
		// nodes.
		callTime time.Duration
		nodes    int
	}
)

// updatePressure reports the load and capacity of each service to the regulator,
// scaled up from the nodes that are selected for calls. The caller must hold f.mu.
func (f *Forwarder) updatePressure(now time.Time) {
	if now.Sub(f.pressureUpdatedAt) < pressureInterval {
		return
	}
	elapsed := now.Sub(f.pressureUpdatedAt)
	f.pressureUpdatedAt = now
	f.regulator.NodeCount = len(f.members)
	loads := map[string]*serviceLoad{}
	for name, r := range f.loads {
		if !f.countsLoad(name, r, now) {
			continue
		}
		if loads[r.service] == nil {
			loads[r.service] = &serviceLoad{}
		}
		loads[r.service].add(r, now)
	}
	for service, l := range loads {
		f.coldServices[service] = l.coldSlots > l.warmSlots/2
		f.serviceCallTime[service] = l.callTime / time.Duration(l.nodes)
		scale := max(1, f.nodesPerSelected[service])
		f.averageOffered(service, scale*l.offeredSlots, elapsed)
		f.regulator.ReportLoad(now, service, scale*l.offeredSlots, scale*l.admissibleSlots())
	}
}

// countsLoad reports whether a node's report counts: it is current, and the node takes calls
// of this one. The caller must hold f.mu.
func (f *Forwarder) countsLoad(name string, r loadReport, now time.Time) bool {
	return f.selected[name] && !r.load.Closed && now.Sub(r.receivedAt) <= loadTTL && f.countsVersion(now, r.service, r.load.Version)
}

// add adds a report that was received up to now.
func (l *serviceLoad) add(r loadReport, now time.Time) {
	l.offeredSlots += r.load.OfferedSlots
	l.capacitySlots += r.load.CapacitySlots
	if !r.load.Failing {
		l.healthySlots += r.load.CapacitySlots
	}
	l.warmSlots += r.load.WarmSlots
	if r.warmAt().After(now) {
		l.coldSlots += r.load.WarmSlots
	}
	l.callTime += r.load.MeanServiceTime
	l.nodes++
}

// admissibleSlots returns the capacity by which work is admitted.
func (l *serviceLoad) admissibleSlots() float64 {
	if l.healthySlots >= minHealthyFraction*l.capacitySlots {
		return l.healthySlots
	}
	return l.capacitySlots
}

// serviceClosed reports whether every node of a service reports that its backend
// server takes no requests. A node without a current report may have a server that
// takes them. The caller must hold f.mu.
func (f *Forwarder) serviceClosed(service string, now time.Time) bool {
	if service == f.Self.Service {
		return false
	}
	for _, name := range f.nodesByService[service] {
		r, found := f.loads[name]
		if !found || !r.load.Closed || now.Sub(r.receivedAt) > loadTTL {
			return false
		}
	}
	return true
}

// recoveryOf returns when half of the capacity of a service's servers that take requests is
// warm, with this node's part of the capacity. It returns false if that is so already. The
// caller must hold f.mu.
func (f *Forwarder) recoveryOf(service string, now time.Time) (r retrier.Recovery, cold bool) {
	var warming []loadReport
	total := 0.0
	for name, l := range f.loads {
		if l.service != service || !f.countsLoad(name, l, now) {
			continue
		}
		total += l.load.WarmSlots
		if l.warmAt().After(now) {
			warming = append(warming, l)
		}
	}
	slices.SortFunc(warming, func(a, b loadReport) int { return a.warmAt().Compare(b.warmAt()) })
	warm := total
	for _, l := range warming {
		warm -= l.load.WarmSlots
	}
	for i := 0; i < len(warming) && warm < total/2; i++ {
		warm += warming[i].load.WarmSlots
		r.At, cold = warming[i].warmAt(), true
	}
	r.Slots = max(1, f.nodesPerSelected[service]) * warm / float64(max(1, len(f.members)))
	return r, cold
}

// warmAt returns when the server is warm.
func (l *loadReport) warmAt() time.Time {
	return l.receivedAt.Add(l.load.WarmupRemaining)
}
