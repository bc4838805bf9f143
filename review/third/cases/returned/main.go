// Command returned plays a tenant above its quota that configurations drop and bring back. It exits
// with 1 if more of the tenant's requests run in a window than the rule QUOTA allows.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/review/third/backend"
	"github.com/flamingotack/flamingotack/review/third/caller"
	"github.com/flamingotack/flamingotack/review/third/deployment"
)

const (
	// rate and burst are the limit of the tenant, in requests a second and in requests.
	rate, burst = 40, 40
	// quotaWindow, quotaOver and quotaSlack are the bounds of the rule.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// idleFor is how long the tenant is idle before it sends, so that its burst is there.
	idleFor = 6 * time.Second
	// sendFor is how long the tenant sends, sendInterval the time between two requests: 4.2 times
	// its limit.
	sendFor      = 6 * time.Second
	sendInterval = 6 * time.Millisecond
	// changes is the number of configurations, one each changeInterval, from firstChange on. The
	// first one lacks the tenant, the second one has it again.
	changes        = 2
	firstChange    = time.Second
	changeInterval = 330 * time.Millisecond
)

func main() {
	program := flag.String("program", "", "path of the node program")
	record := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "change the configuration")
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
	d, err := deployment.New(program, record, []deployment.Machine{
		{Service: "a", Zone: "za"}, {Service: "a", Zone: "zb"}, {Service: "a", Zone: "zc"}, {Service: "b", Zone: "za"}, {Service: "b", Zone: "zb"}, {Service: "b", Zone: "zc"},
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	for _, b := range d.Backends {
		b.React = func(*http.Request) backend.Reaction {
			return backend.Reaction{Work: 20 * time.Millisecond, AnswerBytes: 200}
		}
	}
	config := deployment.Config{
		Version: 1, Services: []string{"a", "b"}, Keys: []string{deployment.Key}, RatePerSecond: rate, Burst: burst,
		Routes: []deployment.Route{{Prefix: "/list/", Kind: "idempotent", Service: "a", Timeout: 2 * time.Second, MaxAttempts: 1}},
	}
	if err := d.Start(config); err != nil {
		return false, err
	}
	time.Sleep(idleFor)
	startedAt := time.Now()
	var waiting sync.WaitGroup
	if trouble {
		waiting.Go(func() { change(d, config, startedAt) })
	}
	for i := 0; time.Since(startedAt) < sendFor; i++ {
		r := &caller.Request{Method: http.MethodGet, Target: fmt.Sprintf("/list/%d", i), Host: deployment.Host, Attempt: fmt.Sprintf("q%d", i), Key: deployment.Key, Deadline: 2 * time.Second}
		node := d.Nodes[3+i%3]
		waiting.Go(func() {
			d.Note("client", "GET %s sent to %s, attempt %s", r.Target, node.Name, r.Attempt)
			a := caller.Do(node.CallerAddress, r)
			d.Note("client", "%s at %s: status %d", r.Attempt, node.Name, a.Status)
		})
		time.Sleep(time.Until(startedAt.Add(time.Duration(i+1) * sendInterval)))
	}
	waiting.Wait()
	most, allowed := mostInWindow(d.Runs()), (rate*quotaWindow.Seconds()+burst)*(1+quotaOver)+quotaSlack
	d.Note("result", "%d requests ran in a window of %s, allowed are %.0f", most, quotaWindow, allowed)
	fmt.Printf("%d requests ran in a window of %s, allowed are %.0f\n", most, quotaWindow, allowed)
	return float64(most) > allowed, nil
}

// change publishes the configurations.
func change(d *deployment.Deployment, c deployment.Config, startedAt time.Time) {
	keys := c.Keys
	for i := range changes {
		time.Sleep(time.Until(startedAt.Add(firstChange + time.Duration(i)*changeInterval)))
		c.Version += 3
		c.Keys = keys
		if i%2 == 0 {
			c.Keys = nil
		}
		d.Publish(c)
	}
}

// mostInWindow returns the largest number of the tenant's runs in a quotaWindow.
func mostInWindow(runs []backend.Run) (most int) {
	var times []time.Time
	for _, r := range runs {
		if r.Tenant == deployment.Tenant {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) > quotaWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
