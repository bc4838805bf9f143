package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/seeder"
)

var epoch = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

// TestDirectRequestsBesideNestedCalls guards against a deep service that refuses nearly all
// requests which go directly to it: chains above it offer a little more than it can handle,
// in many short calls, and a few requests of the same priority come without a chain. Both
// must be served in about the same proportion.
func TestDirectRequestsBesideNestedCalls(t *testing.T) {
	const (
		slots     = 28
		customers = 8
		step      = time.Millisecond
		duration  = 20 * time.Second
	)
	type kind struct {
		name                  string
		perSecond             float64
		serviceTime, deadline time.Duration
		asked, served         float64
	}
	nested := &kind{name: "nested", perSecond: 930, serviceTime: 30 * time.Millisecond, deadline: 700 * time.Millisecond}
	direct := &kind{name: "direct", perSecond: 30, serviceTime: 96 * time.Millisecond, deadline: 1200 * time.Millisecond}
	random := rand.New(rand.NewPCG(1, 2))
	s := &Scheduler[PriorityOrder]{
		ServerCapacity: ServerCapacity{ConcurrencyLimit: slots, MeanServiceTime: nested.serviceTime},
		QueueCapacity:  slots * int(time.Second/nested.serviceTime),
	}
	kinds := map[uint64]*kind{}
	lastID := uint64(0)
	var ends []time.Time
	for now := epoch; now.Before(epoch.Add(duration)); now = now.Add(step) {
		for _, k := range []*kind{nested, direct} {
			if random.Float64() >= k.perSecond*step.Seconds() {
				continue
			}
			lastID++
			kinds[lastID] = k
			k.asked++
			customer := fmt.Sprint("c", random.IntN(customers))
			s.Enqueue(now, Item{ID: lastID, Customer: customer, Priority: exchanger.PriorityNormal, Deadline: now.Add(k.deadline), ServiceTime: k.serviceTime})
		}
		ends = slices.DeleteFunc(ends, func(end time.Time) bool { return !end.After(now) })
		for len(ends) < slots {
			next, found, _ := s.Dequeue(now)
			if !found {
				break
			}
			kinds[next.ID].served++
			ends = append(ends, now.Add(next.ServiceTime))
		}
	}
	nestedFraction, directFraction := nested.served/nested.asked, direct.served/direct.asked
	if nestedFraction < 0.8 {
		t.Errorf("got fraction %.2f of nested calls served, want at least 0.8", nestedFraction)
	}
	if directFraction < 0.8*nestedFraction {
		t.Errorf("got fraction %.2f of direct requests served, want at least 0.8 of %.2f", directFraction, nestedFraction)
	}
}

func TestPriorityOrder(t *testing.T) {
	far := epoch.Add(time.Minute)
	s := &Scheduler[PriorityOrder]{}
	items := []Item{
		{ID: 1, Priority: exchanger.PriorityLow, Depth: 9, Deadline: far},
		{ID: 2, Priority: exchanger.PriorityNormal, Customer: "a", Deadline: far},
		{ID: 3, Priority: exchanger.PriorityNormal, Customer: "a", Deadline: far},
		{ID: 4, Priority: exchanger.PriorityNormal, Customer: "b", Deadline: far},
		{ID: 5, Priority: exchanger.PriorityNormal, Customer: "a", Depth: 3, Deadline: far},
		{ID: 6, Priority: exchanger.PriorityCritical, Deadline: far},
		{ID: 7, Priority: exchanger.PriorityNormal, RoutePriority: exchanger.PriorityHigh, Depth: 9, Deadline: far},
	}
	for _, i := range items {
		s.Enqueue(epoch, i)
	}
	var got []uint64
	for {
		i, found, _ := s.Dequeue(epoch)
		if !found {
			break
		}
		got = append(got, i.ID)
	}
	if want := []uint64{6, 5, 2, 4, 3, 7, 1}; !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
}

func TestDeadlines(t *testing.T) {
	tests := []struct {
		name      string
		queued    int
		remaining time.Duration
		want      int
	}{
		{"empty queue", 0, 10 * time.Millisecond, 0},
		{"service time exceeds the deadline", 0, 9 * time.Millisecond, 1},
		{"short queue", 4, 30 * time.Millisecond, 0},
		{"long queue", 5, 30 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Scheduler[PriorityOrder]{ServerCapacity: ServerCapacity{ConcurrencyLimit: 2, MeanServiceTime: 10 * time.Millisecond}}
			for n := range tt.queued {
				s.Enqueue(epoch, Item{ID: uint64(n), Deadline: epoch.Add(time.Minute)})
			}
			item := Item{ID: 99, Priority: exchanger.PriorityLow, ServiceTime: 10 * time.Millisecond, Deadline: epoch.Add(tt.remaining)}
			if got := len(s.Enqueue(epoch, item)); got != tt.want {
				t.Errorf("got %d refused requests, want %d", got, tt.want)
			}
		})
	}
}

// TestSchedulerModel checks that every request leaves the queue once, that the queue
// stays bounded, that no request starts too late for its deadline and that none is
// displaced by a less important one.
func TestSchedulerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Scheduler[PriorityOrder]{
			QueueCapacity:  rapid.IntRange(1, 8).Draw(t, "capacity"),
			ServerCapacity: ServerCapacity{ConcurrencyLimit: rapid.IntRange(1, 4).Draw(t, "limit"), MeanServiceTime: 10 * time.Millisecond},
		}
		now, lastID := epoch, uint64(0)
		waiting := map[uint64]Item{}
		checkLeavesOnce := func(i Item) {
			if _, found := waiting[i.ID]; !found {
				t.Fatalf("request %d left the queue twice", i.ID)
			}
			delete(waiting, i.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				lastID++
				i := Item{
					ID:          lastID,
					Customer:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Priority:    exchanger.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
					Depth:       rapid.IntRange(0, 3).Draw(t, "depth"),
					ServiceTime: 10 * time.Millisecond,
					Deadline:    now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "left")) * time.Millisecond),
				}
				waiting[lastID] = i
				for _, r := range s.Enqueue(now, i) {
					checkLeavesOnce(r.Item)
					for _, w := range waiting {
						if r.Cause == CauseQueueFull && w.Priority > r.Item.Priority {
							t.Fatalf("request of priority %s was displaced by one of priority %s", r.Item.Priority, w.Priority)
						}
					}
				}
			},
			"dequeue": func(t *rapid.T) {
				i, found, refused := s.Dequeue(now)
				for _, r := range refused {
					checkLeavesOnce(r.Item)
				}
				if !found {
					return
				}
				checkLeavesOnce(i)
				if now.Add(i.ServiceTime).After(i.Deadline) {
					t.Fatalf("request %d started %s before its deadline, want at least its service time", i.ID, i.Deadline.Sub(now))
				}
				for _, w := range waiting {
					if w.Priority < i.Priority {
						t.Fatalf("request of priority %s started before one of priority %s", i.Priority, w.Priority)
					}
				}
			},
			"cancel": func(t *rapid.T) {
				id := uint64(rapid.IntRange(0, int(lastID)).Draw(t, "ID"))
				_, want := waiting[id]
				if got := s.Cancel(id); got != want {
					t.Fatalf("got canceled %t, want %t", got, want)
				}
				delete(waiting, id)
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if got, want := s.Len(), len(waiting); got != want || got > s.QueueCapacity {
					t.Fatalf("got %d waiting requests, want %d and at most %d", got, want, s.QueueCapacity)
				}
			},
		})
	})
}

func TestLowestAdmittedPriority(t *testing.T) {
	s := &Scheduler[PriorityOrder]{QueueCapacity: 1}
	far := epoch.Add(time.Minute)
	for n := range 50 {
		now := epoch.Add(time.Duration(n) * 10 * time.Millisecond)
		s.Enqueue(now, Item{ID: uint64(2 * n), Priority: exchanger.PriorityLow, Deadline: far})
		s.Enqueue(now, Item{ID: uint64(2*n + 1), Priority: exchanger.PriorityHigh, Deadline: far})
		s.Dequeue(now)
	}
	now := epoch.Add(500 * time.Millisecond)
	if got, want := s.LowestAdmittedPriority(now), exchanger.PriorityNormal; got != want {
		t.Errorf("got lowest admitted priority %s, want %s", got, want)
	}
	if got, want := s.LowestAdmittedPriority(now.Add(time.Second)), exchanger.PriorityLow; got != want {
		t.Errorf("a second later: got lowest admitted priority %s, want %s", got, want)
	}
}

// BenchmarkShares reports, in virtual time at three times the capacity, the fraction of
// its fair share that the worst-served and the best-served customer get and the fraction
// of the most important requests that run.
func BenchmarkShares(b *testing.B) {
	b.Run("priority", func(b *testing.B) { benchmarkShares(b, &Scheduler[PriorityOrder]{}) })
	b.Run("fifo", func(b *testing.B) { benchmarkShares(b, &Scheduler[FIFOOrder]{AllowLate: true}) })
}

func benchmarkShares[O Order](b *testing.B, s *Scheduler[O]) {
	const customers, capacityPerSecond = 8, 1000.0
	random := rand.New(rand.NewPCG(1, 2))
	s.ServerCapacity = ServerCapacity{ConcurrencyLimit: 10, MeanServiceTime: 10 * time.Millisecond}
	served := [customers]float64{}
	important, importantServed, number := 0.0, 0.0, uint64(0)
	now, freeAt := epoch, epoch
	for range b.N {
		// One customer sends five times as many requests as each other one.
		customer := max(0, random.IntN(customers+4)-4)
		now = now.Add(time.Duration(random.ExpFloat64() / (3 * capacityPerSecond) * float64(time.Second)))
		for !freeAt.After(now) {
			if i, found, _ := s.Dequeue(freeAt); found {
				var index int
				_, _ = fmt.Sscan(i.Customer, &index)
				served[index]++
				if i.Priority == exchanger.PriorityCritical {
					importantServed++
				}
			}
			freeAt = freeAt.Add(time.Second / capacityPerSecond)
		}
		number++
		i := Item{ID: number, Customer: fmt.Sprint(customer), Priority: exchanger.PriorityNormal, Deadline: now.Add(time.Second)}
		if random.IntN(20) == 0 {
			i.Priority = exchanger.PriorityCritical
			important++
		}
		s.Enqueue(now, i)
	}
	fair := now.Sub(epoch).Seconds() * capacityPerSecond / customers
	b.ReportMetric(slices.Min(served[:])/fair, "worst/fair")
	b.ReportMetric(slices.Max(served[:])/fair, "best/fair")
	b.ReportMetric(importantServed/max(1, important), "important")
}
