package prover

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// book sends a booking under an idempotency key, again through other nodes
// until it knows the end.
func (f *fleet) book(caller, turn int) (last recorder.Call) {
	key := uuid.Must(uuid.NewV7()).String()
	for try := range 4 {
		last = f.nodes[(caller+turn+try)%len(f.nodes)].send(call{
			customer:    pondA,
			service:     "bookdesk",
			path:        "/book",
			body:        fmt.Sprint(caller, turn),
			idempotency: key,
			timeout:     2 * time.Second,
		})
		if answered(last) {
			return last
		}
	}
	return last
}

// Nodes are killed while bookings run, connections go silent, and callers send
// their bookings again through other nodes.
func TestBookingRunsAtMostOnceWhileNodesAreKilled(t *testing.T) {
	f := standard(t, pondA)
	run := begin(6, f.book)
	for _, name := range []string{"bookdesk-1", "bookdesk-2"} {
		before := run.count()
		f.await("100 more bookings have ended", func() bool { return run.count() >= before+100 })
		victim := f.node(name)
		f.network.silence(f.nodes[0].address)
		victim.kill()
		f.event(recorder.EventFaultStart, name)
		f.await("20 more bookings have ended", func() bool { return run.count() >= before+120 })
		victim.restart()
		victim.meet()
		f.event(recorder.EventFaultEnd, name)
	}
	before := run.count()
	f.await("100 more bookings have ended", func() bool { return run.count() >= before+100 })
	if got := served(run.end(), pondA); got == 0 {
		t.Errorf("got no booking, want some")
	}
	f.verify()
}

// The connection to the backend server breaks while it runs a booking; nobody
// may claim that the booking has not run.
func TestNotRunHoldsWhenConnectionsBreak(t *testing.T) {
	f := standard(t, pondA)
	run := begin(6, func(caller, turn int) recorder.Call {
		c := call{customer: pondA, service: "bookdesk", path: "/book", body: fmt.Sprint(caller, turn), timeout: 2 * time.Second}
		return f.nodes[(caller+turn)%len(f.nodes)].send(c)
	})
	desk := f.node("bookdesk-1")
	for range 5 {
		before := run.count()
		f.await("50 more calls have ended", func() bool { return run.count() >= before+50 })
		desk.toBackend.set(false)
		f.network.set(f.nodes[0].address, desk.address, true)
		desk.toBackend.set(true)
		f.network.set(f.nodes[0].address, desk.address, false)
	}
	f.await("bookings are served again", func() bool {
		return answered(f.nodes[0].send(call{customer: pondA, service: "bookdesk", path: "/book", timeout: 2 * time.Second}))
	})
	run.end()
	f.verify()
}

func TestIdempotencyKeyWithDifferentBodyIsRefused(t *testing.T) {
	f := standard(t, pondA, pondB)
	c := call{customer: pondA, service: "bookdesk", path: "/book", body: "one boat", idempotency: uuid.Must(uuid.NewV7()).String()}
	if got := f.nodes[0].send(c); !answered(got) {
		t.Fatalf("first: got %+v, want an answer", got)
	}
	c.body = "two boats"
	if got := f.nodes[3].send(c); got.Reason != exchanger.ReasonIdempotencyKeyReused || got.Status != 422 {
		t.Errorf("other body: got status %d, reason %q, want 422, %q", got.Status, got.Reason, exchanger.ReasonIdempotencyKeyReused)
	}
	c.customer = pondB
	if got := f.nodes[1].send(c); !answered(got) {
		t.Errorf("other customer: got %+v, want an answer", got)
	}
	f.verify()
}
