package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The trial of the quota: machines are added while the partition of the store in which the nodes
// register is down.
const (
	quotaService      = "dele69a"
	firstMachines     = 12
	addedMachines     = 3
	quotaRate         = 40.0
	quotaBurst        = 40.0
	usualPerSecond    = quotaRate / 1.6
	hotFactor         = 7.5
	quotaWindow       = 5 * time.Second
	quotaOver         = 0.1
	quotaSlack        = 20.0
	outageTime        = 4500 * time.Millisecond
	quotaWarmPerS     = 50.0
	memberTopic       = "keyed.members"
	quotaBeforeOutage = 6 * time.Second
	// hotTime is how long the tenant sends more than usual, from hotBeforeOutage before the
	// outage on.
	hotTime         = 6500 * time.Millisecond
	hotBeforeOutage = 500 * time.Millisecond
	// addGap is the time between two machines that are added.
	addGap           = 500 * time.Millisecond
	quotaAfterOutage = 4 * time.Second
)

// run is a run of a request on a server.
type run struct {
	id            string
	sentAt, began time.Duration
}

// tryQuota plays the trial and reports whether the rule held.
func tryQuota(rec *recorder, root string, trouble bool) (held bool, err error) {
	d, err := newDeployment(rec, root)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	began := map[string]time.Duration{}
	sent := map[string]time.Duration{}
	served, answered := map[string]int{}, map[int]int{}
	configure := func(s *server) {
		s.onRun = func(s *server, r *http.Request) {
			id, at := r.Header.Get(headerAttempt), rec.since()
			rec.notef("server %s runs %s for tenant %s", s.id, id, r.Header.Get(headerTenant))
			mu.Lock()
			defer mu.Unlock()
			began[id] = at
			served[s.id]++
		}
	}
	request := &clientRequest{method: http.MethodGet, host: routeHost, path: routePath + "2f", key: "6wsjnbanfqasnmgkcuyj", deadline: 6 * time.Second}
	warmRequest := *request
	warmRequest.key = "8pjbvk9m68k7b2ex5wa5"
	tenants := []tenant{
		{Name: "pulo780", Keys: []string{request.key}, Priority: 1, RatePerSecond: quotaRate, Burst: quotaBurst},
		{Name: "kamu112", Keys: []string{warmRequest.key}, Priority: 1},
	}
	if err := d.publish(7, quotaService, "idempotent", quotaWarmPerS, tenants); err != nil {
		return false, err
	}
	add := func(coldFor time.Duration) (m *machine, err error) {
		if m, err = d.addMachine(quotaService, configure); err != nil {
			return nil, err
		}
		if coldFor > 0 {
			m.server.makeCold(coldFor)
		}
		return m, m.server.start()
	}
	for range firstMachines {
		if _, err := add(0); err != nil {
			return false, err
		}
	}
	if err := d.awaitServed(&warmRequest); err != nil {
		return false, err
	}
	rec.sayf("%d machines serve; tenant pulo780 sends its usual %g requests a second, its limit is %g with a burst of %g", firstMachines, usualPerSecond, quotaRate, quotaBurst)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	perMachine := usualPerSecond / (firstMachines + addedMachines)
	hotCtx, cancelHot := context.WithCancel(ctx)
	defer cancelHot()
	sendThrough := func(ctx context.Context, m *machine, perMachine float64) {
		sendSteadily(ctx, rec, m.node.outbound(), perMachine, request, func(a clientAnswer) {
			rec.notef("%s, sent at %.3f s through %s, ends with status %d, error %v", a.id, a.sentAt.Seconds(), m.node.name, a.status, a.err)
			mu.Lock()
			defer mu.Unlock()
			sent[a.id] = a.sentAt
			answered[a.status]++
		})
	}
	for _, m := range d.machines {
		go sendThrough(ctx, m, perMachine)
	}
	time.Sleep(quotaBeforeOutage)
	rec.sayf("tenant pulo780 sends %g times its usual for %s", hotFactor, hotTime)
	time.AfterFunc(hotTime, cancelHot)
	for _, m := range d.machines {
		go sendThrough(hotCtx, m, (hotFactor-1)*perMachine)
	}
	time.Sleep(hotBeforeOutage)
	outageEnd := time.Now().Add(outageTime)
	if trouble {
		d.store.setDown(memberTopic)
		rec.sayf("the store resets the connections of calls to the partition of %s, and serves the others", memberTopic)
	}
	for range addedMachines {
		m, err := add(3 * time.Second)
		if err != nil {
			return false, err
		}
		go func() {
			for ctx.Err() == nil && !m.node.isReady() {
				time.Sleep(50 * time.Millisecond)
			}
			rec.sayf("%s was added and is ready", m.node.name)
			go sendThrough(hotCtx, m, (hotFactor-1)*perMachine)
			sendThrough(ctx, m, perMachine)
		}()
		time.Sleep(addGap)
	}
	time.Sleep(time.Until(outageEnd))
	d.store.setDown()
	rec.sayf("the store serves all partitions")
	time.Sleep(quotaAfterOutage)
	cancel()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	var runs []run
	for id, at := range began {
		if sentAt, found := sent[id]; found {
			runs = append(runs, run{id: id, sentAt: sentAt, began: at})
		}
	}
	most, from := busiestWindow(runs, quotaWindow)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	rec.sayf("answers by status: %v", answered)
	rec.sayf("most runs of the tenant in %s: %d, from %.3f s on; allowed are %.0f", quotaWindow, most, from.Seconds(), allowed)
	return float64(most) <= allowed, nil
}

// busiestWindow returns the largest number of runs that were sent and began within one window,
// and when that window starts.
func busiestWindow(runs []run, window time.Duration) (most int, from time.Duration) {
	for _, first := range runs {
		count := 0
		for _, r := range runs {
			if r.sentAt >= first.sentAt && r.began < first.sentAt+window {
				count++
			}
		}
		if count > most {
			most, from = count, first.sentAt
		}
	}
	return most, from
}
