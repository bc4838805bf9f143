// Package scheduler decides which of the waiting requests a backend server
// runs next, and which are refused because it can't run them all. It reads no
// clock and does no input or output: times are arguments. Its types are not
// safe for concurrent use.
package scheduler

import (
	"net/http"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// The causes for which a request is refused.
const (
	// CauseQueueFull means that more important requests fill the queue.
	CauseQueueFull Cause = iota
	// CauseDeadline means that the request can't end before its deadline.
	CauseDeadline
)

// DefaultQueueCapacity is the highest number of waiting requests if
// Scheduler.QueueCapacity is not set.
const DefaultQueueCapacity = 64

type (
	// Cause is the reason why a request is refused.
	Cause int

	// Item is a waiting request.
	Item struct {
		// ID is unique among the waiting requests.
		ID uint64
		// Customer is the name of the customer; empty for anonymous requests.
		Customer string
		// Priority decides which requests are shed first.
		Priority exchanger.Priority
		// RoutePriority decides between requests of equal priority.
		RoutePriority exchanger.Priority
		// Depth is the number of hops in the call chain before this request.
		Depth int
		// Deadline is when the answer becomes useless.
		Deadline time.Time
		// ServiceTime is how long the request is expected to run.
		ServiceTime time.Duration

		// startTag is the request's start tag from fairShares.
		startTag float64
		// sequence is the position of the request in the order of arrival.
		sequence uint64
	}

	// ServerCapacity describes how fast the backend server works.
	ServerCapacity struct {
		// ConcurrencyLimit is the number of requests that run concurrently, at
		// least 1.
		ConcurrencyLimit int
		// MeanServiceTime is the mean time that a request runs.
		MeanServiceTime time.Duration
	}

	// RefusedItem is a request that left the queue without running.
	RefusedItem struct {
		// Item is the request.
		Item Item
		// Cause is the reason.
		Cause Cause
	}

	// Scheduler is a short, bounded queue.
	Scheduler[O Order] struct {
		// Order defines which request runs first.
		Order O
		// QueueCapacity is the highest number of waiting requests; 0 means
		// DefaultQueueCapacity.
		QueueCapacity int
		// AllowLate keeps requests in the queue that can't meet their deadline.
		AllowLate bool
		// ServerCapacity is the current capacity of the backend server.
		ServerCapacity ServerCapacity

		queue        []Item
		lastSequence uint64
		fairShares   fairShares
		shedCounter  shedCounter
	}
)

// Refusal returns the refusal that is sent to the caller.
func (r RefusedItem) Refusal() *exchanger.Refusal {
	detail := "more important requests fill the queue of the backend server"
	if r.Cause == CauseDeadline {
		detail = "the backend server can't end the request before its deadline"
	}
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "%s", detail)
}

// Cancel removes the request from the queue and reports whether it was there.
func (s *Scheduler[O]) Cancel(id uint64) bool {
	i := slices.IndexFunc(s.queue, func(i Item) bool { return i.ID == id })
	if i < 0 {
		return false
	}
	s.remove(i)
	return true
}

// Len returns the number of waiting requests.
func (s *Scheduler[O]) Len() int {
	return len(s.queue)
}

// Dequeue removes the request that runs next from the queue and returns it. refused
// holds the requests that can no longer end before their deadline.
func (s *Scheduler[O]) Dequeue(now time.Time) (next Item, found bool, refused []RefusedItem) {
	refused = s.removeExpired(now)
	if len(s.queue) == 0 {
		return Item{}, false, refused
	}
	first := 0
	for i := range s.queue {
		if s.Order.Before(&s.queue[i], &s.queue[first]) {
			first = i
		}
	}
	next = s.queue[first]
	s.queue = slices.Delete(s.queue, first, first+1)
	s.fairShares.advance(next.startTag, s.queue)
	s.shedCounter.countStarted(now, next.Priority)
	return next, true, refused
}

// Enqueue adds a request to the queue. It returns the requests that are refused in
// consequence, which may include the new one.
func (s *Scheduler[O]) Enqueue(now time.Time, i Item) (refused []RefusedItem) {
	s.lastSequence++
	i.sequence = s.lastSequence
	i.startTag = s.fairShares.charge(i)
	s.queue = append(s.queue, i)
	if !s.AllowLate && s.missesDeadline(now, len(s.queue)-1) {
		s.remove(len(s.queue) - 1)
		s.shedCounter.countRefused(now, i.Priority)
		return []RefusedItem{{i, CauseDeadline}}
	}
	for len(s.queue) > s.queueCapacity() {
		last := s.lastIndex()
		dropped := s.queue[last]
		s.remove(last)
		s.shedCounter.countRefused(now, dropped.Priority)
		refused = append(refused, RefusedItem{dropped, CauseQueueFull})
	}
	return refused
}

// LowestAdmittedPriority returns the least important priority of which some requests
// still run; -1 if all requests of the most important priority are shed.
func (s *Scheduler[O]) LowestAdmittedPriority(now time.Time) exchanger.Priority {
	return s.shedCounter.lowestAdmitted(now)
}

// RetryAfter returns how long a refused caller should wait. The time grows with the
// fraction of refused requests. jitter is a random number from 0 to below 1 that
// spreads the retries of different callers.
func (s *Scheduler[O]) RetryAfter(now time.Time, jitter float64) time.Duration {
	base := float64(minRetryAfter) * (1 + s.shedCounter.refusalsPerStart(now))
	return min(maxRetryAfter, time.Duration(base*(1+jitter)))
}

func (s *Scheduler[O]) queueCapacity() int {
	if s.QueueCapacity <= 0 {
		return DefaultQueueCapacity
	}
	return s.QueueCapacity
}

// remove removes an item that has not run from the queue and refunds its customer's
// share.
func (s *Scheduler[O]) remove(i int) {
	s.fairShares.refund(s.queue[i])
	s.queue = slices.Delete(s.queue, i, i+1)
}

// removeExpired removes the requests that can no longer end before their deadline, or
// with AllowLate those whose deadline has passed.
func (s *Scheduler[O]) removeExpired(now time.Time) (refused []RefusedItem) {
	for i := len(s.queue) - 1; i >= 0; i-- {
		item := s.queue[i]
		remaining := item.Deadline.Sub(now)
		if remaining > 0 && (s.AllowLate || remaining >= item.ServiceTime) {
			continue
		}
		s.remove(i)
		refused = append(refused, RefusedItem{item, CauseDeadline})
	}
	return refused
}

// lastIndex returns the index of the item that is last in the order.
func (s *Scheduler[O]) lastIndex() (last int) {
	for i := range s.queue {
		if s.Order.Before(&s.queue[last], &s.queue[i]) {
			last = i
		}
	}
	return last
}

// missesDeadline reports whether the item can't end before its deadline after the
// requests ahead of it.
func (s *Scheduler[O]) missesDeadline(now time.Time, i int) bool {
	item := &s.queue[i]
	ahead := 0
	for j := range s.queue {
		if j != i && s.Order.Before(&s.queue[j], item) {
			ahead++
		}
	}
	wait := s.ServerCapacity.MeanServiceTime * time.Duration(ahead) / time.Duration(max(1, s.ServerCapacity.ConcurrencyLimit))
	return now.Add(wait + item.ServiceTime).After(item.Deadline)
}
