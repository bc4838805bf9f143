package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The trial of a crash request: it comes again while all processes of the system are killed at once,
// twice.
const (
	deskService   = "xano55b"
	crashMachines = 4
	crashMark     = "crash"
	// crashPause is the time between two attempts of the crash request.
	crashPause      = 3500 * time.Millisecond
	crashDownTime   = 2500 * time.Millisecond
	attemptsPerTurn = 5
	crashesBefore   = 3
	retriesAllowed  = 3
	herdKills       = 2
	restartDelay    = 500 * time.Millisecond
)

// crashLog keeps when attempts of the crash request have reached a server.
type crashLog struct {
	recorder *recorder

	mu sync.Mutex
	// reached holds those times by the id of the attempt, order the ids in order of them.
	reached map[string]time.Duration
	order   []string
	// starts counts the starts of servers, for their ids.
	starts int
}

// add records that an attempt has reached a server.
func (l *crashLog) add(s *server, id string) {
	at := l.recorder.since()
	l.recorder.sayf("server %s begins to run attempt %s of the crash request and crashes", s.id, id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.reached[id]; !found {
		l.order = append(l.order, id)
	}
	l.reached[id] = at
}

// retriesAfter returns the number of attempts that were sent later than contact after the third
// crash and have reached a server, and when that crash was; zeros if there were fewer crashes.
// sentAt holds when each attempt was sent.
func (l *crashLog) retriesAfter(sentAt map[string]time.Duration, contact time.Duration) (retries int, thirdAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.order) < crashesBefore {
		return 0, 0
	}
	thirdAt = l.reached[l.order[crashesBefore-1]]
	for _, id := range l.order {
		if sentAt[id] > thirdAt+contact {
			retries++
		}
	}
	return retries, thirdAt
}

// crashingServer is a server that a crash request ends. It is back after crashDownTime, as a new
// incarnation.
type crashingServer struct {
	machine *machine
	log     *crashLog

	mu      sync.Mutex
	current *server
	closed  bool
}

// start starts an incarnation. It is cold if it starts during traffic.
func (c *crashingServer) start(cold bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.log.mu.Lock()
	c.log.starts++
	number := c.log.starts
	c.log.mu.Unlock()
	template := c.machine.server
	s := &server{
		id: fmt.Sprintf("i-%08x", 1000+number), service: template.service, zone: template.zone, slots: template.slots, work: template.work,
		bodyBytes: template.bodyBytes, controlAddress: template.controlAddress, address: template.address, recorder: template.recorder,
	}
	if cold {
		s.makeCold(warmupTime)
	}
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		expected := r.Header.Get(headerExpected)
		if !strings.Contains(r.URL.Path, crashMark) || expected != "" && expected != s.id {
			s.ServeHTTP(w, r)
			return
		}
		c.log.add(s, r.Header.Get(headerAttempt))
		go c.crash(s)
		<-r.Context().Done()
	})
	if err := s.start(); err != nil {
		return err
	}
	c.current = s
	return nil
}

// crash ends an incarnation and starts the next one later.
func (c *crashingServer) crash(s *server) {
	s.close()
	time.Sleep(crashDownTime)
	if err := c.start(true); err != nil {
		s.recorder.sayf("server at %s did not start again: %v", s.address, err)
	}
}

// close ends the server for good.
func (c *crashingServer) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.current != nil {
		c.current.close()
	}
}

// tryCrash plays the trial and reports whether the rule held.
func tryCrash(rec *recorder, root string, trouble bool) (held bool, err error) {
	d, err := newDeployment(rec, root)
	if err != nil {
		return false, err
	}
	defer d.close()
	const key = "6wsjnbanfqasnmgkcuyj"
	if err := d.publish(7, boardService, "non_idempotent", warmupPerSecond, []tenant{{Name: "pulo780", Keys: []string{key}, Priority: 1}}); err != nil {
		return false, err
	}
	log := &crashLog{recorder: rec, reached: map[string]time.Duration{}}
	for i := range crashMachines + 1 {
		service := boardService
		if i == 0 {
			service = deskService
		}
		m, err := d.addMachine(service, func(*server) {})
		if err != nil {
			return false, err
		}
		if i == 0 {
			if err := m.server.start(); err != nil {
				return false, err
			}
			continue
		}
		c := &crashingServer{machine: m, log: log}
		defer c.close()
		if err := c.start(false); err != nil {
			return false, err
		}
	}
	ordinary := &clientRequest{method: http.MethodPost, host: routeHost, path: routePath + "2f", key: key, deadline: 3 * time.Second}
	if err := d.awaitServed(ordinary); err != nil {
		return false, err
	}
	crashRequest := *ordinary
	crashRequest.path = routePath + crashMark
	sentAt := map[string]time.Duration{}
	front := d.machines[0].node
	sendTurn := func() {
		for range attemptsPerTurn {
			a := sendOnce(rec, front.outbound(), &crashRequest)
			sentAt[a.id] = a.sentAt
			rec.sayf("attempt %s of the crash request, sent at %.3f s through %s, ends with status %d, error %v", a.id, a.sentAt.Seconds(), front.name, a.status, a.err)
			time.Sleep(crashPause)
		}
	}
	sendTurn()
	for range herdKills {
		if trouble {
			rec.sayf("all processes of the system are killed at once")
			for _, m := range d.machines {
				m.node.signal(syscall.SIGKILL)
			}
			time.Sleep(restartDelay)
			for _, m := range d.machines {
				m.node.kill()
				if err := m.node.start(); err != nil {
					return false, err
				}
			}
		}
		time.Sleep(contactTime + time.Second)
		sendTurn()
	}
	retries, thirdAt := log.retriesAfter(sentAt, contactTime)
	rec.sayf("the third crash was at %.3f s; retries that were sent more than %s later and have reached a server: %d; allowed are %d", thirdAt.Seconds(), contactTime, retries, retriesAllowed)
	return retries <= retriesAllowed, nil
}
