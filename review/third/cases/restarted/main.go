// Command restarted plays a backend that starts again under the id that it had, cold, while no
// request is under way, and whose first heartbeat arrives late or in time. It exits with 1 if the
// backend gets more requests in a second than the rule FAILBACK allows.
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
	// warmupPerSecond is the rate that a cold backend bears, as the configuration says.
	// warmupOver and warmupSlack are the bounds of the rule.
	warmupPerSecond = 4.4
	warmupOver      = 1.5
	warmupSlack     = 5
	// warmup is how long the backend is cold.
	warmup = 3 * time.Second
	// restartAfter is the time from the last requests to the crash, downTime from there to the
	// start, and heartbeatDelay how late the first heartbeat arrives.
	restartAfter   = 150 * time.Millisecond
	downTime       = 600 * time.Millisecond
	heartbeatDelay = 1200 * time.Millisecond
	// clients is the number of clients, which send one request each at the same moment, once in a
	// pollInterval. workTime is how long each runs.
	clients      = 20
	pollInterval = time.Second
	workTime     = 20 * time.Millisecond
	// warmPolls is the number of polls before the crash, coldPolls that after it.
	warmPolls, coldPolls = 5, 3
)

func main() {
	program := flag.String("program", "", "path of the node program")
	record := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "let the heartbeat be late")
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
			return backend.Reaction{Work: workTime, AnswerBytes: 200}
		}
	}
	if err := d.Start(deployment.Config{
		Version: 1, Services: []string{"a", "b"}, Keys: []string{deployment.Key},
		Routes: []deployment.Route{{Prefix: "/list/", Kind: "idempotent", Service: "a", Timeout: 2 * time.Second}},
	}); err != nil {
		return false, err
	}
	startedAt := time.Now()
	var sending sync.WaitGroup
	sending.Go(func() { poll(d, startedAt) })
	time.Sleep(time.Until(startedAt.Add((warmPolls-1)*pollInterval + restartAfter)))
	coldFrom := time.Now()
	if err := restart(d, trouble); err != nil {
		return false, err
	}
	sending.Wait()
	most, allowed := mostInSecond(d.Runs(), coldFrom), warmupPerSecond*warmupOver+warmupSlack
	d.Note("result", "%d requests reached the cold backend in a second, allowed are %.1f", most, allowed)
	fmt.Printf("%d requests reached the cold backend in a second, allowed are %.1f\n", most, allowed)
	return float64(most) > allowed, nil
}

// restart lets the backend crash and start again under its id. With late its first heartbeat
// arrives late.
func restart(d *deployment.Deployment, late bool) error {
	b := d.Backends[0]
	id := b.ID()
	d.Note("backend", "%s crashes", id)
	b.Crash()
	time.Sleep(downTime)
	b.Warmup = warmup
	if err := b.Start(id, false); err != nil {
		return err
	}
	d.Note("backend", "%s is back, cold for %s", id, warmup)
	go func() {
		for first := true; ; first = false {
			id, body := b.Heartbeat()
			if first && late {
				time.Sleep(heartbeatDelay)
			}
			d.Note("backend", "heartbeat of %s answered with %d", id, b.Send(id, body))
			time.Sleep(backend.HeartbeatInterval)
		}
	}()
	return nil
}

// poll sends the requests of all clients, once in a pollInterval.
func poll(d *deployment.Deployment, startedAt time.Time) {
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for round := range warmPolls + coldPolls {
		time.Sleep(time.Until(startedAt.Add(time.Duration(round) * pollInterval)))
		for i := range clients {
			r := &caller.Request{Method: http.MethodGet, Target: fmt.Sprintf("/list/%d/%d", round, i), Host: deployment.Host, Attempt: fmt.Sprintf("q%d-%d", round, i), Key: deployment.Key, Deadline: 2 * time.Second}
			waiting.Go(func() {
				d.Note("client", "GET %s sent, attempt %s", r.Target, r.Attempt)
				a := caller.Do(d.Nodes[2].CallerAddress, r)
				d.Note("client", "%s: status %d, error %v", r.Attempt, a.Status, a.Err)
			})
		}
	}
}

// mostInSecond returns the largest number of requests that reached the backend beside the first
// node in a second while it was cold.
func mostInSecond(runs []backend.Run, coldFrom time.Time) (most int) {
	var times []time.Time
	for _, r := range runs {
		if r.Instance == "i-0-1" && r.At.After(coldFrom) && r.At.Before(coldFrom.Add(downTime+warmup)) {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
