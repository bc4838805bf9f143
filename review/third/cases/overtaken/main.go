// Command overtaken plays a backend whose first heartbeats arrive seconds late, after the message
// that it leaves. It exits with 1 if the backend gets requests later than the rule DRAIN allows
// after that message was acknowledged.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/review/third/backend"
	"github.com/flamingotack/flamingotack/review/third/caller"
	"github.com/flamingotack/flamingotack/review/third/deployment"
)

const (
	// drainTime is the bound "drain" of the rule.
	drainTime = 2 * time.Second
	// heartbeatDelay is how late the heartbeats of the second backend arrive.
	heartbeatDelay = 3 * time.Second
	// leaveAfter is the time from the start of the second backend to its departure.
	leaveAfter = 2 * time.Second
	// serveAfter is how long it goes on serving after the acknowledgement.
	serveAfter = 8 * time.Second
	// sendInterval is the time between two requests of the client.
	sendInterval = 50 * time.Millisecond
)

func main() {
	program := flag.String("program", "", "path of the node program")
	record := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "delay the heartbeats")
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
	d, err := deployment.New(program, record, []deployment.Machine{{Service: "a", Zone: "za"}, {Service: "a", Zone: "zb"}, {Service: "b", Zone: "za"}})
	if err != nil {
		return false, err
	}
	defer d.Close()
	for _, b := range d.Backends {
		b.React = func(*http.Request) backend.Reaction {
			return backend.Reaction{Work: 20 * time.Millisecond, AnswerBytes: 200}
		}
	}
	if err := d.Start(deployment.Config{
		Version: 1, Services: []string{"a", "b"}, Keys: []string{deployment.Key},
		Routes: []deployment.Route{{Prefix: "/book/", Kind: "non_idempotent", Service: "a", Timeout: 3 * time.Second}},
	}); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { send(d, stop) })
	ackedAt := replace(d, trouble)
	time.Sleep(serveAfter)
	d.Note("backend", "i-0-2 exits")
	d.Backends[0].Crash()
	close(stop)
	sending.Wait()
	late := 0
	for _, r := range d.Runs() {
		if r.Instance == "i-0-2" && r.At.Sub(ackedAt) > drainTime {
			late++
		}
	}
	d.Note("result", "%d requests reached i-0-2 later than %s after its departure was acknowledged", late, drainTime)
	fmt.Printf("%d requests reached the backend later than %s after its departure was acknowledged\n", late, drainTime)
	return late > 0, nil
}

// replace ends the first backend as planned and starts another one beside the same node, which
// leaves soon. It returns when the departure of that was acknowledged.
func replace(d *deployment.Deployment, trouble bool) (ackedAt time.Time) {
	b := d.Backends[0]
	d.Note("backend", "i-0-1 drains")
	b.SetState("draining")
	d.Note("backend", "heartbeat draining answered with %d", b.Send(b.Heartbeat()))
	time.Sleep(drainTime + 500*time.Millisecond)
	d.Note("backend", "departure of i-0-1 answered with %d", b.Leave())
	b.Crash()
	time.Sleep(time.Second)
	if err := b.Start("i-0-2", false); err != nil {
		d.Note("backend", "start failed: %v", err)
		return time.Now()
	}
	d.Note("backend", "i-0-2 starts")
	startedAt := time.Now()
	for at := time.Duration(0); at < leaveAfter; at += backend.HeartbeatInterval {
		time.Sleep(time.Until(startedAt.Add(at)))
		id, body := b.Heartbeat()
		arrive := func() {
			d.Note("backend", "heartbeat of i-0-2, sent %s after its start, answered with %d", at, b.Send(id, body))
		}
		if trouble {
			time.AfterFunc(heartbeatDelay, arrive)
			continue
		}
		arrive()
	}
	time.Sleep(time.Until(startedAt.Add(leaveAfter)))
	b.SetState("leaving")
	status := b.Leave()
	ackedAt = time.Now()
	d.Note("backend", "departure of i-0-2 answered with %d", status)
	return ackedAt
}

// send sends requests to the node of the other service until stop is closed.
func send(d *deployment.Deployment, stop <-chan struct{}) {
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(sendInterval):
		}
		r := &caller.Request{Method: http.MethodPost, Target: fmt.Sprintf("/book/%d", number), Host: deployment.Host, Attempt: fmt.Sprintf("q%d", number), Key: deployment.Key, Deadline: 3 * time.Second, Body: []byte("x")}
		waiting.Go(func() {
			d.Note("client", "POST %s sent, attempt %s", r.Target, r.Attempt)
			a := caller.Do(d.Nodes[2].CallerAddress, r)
			d.Note("client", "attempt %s: status %d, complete %t, error %v", r.Attempt, a.Status, a.Complete, a.Err)
		})
	}
}
