// Command popular plays many clients that read the same page while all backends of its service
// crash together, followed by the final fault of a day. It exits with 1 if the rule RECOVER is
// broken: less than a quarter of the requests is served later than its bound after all is back.
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
	// recoverTime is the bound "recover" of the rule, minServed the fraction that it asks for.
	recoverTime = 15 * time.Second
	minServed   = 0.25
	// quietTime is the time from the first request to the disruption.
	quietTime = 8 * time.Second
	// downTime is how long the backends of the service are down.
	downTime = 4500 * time.Millisecond
	// finalFaultAfter is the time from there to the final fault, and finalDownTime how long all
	// nodes are down.
	finalFaultAfter = 3 * time.Second
	finalDownTime   = time.Second
	// judgedTime is how long requests are judged after recoverTime.
	judgedTime = 12 * time.Second
	// sendInterval is the time between two requests, workTime how long each runs.
	sendInterval = 10 * time.Millisecond
	workTime     = 100 * time.Millisecond
	target       = "/slots/today"
)

type (
	// outcome is how one attempt ended.
	outcome struct {
		sentAt time.Time
		served bool
	}

	// clients send the same request again and again, and keep how the attempts ended.
	clients struct {
		deployment *deployment.Deployment
		addresses  []string

		mu       sync.Mutex
		outcomes []outcome
	}
)

func main() {
	program := flag.String("program", "", "path of the node program")
	record := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "play the disruptions")
	crash := flag.Bool("crash", true, "let the backends crash; without it the final fault comes alone")
	flag.Parse()
	broken, err := play(*program, *record, *trouble, *crash)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// play reports whether the rule was broken.
func play(program, record string, trouble, crash bool) (broken bool, err error) {
	d, err := deployment.New(program, record, []deployment.Machine{
		{Service: "a", Zone: "za"}, {Service: "a", Zone: "zb"}, {Service: "a", Zone: "zc"}, {Service: "b", Zone: "za"}, {Service: "b", Zone: "zb"}, {Service: "b", Zone: "zc"},
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	for _, b := range d.Backends {
		b.React = func(*http.Request) backend.Reaction {
			return backend.Reaction{Work: workTime, AnswerBytes: 300}
		}
	}
	config := deployment.Config{
		Version: 1, Services: []string{"a", "b"}, Keys: []string{deployment.Key},
		Routes: []deployment.Route{{Prefix: "/slots/", Kind: "idempotent", Service: "a", Timeout: 2 * time.Second}},
	}
	if err := d.Start(config); err != nil {
		return false, err
	}
	c := &clients{deployment: d, addresses: []string{d.Nodes[3].CallerAddress, d.Nodes[4].CallerAddress, d.Nodes[5].CallerAddress}}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { c.send(stop) })
	startedAt := time.Now()
	time.Sleep(quietTime)
	faultAt := time.Now()
	if trouble {
		if err := disrupt(d, config, crash); err != nil {
			return false, err
		}
	} else {
		time.Sleep(downTime)
	}
	backAt := time.Now()
	time.Sleep(recoverTime + judgedTime)
	close(stop)
	sending.Wait()
	before, after := c.served(startedAt, faultAt), c.served(backAt.Add(recoverTime), time.Now())
	d.Note("result", "served before the fault: %.3f, later than %s after all is back: %.3f", before, recoverTime, after)
	fmt.Printf("served before the fault: %.3f, later than %s after all is back: %.3f\n", before, recoverTime, after)
	return before >= minServed && after < minServed, nil
}

// disrupt crashes all backends of service a, if crash is set, and kills all nodes meanwhile. It
// returns when all are back.
func disrupt(d *deployment.Deployment, config deployment.Config, crash bool) error {
	var crashed []int
	if crash {
		crashed = []int{0, 1, 2}
	}
	d.Note("fault", "backends %v of service a crash", crashed)
	for _, i := range crashed {
		d.Backends[i].Crash()
	}
	time.Sleep(finalFaultAfter)
	config.Version++
	d.Publish(config)
	d.Note("fault", "all nodes are killed")
	for _, n := range d.Nodes {
		n.Kill()
	}
	time.Sleep(finalDownTime)
	for _, n := range d.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	d.Note("fault", "all nodes are started")
	time.Sleep(downTime - finalFaultAfter - finalDownTime)
	for _, i := range crashed {
		if err := d.Backends[i].Start(fmt.Sprintf("i-%d-2", i), true); err != nil {
			return err
		}
	}
	d.Note("fault", "backends %v of service a are back", crashed)
	return nil
}

// send sends requests until stop is closed.
func (c *clients) send(stop <-chan struct{}) {
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(sendInterval):
		}
		r := &caller.Request{Method: http.MethodGet, Target: target, Host: deployment.Host, Attempt: fmt.Sprintf("q%d", number), Key: deployment.Key, Deadline: 2 * time.Second}
		waiting.Go(func() {
			sentAt := time.Now()
			c.deployment.Note("client", "GET %s sent, attempt %s", r.Target, r.Attempt)
			a := caller.Do(c.addresses[number%len(c.addresses)], r)
			c.deployment.Note("client", "attempt %s: status %d, complete %t, body %.20q, error %v", r.Attempt, a.Status, a.Complete, a.Body, a.Err)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.outcomes = append(c.outcomes, outcome{sentAt: sentAt, served: a.Status == http.StatusOK && a.Complete})
		})
	}
}

// served returns the fraction of the requests that were sent in a time and were served.
func (c *clients) served(from, to time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total, served := 0, 0
	for _, o := range c.outcomes {
		if o.sentAt.Before(from) || o.sentAt.After(to) {
			continue
		}
		total++
		if o.served {
			served++
		}
	}
	return float64(served) / float64(max(1, total))
}
