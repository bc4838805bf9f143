package prover

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/flamingotack/flamingotack/internal/checker"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

// sendBooking sends a booking with an idempotency key, up to four times through
// different nodes until it is answered, and returns the last call.
func (d *deployment) sendBooking(caller, turn int) (last recorder.Call) {
	key := uuid.Must(uuid.NewV7()).String()
	request := strconv.Itoa(d.recorder.NextSerial())
	for try := range 4 {
		last = d.nodes[(caller+turn+try)%len(d.nodes)].send(call{
			customer:       customerA,
			service:        "bookdesk",
			path:           "/book",
			body:           fmt.Sprint(caller, turn),
			request:        request,
			idempotencyKey: key,
			timeout:        2 * time.Second,
		})
		if answered(last) {
			return last
		}
	}
	return last
}

// TestRepeatedBookingGetsItsAnswer guards against a check that takes the answer that is kept for an
// idempotency key for that of another booking, and against one that takes another's for its own.
func TestRepeatedBookingGetsItsAnswer(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	send := func(request, key string) recorder.Call {
		return d.nodes[0].send(call{customer: customerA, service: "bookdesk", path: "/book", body: request, request: request, idempotencyKey: key, timeout: 2 * time.Second})
	}
	first, second := send("first", "key-1"), send("first", "key-1")
	if !answered(first) || !answered(second) || first.AnswerChainPath != second.AnswerChainPath {
		t.Errorf("got answers of %q and %q, want one answer for both", first.AnswerChainPath, second.AnswerChainPath)
	}
	d.verifyGuarantees()
	foreign := send("second", "key-2")
	foreign.AnswerChainPath = first.AnswerChainPath
	d.recorder.RecordCall(foreign)
	want := fmt.Sprintf("request %s got the answer of %s", foreign.AttemptID, first.AnswerChainPath)
	if got := fmt.Sprint(checker.Verify(d.recorder.History(), checker.DefaultBounds())); !strings.Contains(got, want) {
		t.Errorf("got %s, want a report of %q", got, want)
	}
}

// A booking runs at most once although nodes are killed while bookings run,
// connections go silent, and callers retry their bookings through other nodes.
func TestBookingRunsAtMostOnceWhileNodesAreKilled(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	callers := startTraffic(6, d.sendBooking)
	for _, name := range []string{"bookdesk-1", "bookdesk-2"} {
		before := callers.countEnded()
		d.waitUntil("100 more bookings have ended", func() bool { return callers.countEnded() >= before+100 })
		killed := d.nodeByName(name)
		d.network.silenceConnections(d.nodes[0].ip)
		killed.kill()
		d.recordEvent(recorder.EventFaultStart, name)
		d.waitUntil("20 more bookings have ended", func() bool { return callers.countEnded() >= before+120 })
		killed.restart()
		killed.waitForAddresses()
		d.recordEvent(recorder.EventFaultEnd, name)
	}
	before := callers.countEnded()
	d.waitUntil("100 more bookings have ended", func() bool { return callers.countEnded() >= before+100 })
	if got := countAnswered(callers.stopAndWait(), customerA); got == 0 {
		t.Errorf("got no booking, want some")
	}
	d.verifyGuarantees()
}

// Guards against a refusal that reports "not run" for a booking that has run.
// The connection to the backend server breaks while it runs the booking.
func TestNotRunHoldsWhenConnectionsBreak(t *testing.T) {
	d := newStandardDeployment(t, customerA)
	callers := startTraffic(6, func(caller, turn int) recorder.Call {
		c := call{customer: customerA, service: "bookdesk", path: "/book", body: fmt.Sprint(caller, turn), timeout: 2 * time.Second}
		return d.nodes[(caller+turn)%len(d.nodes)].send(c)
	})
	bookdesk := d.nodeByName("bookdesk-1")
	for range 5 {
		before := callers.countEnded()
		d.waitUntil("50 more calls have ended", func() bool { return callers.countEnded() >= before+50 })
		bookdesk.backendProxy.setEnabled(false)
		d.network.setPartitioned(d.nodes[0].ip, bookdesk.ip, true)
		bookdesk.backendProxy.setEnabled(true)
		d.network.setPartitioned(d.nodes[0].ip, bookdesk.ip, false)
	}
	d.waitUntil("bookings are served again", func() bool {
		return answered(d.nodes[0].send(call{customer: customerA, service: "bookdesk", path: "/book", timeout: 2 * time.Second}))
	})
	callers.stopAndWait()
	d.verifyGuarantees()
}

func TestIdempotencyKeyWithDifferentBodyIsRefused(t *testing.T) {
	d := newStandardDeployment(t, customerA, customerB)
	c := call{customer: customerA, service: "bookdesk", path: "/book", body: "one boat", idempotencyKey: uuid.Must(uuid.NewV7()).String()}
	if got := d.nodes[0].send(c); !answered(got) {
		t.Fatalf("first: got %+v, want an answer", got)
	}
	c.body = "two boats"
	if got := d.nodes[3].send(c); got.Reason != exchanger.ReasonIdempotencyKeyReused || got.Status != 422 {
		t.Errorf("different body: got status %d, reason %q, want 422, %q", got.Status, got.Reason, exchanger.ReasonIdempotencyKeyReused)
	}
	c.customer = customerB
	if got := d.nodes[1].send(c); !answered(got) {
		t.Errorf("other customer: got %+v, want an answer", got)
	}
	d.verifyGuarantees()
}
