// Command stale plays a store whose answers are slow, late, lost or refused, and that forgets its
// history, while configurations follow each other, backends leave and nodes are killed. It checks
// that no node goes back to an older configuration (CONFIG) or to a backend whose departure it
// acknowledged (DRAIN).
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/flamingotack/flamingotack/review/third/backend"
	"github.com/flamingotack/flamingotack/review/third/caller"
	"github.com/flamingotack/flamingotack/review/third/deployment"
)

const (
	// revertSlack and drainTime are the bounds of the rules CONFIG and DRAIN.
	revertSlack = 250 * time.Millisecond
	drainTime   = 2 * time.Second
	// versionInterval is the mean time between two configurations.
	versionInterval = 1500 * time.Millisecond
	// answerLimit is how long a client waits.
	answerLimit = 3 * time.Second
)

type (
	// probe is one request: to the route that version route added, with the key that version key
	// added.
	probe struct {
		node, incarnation, route, key int
		sentAt                        time.Time
		status                        int
	}

	// departure is a backend whose state "draining" its node acknowledged at ackedAt.
	departure struct {
		node    int
		id      string
		ackedAt time.Time
	}

	play struct {
		d           *deployment.Deployment
		mu          sync.Mutex
		random      *rand.Rand
		version     int
		incarnation [3]int
		probes      map[string]*probe
		departures  []departure
		calls       map[string]int
		troubled    atomic.Bool
		lastID      atomic.Int64
	}
)

func main() {
	seed := flag.Uint64("seed", 1, "seed")
	program := flag.String("program", "", "node program")
	length := flag.Duration("length", 40*time.Second, "length")
	logs := flag.String("logs", "", "directory for logs")
	sound := flag.Bool("sound", false, "no faults of the store")
	flag.Parse()
	d, err := deployment.New(*program, *logs+"/record.txt", []deployment.Machine{{Service: "a", Zone: "za"}, {Service: "a", Zone: "zb"}, {Service: "b", Zone: "za"}})
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer d.Close()
	p := &play{d: d, random: rand.New(rand.NewPCG(*seed, 9)), probes: map[string]*probe{}, calls: map[string]int{}}
	for _, b := range d.Backends {
		b.React = func(*http.Request) backend.Reaction {
			return backend.Reaction{Work: 5 * time.Millisecond, AnswerBytes: 100}
		}
	}
	p.version = 1
	if err := d.Start(config(1)); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if !*sound {
		d.Store.SetFault(p.fault)
	}
	end := time.Now().Add(*length)
	var wg sync.WaitGroup
	wg.Go(func() { p.operate(end) })
	for i := range d.Nodes {
		for range 4 {
			wg.Go(func() { p.send(i, end) })
		}
		wg.Go(func() { p.watch(i, end) })
	}
	if !*sound {
		wg.Go(func() {
			for time.Now().Before(end) {
				p.troubled.Store(!p.troubled.Load())
				time.Sleep(time.Duration(1+p.float()*5) * time.Second)
			}
		})
	}
	wg.Wait()
	d.Store.SetFault(nil)
	time.Sleep(3 * time.Second)
	p.judge(*seed)
	d.CopyLogs(*logs)
}

// config returns a version with the routes of all versions up to it, and the keys of its own and
// of the version before.
func config(version int) deployment.Config {
	c := deployment.Config{Version: version, Services: []string{"a", "b"}}
	for v := max(1, version-1); v <= version; v++ {
		c.Keys = append(c.Keys, "key-v"+strconv.Itoa(v))
	}
	for v := 1; v <= version; v++ {
		c.Routes = append(c.Routes, deployment.Route{Prefix: fmt.Sprintf("/e%d/", v), Kind: "idempotent", Service: "a", Timeout: 2 * time.Second, MaxAttempts: 2})
	}
	return c
}

func (p *play) float() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64()
}

// fault makes calls slow, late, lost or refused.
func (p *play) fault(w http.ResponseWriter, r *http.Request) bool {
	if !p.troubled.Load() {
		return false
	}
	x, delay := p.float(), time.Duration(p.float()*3000)*time.Millisecond
	count := func(what string) {
		p.mu.Lock()
		p.calls[what+" "+r.URL.Path]++
		p.mu.Unlock()
	}
	switch {
	case x < 0.25: // The call is executed at once, its answer comes late.
		count("late answer")
		recorder := httptest.NewRecorder()
		p.d.Store.Serve(recorder, r)
		time.Sleep(delay)
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
		return true
	case x < 0.4: // The call is executed late.
		count("late call")
		time.Sleep(delay)
		return false
	case x < 0.55: // The call is executed, its answer is lost.
		count("lost answer")
		recorder := httptest.NewRecorder()
		p.d.Store.Serve(recorder, r)
		panic(http.ErrAbortHandler)
	case x < 0.65:
		count("refused")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case x < 0.7:
		count("too many")
		w.WriteHeader(http.StatusTooManyRequests)
		return true
	}
	count("sound")
	return false
}

func (p *play) operate(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration((0.2 + 1.6*p.float()) * float64(versionInterval)))
		p.mu.Lock()
		p.version++
		v := p.version
		p.mu.Unlock()
		p.d.Publish(config(v))
		if p.float() < 0.3 {
			p.d.Store.Forget()
			p.d.Note("store", "forgets its history")
		}
	}
}

// watch kills the node at times and lets its backend leave and start again.
func (p *play) watch(i int, end time.Time) {
	n, b := p.d.Nodes[i], p.d.Backends[i]
	for number := 2; time.Now().Before(end); number++ {
		time.Sleep(time.Duration(2+p.float()*6) * time.Second)
		x := p.float()
		if x < 0.3 {
			p.d.Note("fault", "node %d killed", i)
			n.Kill()
			p.mu.Lock()
			p.incarnation[i]++
			p.mu.Unlock()
			_ = n.Start()
			continue
		}
		if x < 0.45 {
			p.d.Note("fault", "node %d stopped", i)
			_ = n.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(p.float()*2500) * time.Millisecond)
			_ = n.Signal(syscall.SIGCONT)
			continue
		}
		b.SetState("draining")
		id := b.ID()
		if status := b.Send(b.Heartbeat()); status/100 == 2 {
			p.mu.Lock()
			p.departures = append(p.departures, departure{i, id, time.Now()})
			p.mu.Unlock()
			p.d.Note("backend "+id, "draining acknowledged")
		}
		time.Sleep(3 * time.Second)
		status := b.Leave()
		p.d.Note("backend "+id, "departure answered %d", status)
		time.Sleep(time.Second)
		b.Crash()
		if err := b.Start(fmt.Sprintf("i-%d-%d", i, number), true); err != nil {
			p.d.Note("harness", "%v", err)
			return
		}
	}
}

func (p *play) send(node int, end time.Time) {
	for time.Now().Before(end) {
		p.mu.Lock()
		v := p.version
		q := &probe{node: node, incarnation: p.incarnation[node], route: max(1, v-p.random.IntN(4)), key: max(1, v-p.random.IntN(5))}
		if p.random.Float64() < 0.5 {
			q.key = v
		}
		p.mu.Unlock()
		id := "s" + strconv.FormatInt(p.lastID.Add(1), 10) + "z"
		r := &caller.Request{Method: "GET", Target: fmt.Sprintf("/e%d/%s", q.route, id), Host: deployment.Host, Attempt: id, Key: "key-v" + strconv.Itoa(q.key), Deadline: answerLimit}
		q.sentAt = time.Now()
		p.mu.Lock()
		p.probes[id] = q
		p.mu.Unlock()
		a := caller.Do(p.d.Nodes[node].CallerAddress, r)
		p.mu.Lock()
		q.status = a.Status
		p.mu.Unlock()
		time.Sleep(15 * time.Millisecond)
	}
}

// judge prints what is broken.
func (p *play) judge(seed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	type effect struct {
		at      time.Time
		version int
	}
	// effects holds what backends saw of versions, by node and incarnation: a run on the route that
	// a version added, or with the key that it added.
	effects := map[[2]int][]effect{}
	runs := p.d.Runs()
	ran := map[string]bool{}
	broken := map[string]int{}
	for _, r := range runs {
		q := p.probes[r.Attempt]
		if q == nil {
			broken["UNASKED"]++
			continue
		}
		ran[r.Attempt] = true
		key := [2]int{q.node, q.incarnation}
		effects[key] = append(effects[key], effect{r.At, max(q.route, q.key)})
	}
	statuses := map[int]int{}
	telling := 0
	for id, q := range p.probes {
		statuses[q.status]++
		seen := 0
		for _, e := range effects[[2]int{q.node, q.incarnation}] {
			if q.sentAt.Sub(e.at) > revertSlack {
				seen = max(seen, e.version)
			}
		}
		if q.route <= seen || q.key < seen-1 {
			telling++
		}
		var what string
		switch {
		case ran[id] && q.key < seen-1:
			what = "ran with a dropped key"
		case q.status == 404 && q.route <= seen:
			what = "404 on a route that is there"
		}
		if what != "" {
			broken["CONFIG"]++
			fmt.Printf("CONFIG: %s on node %d, incarnation %d, at %s: route %d, key %d, seen %d: %s\n", id, q.node, q.incarnation, q.sentAt.Format("15:04:05.000"), q.route, q.key, seen, what)
		}
	}
	for _, l := range p.departures {
		for _, r := range runs {
			q := p.probes[r.Attempt]
			if q == nil || r.Instance != l.id || r.At.Sub(l.ackedAt) <= drainTime {
				continue
			}
			// Other machines are bound only while the store is sound.
			if q.node == l.node {
				broken["DRAIN"]++
				fmt.Printf("DRAIN: %s ran on %s %s after its draining was acknowledged\n", r.Attempt, r.Instance, r.At.Sub(l.ackedAt))
			}
		}
	}
	var calls []string
	for what, n := range p.calls {
		calls = append(calls, fmt.Sprintf("%s %d", what, n))
	}
	slices.Sort(calls)
	fmt.Printf("seed %d: %d probes, %d of them could show a return, %d ran, statuses %v, %d versions, %d departures, store: %s\n", seed, len(p.probes), telling, len(ran), statuses, p.version, len(p.departures), strings.Join(calls, ", "))
	fmt.Printf("broken: %v\n", broken)
}
