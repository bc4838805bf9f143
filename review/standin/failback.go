package main

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The trial of the return from an evacuation: the last heartbeat that a server has sent before it
// became cold arrives late, after the node has learned from a health check that the server is cold.
const (
	failbackService   = "dele69a"
	failbackMachines  = 3
	failbackPerSecond = 30.0
	warmupTime        = 3 * time.Second
	warmupPerSecond   = 4.4
	warmupOver        = 1.5
	warmupSlack       = 5.0
	evacuationTime    = 6 * time.Second
	evacuationKey     = "evacuate/"
	heartbeatLateness = 900 * time.Millisecond
	coldAfterSending  = 100 * time.Millisecond
	failbackWindow    = time.Second
	beforeEvacuation  = 4 * time.Second
)

// tryFailback plays the trial and reports whether the rule held.
func tryFailback(rec *recorder, root string, trouble bool) (held bool, err error) {
	d, err := newDeployment(rec, root)
	if err != nil {
		return false, err
	}
	defer d.close()
	request := &clientRequest{method: http.MethodGet, host: routeHost, path: routePath + "2f", key: "6wsjnbanfqasnmgkcuyj", deadline: 6 * time.Second}
	if err := d.publish(7, failbackService, "idempotent", warmupPerSecond, []tenant{{Name: "pulo780", Keys: []string{request.key}, Priority: 1}}); err != nil {
		return false, err
	}
	var (
		mu       sync.Mutex
		cold     []run
		sent     = map[string]time.Duration{}
		answered = map[int]int{}
		nextLate atomic.Bool
		lateSent = make(chan struct{})
	)
	for i := range failbackMachines {
		m, err := d.addMachine(failbackService, func(s *server) {
			s.work = 220 * time.Millisecond
			s.onRun = func(s *server, r *http.Request) {
				left := s.warmupLeft()
				rec.notef("server %s runs %s, cold for %s", s.id, r.Header.Get(headerAttempt), left.Round(time.Millisecond))
				if left > 0 {
					mu.Lock()
					defer mu.Unlock()
					cold = append(cold, run{id: r.Header.Get(headerAttempt), began: rec.since()})
				}
			}
			if i == 0 {
				s.heartbeatDelay = func() time.Duration {
					if !nextLate.CompareAndSwap(true, false) {
						return 0
					}
					close(lateSent)
					if !trouble {
						return 0
					}
					return heartbeatLateness
				}
			}
		})
		if err != nil {
			return false, err
		}
		if err := m.server.start(); err != nil {
			return false, err
		}
	}
	if err := d.awaitServed(request); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range d.machines {
		go sendSteadily(ctx, rec, m.node.outbound(), failbackPerSecond, request, func(a clientAnswer) {
			rec.notef("%s, sent at %.3f s through %s, ends with status %d, error %v", a.id, a.sentAt.Seconds(), m.node.name, a.status, a.err)
			mu.Lock()
			defer mu.Unlock()
			sent[a.id] = a.sentAt
			answered[a.status]++
		})
	}
	time.Sleep(beforeEvacuation)
	zone, returning := d.machines[0].node.zone, d.machines[0].server
	d.store.put(operatorTopic, evacuationKey+zone, []byte("{}"))
	rec.sayf("operator evacuates %s", zone)
	time.Sleep(evacuationTime)
	nextLate.Store(true)
	<-lateSent
	time.Sleep(coldAfterSending)
	returning.makeCold(warmupTime)
	d.store.put(operatorTopic, evacuationKey+zone, nil)
	rec.sayf("operator takes the evacuation of %s back; server %s is cold for %s", zone, returning.id, warmupTime)
	time.Sleep(warmupTime + 2*time.Second)
	cancel()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for i := range cold {
		cold[i].sentAt = sent[cold[i].id]
	}
	most, from := busiestWindow(cold, failbackWindow)
	allowed := warmupPerSecond*warmupOver + warmupSlack
	rec.sayf("answers by status: %v; %d requests reached the cold server", answered, len(cold))
	rec.sayf("most requests at the cold server that were sent and arrived in %s: %d, from %.3f s on; allowed are %.1f", failbackWindow, most, from.Seconds(), allowed)
	return float64(most) <= allowed, nil
}
