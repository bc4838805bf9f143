// Command pipelined plays a planned stop of a node whose clients have sent a short request behind a
// long one. It exits with 1 if the answer to the short one, which the backend has given long before,
// is lost with its connection, as the rule LOST forbids.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/flamingotack/flamingotack/review/third/backend"
	"github.com/flamingotack/flamingotack/review/third/caller"
	"github.com/flamingotack/flamingotack/review/third/deployment"
	"github.com/flamingotack/flamingotack/review/third/node"
)

const (
	// routeTimeout is the timeout of the route, deadline how long the clients wait.
	routeTimeout = 5 * time.Second
	deadline     = 10 * time.Second
	// longTime and shortTime are how long the two requests run.
	longTime  = 4900 * time.Millisecond
	shortTime = 50 * time.Millisecond
	// clients is the number of clients, which send sendAfter the stop has begun. Clients may send
	// until two checks of the readiness, one a second, have failed.
	clients   = 30
	sendAfter = time.Second
	// judgedAfterGrace is how long after the grace period the rule looks at the ends of
	// connections.
	judgedAfterGrace = time.Second
)

// exchange is a short request behind a long one, and how it ended.
type exchange struct {
	request *caller.Request
	sentAt  time.Time
	endedAt time.Time
	answer  caller.Answer
}

func main() {
	program := flag.String("program", "", "path of the node program")
	record := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "stop the node")
	flag.Parse()
	broken, err := play(*program, *record, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// play reports whether the rule was broken.
func play(program, record string, trouble bool) (broken bool, err error) {
	d, err := deployment.New(program, record, []deployment.Machine{{Service: "a", Zone: "za"}, {Service: "a", Zone: "zb"}, {Service: "b", Zone: "za"}, {Service: "b", Zone: "zb"}})
	if err != nil {
		return false, err
	}
	defer d.Close()
	for _, b := range d.Backends {
		b.React = react
	}
	if err := d.Start(deployment.Config{
		Version: 1, Services: []string{"a", "b"}, Keys: []string{deployment.Key},
		Routes: []deployment.Route{{Prefix: "/list/", Kind: "idempotent", Service: "a", Timeout: routeTimeout}},
	}); err != nil {
		return false, err
	}
	stoppedAt := time.Now()
	if trouble {
		d.Note("operator", "node n2 gets SIGTERM")
		if err := d.Nodes[2].Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		time.AfterFunc(node.GracePeriod, d.Nodes[2].Kill)
	}
	time.Sleep(sendAfter)
	ended := make([]exchange, clients)
	var waiting sync.WaitGroup
	for i := range ended {
		waiting.Go(func() { ended[i] = send(d, i) })
	}
	waiting.Wait()
	lost := 0
	for i := range ended {
		if isLost(d, &ended[i], stoppedAt) {
			lost++
		}
	}
	d.Note("result", "%d of %d answers to short requests lost", lost, clients)
	fmt.Printf("%d of %d answers to short requests lost\n", lost, clients)
	return lost > 0, nil
}

func react(r *http.Request) backend.Reaction {
	if strings.HasPrefix(r.URL.Path, "/list/long/") {
		return backend.Reaction{Work: longTime, AnswerBytes: 200}
	}
	return backend.Reaction{Work: shortTime, AnswerBytes: 200}
}

// send sends a long request and a short one behind it, and returns how the short one ended.
func send(d *deployment.Deployment, number int) (e exchange) {
	long := &caller.Request{Method: http.MethodGet, Target: fmt.Sprintf("/list/long/%d", number), Host: deployment.Host, Attempt: fmt.Sprintf("long-%d", number), Key: deployment.Key, Deadline: deadline}
	e.request = &caller.Request{Method: http.MethodGet, Target: fmt.Sprintf("/list/short/%d", number), Host: deployment.Host, Attempt: fmt.Sprintf("short-%d", number), Key: deployment.Key, Deadline: deadline}
	c, err := caller.Dial(d.Nodes[2].CallerAddress)
	if err != nil {
		e.answer.Err = err
		return e
	}
	defer c.Close()
	e.sentAt = time.Now()
	if _, err := c.Write(append(long.Encode(), e.request.Encode()...)); err != nil {
		e.answer.Err = err
		return e
	}
	d.Note("client", "GET %s and GET %s sent on one connection", long.Target, e.request.Target)
	first := c.ReadAnswer(long.Method, e.sentAt.Add(deadline))
	d.Note("client", "%s: status %d, complete %t, error %v, after %s", long.Attempt, first.Status, first.Complete, first.Err, time.Since(e.sentAt).Round(time.Millisecond))
	if first.Complete {
		e.answer = c.ReadAnswer(e.request.Method, e.sentAt.Add(deadline))
	}
	e.endedAt = time.Now()
	d.Note("client", "%s: status %d, complete %t, error %v, after %s", e.request.Attempt, e.answer.Status, e.answer.Complete, e.answer.Err, e.endedAt.Sub(e.sentAt).Round(time.Millisecond))
	return e
}

// isLost reports whether the rule counts a request: it was passed on to a backend, its connection
// ended without the answer before the deadline and the timeout of the route, and its backend was
// not at work on it any more.
func isLost(d *deployment.Deployment, e *exchange, stoppedAt time.Time) bool {
	if e.sentAt.IsZero() || e.answer.Complete || e.endedAt.Sub(e.sentAt) >= routeTimeout || e.endedAt.After(stoppedAt.Add(node.GracePeriod+judgedAfterGrace)) {
		return false
	}
	for _, r := range d.Runs() {
		if r.Attempt == e.request.Attempt {
			return e.endedAt.Sub(r.At) > 2*shortTime
		}
	}
	return false
}
