package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The trial of a planned stop: the only node of a zone is stopped and started again while clients
// beside it send requests to a route that needs no key.
const (
	stopMachines  = 3
	stopPerSecond = 20.0
	stopWork      = 880 * time.Millisecond
	graceTime     = 6 * time.Second
	// lateRequests are those that were sent later than this after the SIGTERM.
	lateRequests = 3 * time.Second
	beforeStop   = 3 * time.Second
	afterStop    = graceTime + time.Second
	afterRestart = 3 * time.Second
	// lastAnswers is how long the last requests may take.
	lastAnswers = 7 * time.Second
)

// tryStop plays the trial and reports whether the rule held.
func tryStop(rec *recorder, root string, trouble bool) (held bool, err error) {
	d, err := newDeployment(rec, root)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.anonymous = true
	if err := d.publish(7, boardService, "non_idempotent", 0, []tenant{{Name: "pulo780", Keys: []string{"6wsjnbanfqasnmgkcuyj"}, Priority: 1}}); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	for range stopMachines {
		m, err := d.addMachine(boardService, func(s *server) {
			s.work = stopWork
			s.onRun = func(s *server, r *http.Request) {
				rec.notef("server %s runs %s", s.id, r.Header.Get(headerAttempt))
				mu.Lock()
				defer mu.Unlock()
				ran[r.Header.Get(headerAttempt)] = true
			}
		})
		if err != nil {
			return false, err
		}
		if err := m.server.start(); err != nil {
			return false, err
		}
	}
	request := &clientRequest{method: http.MethodPost, host: routeHost, path: routePath + "2f", deadline: 6 * time.Second, body: make([]byte, 300)}
	if err := d.awaitServed(request); err != nil {
		return false, err
	}
	stopping := d.machines[0].node
	// unanswered holds the requests without an answer of a server: those that ended without
	// any, and those in whose place the node has given an answer of its own.
	var unanswered []clientAnswer
	answers := map[int]int{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go sendSteadily(ctx, rec, stopping.outbound(), stopPerSecond, request, func(a clientAnswer) {
		rec.notef("%s, sent at %.3f s through %s, ends with status %d, error %v", a.id, a.sentAt.Seconds(), stopping.name, a.status, a.err)
		mu.Lock()
		defer mu.Unlock()
		answers[a.status]++
		if a.id != "" && (a.err != nil || a.status >= http.StatusInternalServerError && a.seal == "") {
			unanswered = append(unanswered, a)
		}
	})
	time.Sleep(beforeStop)
	stoppedAt := rec.since()
	if trouble {
		rec.sayf("%s, the only node of its zone, gets SIGTERM; SIGKILL follows after %s", stopping.name, graceTime)
		stopping.signal(syscall.SIGTERM)
	}
	for rec.since() < stoppedAt+graceTime {
		select {
		case <-stopping.exited:
			rec.sayf("%s has ended", stopping.name)
			time.Sleep(stoppedAt + graceTime - rec.since())
		case <-time.After(50 * time.Millisecond):
		}
	}
	if trouble {
		stopping.kill()
		if err := stopping.start(); err != nil {
			return false, err
		}
		rec.sayf("%s is started again", stopping.name)
	}
	time.Sleep(afterRestart)
	cancel()
	time.Sleep(lastAnswers)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, a := range unanswered {
		late := a.sentAt - stoppedAt
		if !ran[a.id] || late <= lateRequests || late > afterStop {
			continue
		}
		lost++
		rec.sayf("%s was sent %.3f s after the SIGTERM, ran on a server and got no answer of it: status %d, error %v", a.id, late.Seconds(), a.status, a.err)
	}
	rec.sayf("answers by status, 0 for none: %v", answers)
	rec.sayf("requests that were sent later than %s after the SIGTERM, passed on and broken off: %d; none is allowed", lateRequests, lost)
	return lost == 0, nil
}
