// Package scheduler decides which of the waiting requests a backend server
// runs next, and which are refused because it can't run them all. It knows no
// clock and does no input or output: times are arguments. Its types are not
// safe for concurrent use.
package scheduler

import (
	"net/http"
	"slices"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// Why a request leaves the queue without running.
const (
	// CauseFull says that more important requests fill the queue.
	CauseQueueFull Cause = iota
	// CauseLate says that the request can't end before its deadline.
	CauseDeadline
)

// DefaultCapacity is the number of requests that wait at most when nothing
// else is set.
const DefaultQueueCapacity = 64

type (
	// Cause is why a request leaves the queue without running.
	Cause int

	// Item is a waiting request.
	Item struct {
		// Number is unique among the waiting requests.
		ID uint64
		// Customer is the name of the customer; empty on an open route.
		Customer string
		// Priority decides who is shed first.
		Priority exchanger.Priority
		// Depth is the number of hops already done.
		Depth int
		// Deadline is when the answer is of no more use.
		Deadline time.Time
		// Service is how long the request is expected to run.
		ServiceTime time.Duration

		tag      float64
		sequence uint64
	}

	// Pace is how fast the backend server works.
	ServerCapacity struct {
		// Limit is the number of requests that run at once, at least 1.
		ConcurrencyLimit int
		// Service is the mean time that one runs.
		MeanServiceTime time.Duration
	}

	// Refused is a request that leaves the queue without having run.
	RefusedItem struct {
		// Item is the request.
		Item Item
		// Cause is why.
		Cause Cause
	}

	// Scheduler is a short bounded queue.
	Scheduler[O Order] struct {
		// Order says who comes first.
		Order O
		// Capacity is the number of requests that wait at most; 0 stands
		// for 64.
		QueueCapacity int
		// Late lets requests wait that can't meet their deadline.
		AllowLate bool
		// Pace is how fast the backend server works now.
		ServerCapacity ServerCapacity

		items    []Item
		sequence uint64
		shares   shares
		shedding shedding
	}
)

// Refusal returns what the caller of the request is told.
func (r RefusedItem) Refusal() *exchanger.Refusal {
	detail := "more important requests fill the queue of the backend server"
	if r.Cause == CauseDeadline {
		detail = "the backend server can't end the request before its deadline"
	}
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonOverload, "%s", detail)
}

// Cancel takes the request out of the queue and reports whether it was there.
func (s *Scheduler[O]) Cancel(number uint64) bool {
	i := slices.IndexFunc(s.items, func(i Item) bool { return i.ID == number })
	if i < 0 {
		return false
	}
	s.drop(i)
	return true
}

// Len returns the number of waiting requests.
func (s *Scheduler[O]) Len() int {
	return len(s.items)
}

// Next takes the request that shall run now out of the queue. It also returns
// those that can't end in time any more.
func (s *Scheduler[O]) Dequeue(now time.Time) (next Item, found bool, refused []RefusedItem) {
	refused = s.expire(now)
	if len(s.items) == 0 {
		return Item{}, false, refused
	}
	first := 0
	for i := range s.items {
		if s.Order.Before(&s.items[i], &s.items[first]) {
			first = i
		}
	}
	next = s.items[first]
	s.items = slices.Delete(s.items, first, first+1)
	s.shares.served(next.tag, s.items)
	s.shedding.started(now, next.Priority)
	return next, true, refused
}

// Offer puts a request into the queue. It returns those that are refused for
// it, which may be the request itself.
func (s *Scheduler[O]) Enqueue(now time.Time, i Item) (refused []RefusedItem) {
	s.sequence++
	i.sequence = s.sequence
	i.tag = s.shares.charge(i)
	s.items = append(s.items, i)
	if !s.AllowLate && s.late(now, len(s.items)-1) {
		s.drop(len(s.items) - 1)
		s.shedding.refused(now, i.Priority)
		return []RefusedItem{{i, CauseDeadline}}
	}
	for len(s.items) > s.capacity() {
		last := s.last()
		dropped := s.items[last]
		s.drop(last)
		s.shedding.refused(now, dropped.Priority)
		refused = append(refused, RefusedItem{dropped, CauseQueueFull})
	}
	return refused
}

// Shed returns the least important priority that is not shed altogether; -1 if
// even the most important one is.
func (s *Scheduler[O]) LowestAdmittedPriority(now time.Time) exchanger.Priority {
	return s.shedding.least(now)
}

// Advice returns how long a refused caller should wait: longer, the more of
// the demand is refused. spread is random and spreads the callers' return, 0
// to below 1.
func (s *Scheduler[O]) RetryAfter(now time.Time, spread float64) time.Duration {
	base := float64(adviceLeast) * (1 + s.shedding.ratio(now))
	return min(adviceMost, time.Duration(base*(1+spread)))
}

func (s *Scheduler[O]) capacity() int {
	if s.QueueCapacity <= 0 {
		return DefaultQueueCapacity
	}
	return s.QueueCapacity
}

// drop takes an item that has not run out of the queue and gives its customer
// the share back.
func (s *Scheduler[O]) drop(i int) {
	s.shares.refund(s.items[i])
	s.items = slices.Delete(s.items, i, i+1)
}

func (s *Scheduler[O]) expire(now time.Time) (refused []RefusedItem) {
	for i := len(s.items) - 1; i >= 0; i-- {
		item := s.items[i]
		left := item.Deadline.Sub(now)
		if left > 0 && (s.AllowLate || left >= item.ServiceTime) {
			continue
		}
		s.drop(i)
		refused = append(refused, RefusedItem{item, CauseDeadline})
	}
	return refused
}

// last returns the index of the item that comes last.
func (s *Scheduler[O]) last() (last int) {
	for i := range s.items {
		if s.Order.Before(&s.items[last], &s.items[i]) {
			last = i
		}
	}
	return last
}

// late reports whether the item can't end before its deadline behind those
// that come before it.
func (s *Scheduler[O]) late(now time.Time, i int) bool {
	item := &s.items[i]
	ahead := 0
	for j := range s.items {
		if j != i && s.Order.Before(&s.items[j], item) {
			ahead++
		}
	}
	wait := s.ServerCapacity.MeanServiceTime * time.Duration(ahead) / time.Duration(max(1, s.ServerCapacity.ConcurrencyLimit))
	return now.Add(wait + item.ServiceTime).After(item.Deadline)
}
